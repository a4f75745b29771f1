"""Streams are taken up at VMs that restart, lose datagrams and have clocks of their own."""

import asyncio
import math
from collections.abc import Iterable
from unittest.mock import patch

from attrs import define, evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from model_vms import (
    CUT_OFF_REGION,
    REGION_BY_VM,
    REGIONS,
    START_UNIX_S,
    Clock,
    Datagrams,
    Loss,
    Network,
    View,
    evidence_of,
    note_reads,
)
from test_software_history import POOL, TARGET, V1, V_OTHER, routes

from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.streams.software_history import STREAM_RETENTION_S, software_key
from pomelobarrow.peers import stream_software as updates_module
from pomelobarrow.peers.stream_software import StreamSoftwareUpdates
from pomelobarrow.relay import stream_joins as joins_module
from pomelobarrow.relay.messages import RequestHead
from pomelobarrow.relay.stream_joins import ResumedStreams

VERSIONS = ("v1", "v2")
OLD_VM = "a-1"
OTHER_POOL = V_OTHER.pool
MOMENT_S = 0.01
MAX_EXAMPLES = 600

vms = st.sampled_from(sorted(REGION_BY_VM))
other_vms = st.sampled_from(sorted(REGION_BY_VM.keys() - {OLD_VM}))
vms_cut_off = st.sampled_from([vm for vm in REGION_BY_VM if REGION_BY_VM[vm] == CUT_OFF_REGION])
vms_of_others = st.sampled_from([vm for vm in REGION_BY_VM if REGION_BY_VM[vm] != CUT_OFF_REGION])
pools = st.sampled_from((POOL, OTHER_POOL))
versions = st.sampled_from(VERSIONS)
offsets_s = st.sampled_from((0.0, -300.0, 300.0))
losses = st.sampled_from(Loss)


@define(kw_only=True)
class Begun:
    """A stream that has broken off, and the software that it is of."""

    request_id: str
    software: int
    began_unix_s: float


class StreamsOfOneSoftware(RuleBasedStateMachine):
    """All VMs have the present list and routes, and know them as long as they run."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = Clock()
        self.network = Network(clock=self.clock)
        self.started_unix_s = dict.fromkeys(REGION_BY_VM, START_UNIX_S)
        self.updates: dict[str, StreamSoftwareUpdates] = {}
        self.pools: tuple[str, ...] = (POOL,)
        self.listed: dict[str, BackendServer] = {}
        self.begun: list[Begun] = []
        self.count = 0
        self.patches = [
            patch.object(module, "now_unix_s", self.clock.now)
            for module in (updates_module, joins_module)
        ]
        for each in self.patches:
            each.start()
        for pool in (POOL, OTHER_POOL):
            self._add(pool, VERSIONS[0])
        for vm in REGION_BY_VM:
            self._start_vm(vm, 0.0)
        self.clock.unix_s += STREAM_RETENTION_S

    def teardown(self) -> None:
        for each in self.patches:
            each.stop()

    @rule(time_s=st.sampled_from((0.01, 1.0, 59.0, 61.0, STREAM_RETENTION_S)))
    def pass_time(self, time_s: float) -> None:
        self.clock.unix_s += time_s

    @rule(restarted=st.just(set(REGION_BY_VM)) | st.sets(vms, min_size=1), offset_s=offsets_s)
    def restart(self, restarted: set[str], offset_s: float) -> None:
        for vm in restarted:
            self._start_vm(vm, offset_s)

    @rule(pool=pools, version=versions)
    def add_server(self, pool: str, version: str) -> None:
        self._add(pool, version)
        self._deliver_lists()

    @rule(vm=vms, pool=pools, version=versions, loss=losses, is_power_lost=st.booleans())
    def release(self, vm: str, pool: str, version: str, loss: Loss, is_power_lost: bool) -> None:
        """Replace all servers of a pool while a stream runs; then all VMs may restart."""
        self.begin(vm, 0, loss)
        self._replace_servers(pool, version)
        if is_power_lost:
            self.restart(set(REGION_BY_VM), 0.0)

    @rule(pool=pools, version=versions)
    def remove_version(self, pool: str, version: str) -> None:
        self.listed = {
            name: each
            for name, each in self.listed.items()
            if (each.pool, each.software_version) != (pool, version)
        }
        self._deliver_lists()

    @rule(routed=st.sampled_from(((POOL,), (OTHER_POOL,), (POOL, OTHER_POOL))))
    def route(self, routed: tuple[str, ...]) -> None:
        self.pools = routed
        for vm in self._current():
            self._deliver_routes(vm)

    @rule(vm=vms, index=st.integers(0, 5), loss=losses)
    def begin(self, vm: str, index: int, loss: Loss) -> None:
        self.network.loss = loss
        self._begin(vm, index)

    @rule(vm=vms, is_named=st.booleans(), loss=losses)
    def take_up(self, vm: str, is_named: bool, loss: Loss) -> None:
        self.network.loss = loss
        self._take_up(vm, is_named)

    def _begin(self, vm: str, index: int) -> None:
        servers = [each for each in self.listed.values() if each.pool in self.pools]
        if not servers:
            return
        software = software_key(servers[index % len(servers)])
        self.count += 1
        request_id = f"r{self.count}"
        with self.clock.of(vm):
            streams = self.updates[vm].streams
            streams.note_began(request_id, TARGET, software, self.clock.now())
        began = Begun(request_id=request_id, software=software, began_unix_s=self.clock.unix_s)
        self.begun.append(began)

    def _take_up(self, vm: str, is_named: bool) -> None:
        for stream in self._unfinished():
            found = self._software(vm, stream.request_id if is_named else "")
            assert found in (None, stream.software)

    @rule(vm=vms, loss=losses)
    def take_up_sound(self, vm: str, loss: Loss) -> None:
        """A stream goes on where its only version and route have been known for long enough."""
        self.network.loss = loss
        updates = self.updates[vm]
        with self.clock.of(vm):
            certain = updates.streams.history.assumed(TARGET, self.clock.now())
        for stream in self._unfinished():
            if certain is not None:
                assert self._software(vm, stream.request_id) == certain

    def _replace_servers(self, pool: str, version: str) -> None:
        self.listed = {name: each for name, each in self.listed.items() if each.pool != pool}
        self._add(pool, version)
        self._deliver_lists()

    def _unfinished(self) -> list[Begun]:
        """Return the streams that their clients may still take up."""
        oldest_unix_s = self.clock.unix_s - STREAM_RETENTION_S
        self.begun = [each for each in self.begun if each.began_unix_s > oldest_unix_s]
        return self.begun

    def _software(self, vm: str, request_id: str) -> int | None:
        updates = self.updates[vm]
        resumed = ResumedStreams(streams=updates.streams, ask_peers=updates.find)
        head = RequestHead(request_id="next", headers=(), last_event_id="2", resumes=request_id)
        with self.clock.of(vm):
            software, *_ = asyncio.run(resumed._software(head, TARGET, None))
        return software

    def _add(self, pool: str, version: str) -> None:
        self.count += 1
        name = f"s{self.count}"
        self.listed = {
            **self.listed,
            name: evolve(V1, name=name, pool=pool, software_version=version),
        }

    def _start_vm(self, vm: str, offset_s: float) -> None:
        self.clock.offset_s[vm] = offset_s
        self.started_unix_s[vm] = self.clock.unix_s
        datagrams = self.network.vms[vm] = Datagrams(network=self.network, vm=vm)
        view = View(own_vm=vm, own_region=REGION_BY_VM[vm], started_unix_s=self.started_unix_s)
        self.updates[vm] = StreamSoftwareUpdates(
            view=view,  # type: ignore[arg-type]
            regions=REGIONS,
            datagrams=datagrams,  # type: ignore[arg-type]
        )
        self._deliver_routes(vm)
        self._deliver_list(vm)

    def _current(self) -> Iterable[str]:
        """Return the VMs that receive changes at once."""
        return REGION_BY_VM

    def _deliver_lists(self) -> None:
        for vm in self._current():
            self._deliver_list(vm)

    def _deliver_list(self, vm: str) -> None:
        with self.clock.of(vm):
            self.updates[vm].streams.observe_servers(self.listed, self.clock.now())

    def _deliver_routes(self, vm: str) -> None:
        with self.clock.of(vm):
            self.updates[vm].streams.observe_routing(routes(*self.pools), self.clock.now())


class StreamsWithAnOldList(StreamsOfOneSoftware):
    """One VM misses changes of list and routes; no VM restarts, and all datagrams arrive."""

    restart = take_up_sound = None  # type: ignore[assignment]

    def __init__(self) -> None:
        super().__init__()
        self.proven_unix_s = self._time_after_a_read()
        self.updates[OLD_VM].streams.history.proven_unix_s = lambda: self.proven_unix_s

    def _current(self) -> Iterable[str]:
        return REGION_BY_VM.keys() - {OLD_VM}

    @rule()
    def catch_up(self) -> None:
        self._deliver_list(OLD_VM)
        self._deliver_routes(OLD_VM)
        self.proven_unix_s = self._time_after_a_read()

    def _time_after_a_read(self) -> float:
        """Return the present time, and let some pass, since nothing comes at the same moment."""
        read_unix_s = self.clock.unix_s
        self.clock.unix_s += MOMENT_S
        return read_unix_s

    @rule(vm=other_vms, index=st.integers(0, 5))
    def begin(self, vm: str, index: int) -> None:
        self._begin(vm, index)

    @rule(vm=other_vms, pool=pools, version=versions)
    def release(self, vm: str, pool: str, version: str) -> None:
        """Replace all servers of a pool while a stream runs."""
        self._begin(vm, 0)
        self._replace_servers(pool, version)

    @rule(is_named=st.booleans())
    def take_up(self, is_named: bool) -> None:
        self._take_up(OLD_VM, is_named)


class StreamsInACutOffRegion(StreamsOfOneSoftware):
    """The VMs of a region miss changes of the list, and no datagram reaches another region."""

    restart = take_up_sound = route = None  # type: ignore[assignment]

    def __init__(self) -> None:
        super().__init__()
        self.network.cut_off_region = CUT_OFF_REGION
        for vm in REGION_BY_VM:
            evidence = evidence_of(self.updates[vm])
            if REGION_BY_VM[vm] != CUT_OFF_REGION:
                note_reads(evidence, math.inf)

    def _current(self) -> Iterable[str]:
        return (vm for vm, region in REGION_BY_VM.items() if region != CUT_OFF_REGION)

    @rule(vm=vms_of_others, index=st.integers(0, 5))
    def begin(self, vm: str, index: int) -> None:
        self._begin(vm, index)

    @rule(vm=vms_of_others, pool=pools, version=versions)
    def release(self, vm: str, pool: str, version: str) -> None:
        """Replace all servers of a pool while a stream runs."""
        self._begin(vm, 0)
        self._replace_servers(pool, version)

    @rule(vm=vms_cut_off, is_named=st.booleans())
    def take_up(self, vm: str, is_named: bool) -> None:
        self._take_up(vm, is_named)


SETTINGS = settings(deadline=None, max_examples=MAX_EXAMPLES, stateful_step_count=12)
TestStreamsOfOneSoftware = StreamsOfOneSoftware.TestCase
TestStreamsOfOneSoftware.settings = SETTINGS
TestStreamsWithAnOldList = StreamsWithAnOldList.TestCase
TestStreamsWithAnOldList.settings = SETTINGS
TestStreamsInACutOffRegion = StreamsInACutOffRegion.TestCase
TestStreamsInACutOffRegion.settings = SETTINGS
