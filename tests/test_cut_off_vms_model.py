"""Streams are taken up at VMs that are cut off for a while, with lists from just before."""

import enum
from collections.abc import Iterable
from functools import partial

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import rule
from model_vms import REGION_BY_VM, Loss, evidence_of, note_reads
from test_software_history import POOL, TARGET
from test_stream_software_model import (
    MOMENT_S,
    SETTINGS,
    StreamsOfOneSoftware,
    losses,
    pools,
    versions,
    vms,
)


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
        self.evidence = {vm: evidence_of(self.updates[vm]) for vm in REGION_BY_VM}
        for vm in REGION_BY_VM:
            self.updates[vm].read_lists = partial(self._read, vm)
        self._read_all()

    def _current(self) -> Iterable[str]:
        return REGION_BY_VM.keys() - self.cut_off

    async def _read(self, vm: str) -> None:
        if vm not in self.cut_off:
            note_reads(self.evidence[vm], self.clock.now())

    def _read_all(self) -> None:
        for vm in self._current():
            note_reads(self.evidence[vm], self.clock.unix_s)

    @rule(cut_off=st.sets(vms, min_size=1, max_size=3), way=st.sampled_from(Way))
    def cut(self, cut_off: set[str], way: Way) -> None:
        self.heal()
        self.clock.unix_s += MOMENT_S
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

    @rule(vm=vms, loss=losses)
    def take_up_at_a_vm_in_touch(self, vm: str, loss: Loss) -> None:
        """A stream goes on at a VM that reads the store, without an answer of its peers."""
        self.network.loss = loss
        with self.clock.of(vm):
            only = self.updates[vm].streams.history.assumed(TARGET, self.clock.now())
        for stream in self._unfinished():
            if only is not None and vm not in self.cut_off:
                assert self._software(vm, stream.request_id) == only

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


TestStreamsAtVmsThatAreCutOff = StreamsAtVmsThatAreCutOff.TestCase
TestStreamsAtVmsThatAreCutOff.settings = SETTINGS


@pytest.mark.parametrize("loss", [Loss.NONE, Loss.ALL])
def test_version_that_comes_and_goes_during_a_cut_is_not_forgotten(loss: Loss) -> None:
    """A read after the cut shows the version from before only, at which a stream of it goes on."""
    state = StreamsAtVmsThatAreCutOff()
    try:
        state.cut(cut_off={"a-1"}, way=Way.BOTH)
        state._replace_servers(POOL, "v2")
        state.begin(vm="a-2", index=0, loss=Loss.NONE)
        state.clock.unix_s += 12.0
        state._replace_servers(POOL, "v1")
        state.heal()
        state.network.loss = loss
        state._take_up("a-1", False)
    finally:
        state.teardown()
