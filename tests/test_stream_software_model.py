"""Streams are taken up at VMs that restart, lose datagrams and have clocks of their own."""

import asyncio
import enum
import math
from collections.abc import Callable, Iterable
from typing import Any
from unittest.mock import patch

from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from test_software_history import POOL, TARGET, V1, V_OTHER, routes

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.streams.list_evidence import ListEvidence
from pomelobarrow.decision.streams.software_history import STREAM_RETENTION_S, software_key
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers import stream_software as updates_module
from pomelobarrow.peers.stream_software import StreamSoftwareUpdates
from pomelobarrow.relay import stream_joins as joins_module
from pomelobarrow.relay.messages import RequestHead
from pomelobarrow.relay.stream_joins import ResumedStreams

REGION_BY_VM = {"a-1": "a", "a-2": "a", "a-3": "a", "b-1": "b", "b-2": "b"}
VERSIONS = ("v1", "v2")
OLD_VM = "a-1"
CUT_OFF_REGION = "b"
START_UNIX_S = 1_000_000.0
OTHER_POOL = V_OTHER.pool

MAX_EXAMPLES = 600


class Loss(enum.Enum):
    """Which datagrams are lost."""

    NONE = "none"
    EACH_SECOND = "each second"
    ALL = "all"


vms = st.sampled_from(sorted(REGION_BY_VM))
other_vms = st.sampled_from(sorted(REGION_BY_VM.keys() - {OLD_VM}))
vms_cut_off = st.sampled_from([vm for vm in REGION_BY_VM if REGION_BY_VM[vm] == CUT_OFF_REGION])
vms_of_others = st.sampled_from([vm for vm in REGION_BY_VM if REGION_BY_VM[vm] != CUT_OFF_REGION])
pools = st.sampled_from((POOL, OTHER_POOL))
versions = st.sampled_from(VERSIONS)
offsets_s = st.sampled_from((0.0, -300.0, 300.0))
losses = st.sampled_from(Loss)


@define(kw_only=True)
class View:
    """The members as a VM sees them: all others, each with its newest incarnation."""

    own_vm: str
    own_region: str
    started_unix_s: dict[str, float]

    def get(self, vm: str) -> Member:
        started_ms = int(self.started_unix_s[vm] * 1_000)
        return Member(
            vm=vm, region=REGION_BY_VM[vm], incarnation=started_ms, peer_address=f"{vm}:1"
        )

    def known(self) -> tuple[Member, ...]:
        return tuple(self.get(vm) for vm in REGION_BY_VM if vm != self.own_vm)

    def last_seen_unix_s(self, vm: str) -> float:
        is_cut = CUT_OFF_REGION in (REGION_BY_VM[vm], self.own_region)
        return START_UNIX_S if is_cut else math.inf

    def live(self, region: str, now_unix_s: float) -> tuple[Member, ...]:
        return tuple(self.get(vm) for vm in REGION_BY_VM if REGION_BY_VM[vm] == region)

    def memoized(self, key: str, compute: Callable[[], Any], now_unix_s: float) -> Any:
        return compute()


@define(kw_only=True)
class Network:
    """Deliver datagrams at once, or lose them."""

    clock: "Clock"
    vms: "dict[str, Datagrams]" = field(factory=dict)
    loss: Loss = Loss.NONE
    # No datagram of another region reaches this one or leaves it.
    cut_off_region: str = ""
    # Pairs of senders and receivers between which all datagrams are lost.
    cut_pairs: frozenset[tuple[str, str]] = frozenset()
    _sent: int = 0

    def is_cut(self, sender: str, receiver: str) -> bool:
        regions = {REGION_BY_VM[sender], REGION_BY_VM[receiver]}
        is_across = len(regions) > 1 and self.cut_off_region in regions
        return is_across or (sender, receiver) in self.cut_pairs

    def is_lost(self) -> bool:
        self._sent += 1
        return self.loss is Loss.ALL or (self.loss is Loss.EACH_SECOND and self._sent % 2 == 0)

    def deliver(self, to: str, message: pb.Datagram, reply: Callable[[pb.Datagram], None]) -> None:
        if self.is_lost():
            return
        kind = message.WhichOneof("kind")
        with self.clock.of(to):
            self.vms[to].handlers[kind](getattr(message, kind), reply)


@define(kw_only=True)
class Datagrams:
    """The part of `PeerDatagrams` that updates of streams use."""

    network: Network
    vm: str
    port: int = 1
    handlers: dict[str, Any] = field(factory=dict)

    def send(self, address: tuple[str, int], message: pb.Datagram) -> None:
        if not self.network.is_cut(self.vm, address[0]):
            self.network.deliver(address[0], message, lambda answer: None)

    async def query(self, address: tuple[str, int], message: pb.Datagram, timeout_s: float) -> Any:
        answers: list[pb.Datagram] = []
        if not self.network.is_cut(self.vm, address[0]):
            self.network.deliver(address[0], message, answers.append)
        if not answers or self.network.is_cut(address[0], self.vm) or self.network.is_lost():
            return None
        return answers[0].stream_answer


@define
class Clock:
    """The time, which each VM reads with an offset of its own."""

    unix_s: float = START_UNIX_S
    offset_s: dict[str, float] = field(factory=dict)
    reader: str = ""

    def now(self) -> float:
        return self.unix_s + self.offset_s.get(self.reader, 0.0)

    def of(self, vm: str) -> "ClockReader":
        return ClockReader(self, vm)


@define
class ClockReader:
    """Let a VM read the clock."""

    clock: Clock
    vm: str
    before: str = ""

    def __enter__(self) -> None:
        self.before, self.clock.reader = self.clock.reader, self.vm

    def __exit__(self, *error: object) -> None:
        self.clock.reader = self.before


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
            regions=("a", "b"),
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

    def _current(self) -> Iterable[str]:
        return REGION_BY_VM.keys() - {OLD_VM}

    @rule()
    def catch_up(self) -> None:
        self._deliver_list(OLD_VM)
        self._deliver_routes(OLD_VM)

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
            view = self.updates[vm].view
            evidence = ListEvidence(view=view, regions=("a", "b"))
            if REGION_BY_VM[vm] != CUT_OFF_REGION:
                evidence.note_read(math.inf)
            self.updates[vm].streams.history.is_current = evidence.is_current

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


class Way(enum.Enum):
    """Which way a cut acts, as seen by the VMs that are cut off."""

    BOTH = "both"
    INCOMING = "incoming"
    OUTGOING = "outgoing"


class StreamsAtVmsThatAreCutOff(StreamsOfOneSoftware):
    """Some VMs miss changes of list and routes for a while, and datagrams of all others.

    They have read the store just before. Among each other, all their datagrams arrive.
    """

    restart = take_up_sound = None  # type: ignore[assignment]

    def __init__(self) -> None:
        self.cut_off: frozenset[str] = frozenset()
        super().__init__()
        self.evidence: dict[str, ListEvidence] = {}
        for vm in REGION_BY_VM:
            evidence = ListEvidence(view=self.updates[vm].view, regions=("a", "b"))
            self.evidence[vm] = evidence
            self.updates[vm].streams.history.is_current = evidence.is_current
        self._read_all()

    def _current(self) -> Iterable[str]:
        return REGION_BY_VM.keys() - self.cut_off

    def _read_all(self) -> None:
        for vm in self._current():
            self.evidence[vm].note_read(self.clock.unix_s)

    @rule(cut_off=st.sets(vms, min_size=1, max_size=3), way=st.sampled_from(Way))
    def cut(self, cut_off: set[str], way: Way) -> None:
        self.heal()
        self.cut_off = frozenset(cut_off)
        others = REGION_BY_VM.keys() - cut_off
        incoming = {(other, vm) for vm in cut_off for other in others}
        outgoing = {(vm, other) for vm in cut_off for other in others}
        by_way = {Way.BOTH: incoming | outgoing, Way.INCOMING: incoming, Way.OUTGOING: outgoing}
        self.network.cut_pairs = frozenset(by_way[way])

    @rule()
    def heal(self) -> None:
        self.cut_off = self.network.cut_pairs = frozenset()
        for vm in REGION_BY_VM:
            self._deliver_routes(vm)
            self._deliver_list(vm)
        self._read_all()

    @rule(time_s=st.sampled_from((0.2, 1.0, 3.0, 5.0)), is_read=st.booleans())
    def pass_time(self, time_s: float, is_read: bool) -> None:
        self.clock.unix_s += time_s
        if is_read:
            self._read_all()

    @rule(vm=vms, index=st.integers(0, 5), loss=losses)
    def begin(self, vm: str, index: int, loss: Loss) -> None:
        """Begin a stream at a VM that has the present list."""
        if vm not in self.cut_off:
            self.network.loss = loss
            self._begin(vm, index)

    @rule(vm=vms, pool=pools, version=versions)
    def release(self, vm: str, pool: str, version: str) -> None:
        """Replace all servers of a pool while a stream runs."""
        self.begin(vm, 0, Loss.NONE)
        self._replace_servers(pool, version)

    @rule(
        vm=vms,
        pool=pools,
        version=versions,
        after_s=st.sampled_from((0.2, 1.0, 3.0, 5.0)),
        is_named=st.booleans(),
    )
    def take_up_beside_a_release(
        self, vm: str, pool: str, version: str, after_s: float, is_named: bool
    ) -> None:
        """A stream of a version that has just been listed is taken up where it isn't known."""
        self._replace_servers(pool, version)
        self.begin(vm, 0, Loss.NONE)
        self.clock.unix_s += after_s
        for each in sorted(self.cut_off):
            self._take_up(each, is_named)


SETTINGS = settings(deadline=None, max_examples=MAX_EXAMPLES, stateful_step_count=12)
TestStreamsOfOneSoftware = StreamsOfOneSoftware.TestCase
TestStreamsOfOneSoftware.settings = SETTINGS
TestStreamsWithAnOldList = StreamsWithAnOldList.TestCase
TestStreamsWithAnOldList.settings = SETTINGS
TestStreamsInACutOffRegion = StreamsInACutOffRegion.TestCase
TestStreamsInACutOffRegion.settings = SETTINGS
TestStreamsAtVmsThatAreCutOff = StreamsAtVmsThatAreCutOff.TestCase
TestStreamsAtVmsThatAreCutOff.settings = SETTINGS
