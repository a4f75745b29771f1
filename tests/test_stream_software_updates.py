"""VMs of two regions keep records of each other's streams, over real datagrams."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from attrs import evolve
from datagram_vms import HOST_BY_VM, KEY, REGION_BY_VM, member, view_of
from test_software_history import FIRST, SECOND, TARGET, V1, V2, listed

from harness.processes import free_ports
from pomelobarrow.decision.members.member import Phase
from pomelobarrow.decision.streams.stream_software import StreamSoftware
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import stream_software
from pomelobarrow.peers.datagrams import PeerDatagrams
from pomelobarrow.peers.stream_software import RECORDS_PER_DATAGRAM, StreamSoftwareUpdates

STREAMS = [f"r{number}" for number in range(40)]


@asynccontextmanager
async def fleet() -> AsyncIterator[dict[str, StreamSoftwareUpdates]]:
    """Run VMs that list servers of both versions."""
    [port] = free_ports(1)
    vms = {}
    for vm in REGION_BY_VM:
        datagrams = PeerDatagrams((KEY,), HOST_BY_VM[vm], port)
        await datagrams.start()
        streams = StreamSoftware()
        streams.observe_servers(listed(V1, V2), now_unix_s())
        vms[vm] = StreamSoftwareUpdates(
            view=view_of(vm), regions=("a", "b"), datagrams=datagrams, streams=streams
        )
    try:
        yield vms
    finally:
        for each in vms.values():
            await each.datagrams.stop()


def begin(vm: StreamSoftwareUpdates, software: int = FIRST) -> None:
    for request_id in STREAMS:
        vm.streams.note_began(request_id, TARGET, software, now_unix_s())


@pytest.mark.parametrize("asking", ["a-1", "a-2", "a-3", "b-1"])
async def test_any_vm_finds_the_software_of_a_stream(asking: str) -> None:
    async with fleet() as vms:
        begin(vms["a-1"])
        found = [await vms[asking].find(request_id, is_mixed=True) for request_id in STREAMS]
    assert found == [FIRST] * len(STREAMS)


async def test_software_is_found_after_the_vm_that_began_the_streams_has_ended() -> None:
    async with fleet() as vms:
        begin(vms["a-1"], SECOND)
        # The datagrams are in the sockets' buffers; a query behind them is answered after them.
        await vms["a-2"].find("r0", is_mixed=True)
        await vms["a-1"].datagrams.stop()
        found = [await vms["a-2"].find(request_id, is_mixed=True) for request_id in STREAMS]
    assert found == [SECOND] * len(STREAMS)


async def test_another_vm_of_the_region_keeps_each_stream() -> None:
    """A region of which the VM that began a stream was the keeper itself forgot it with that VM."""
    async with fleet() as vms:
        begin(vms["a-1"])
        await vms["a-2"].find("r0", is_mixed=True)
        for vm in ("a-1", "b-1"):
            await vms[vm].datagrams.stop()
        found = [await vms["a-3"].find(request_id, is_mixed=True) for request_id in STREAMS]
    assert found == [FIRST] * len(STREAMS)


async def test_vm_that_leaves_gets_no_records() -> None:
    """It would be gone when a client comes back."""
    async with fleet() as vms:
        view = vms["a-1"].view
        leaving = evolve(member("a-2"), phase=Phase.LEAVING.value, sequence=2)
        view.observe_heartbeat(leaving, now_unix_s())
        begin(vms["a-1"])
        await vms["a-1"].find("never sent", is_mixed=True)
        kept = {vm: updates.streams.kept_records for vm, updates in vms.items()}
    assert (kept["a-2"], kept["a-3"]) == (0, len(STREAMS))


async def test_vm_with_an_old_list_learns_of_another_version_from_its_region() -> None:
    """It lists one version, so that only VMs of its own region are asked."""
    async with fleet() as vms:
        begin(vms["a-1"], SECOND)
        found = [await vms["a-3"].find(request_id, is_mixed=False) for request_id in STREAMS]
    assert found == [SECOND] * len(STREAMS)


async def test_stream_that_no_vm_knows_is_not_found() -> None:
    async with fleet() as vms:
        assert await vms["a-1"].find("never sent", is_mixed=True) is None


async def test_silent_vms_hold_a_request_up_for_a_moment_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_software, "ANSWER_TIMEOUT_S", 0.01)
    async with fleet() as vms:
        for vm in ("a-2", "a-3", "b-1"):
            await vms[vm].datagrams.stop()
        assert await vms["a-1"].find("r1", is_mixed=True) is None


async def test_many_records_are_sent_in_several_datagrams() -> None:
    async with fleet() as vms:
        for number in range(4 * RECORDS_PER_DATAGRAM):
            vms["a-1"].streams._own.note(
                stream_software.StreamBegan(stream_key=number, software_key=FIRST), now_unix_s()
            )
        vms["a-1"].send(vms["a-1"].streams._own.of_software([FIRST]))
        await vms["a-1"].find("never sent", is_mixed=True)
        kept = {vm: updates.streams.kept_records for vm, updates in vms.items()}
    # One VM per region keeps each record, but not the one that began the stream.
    assert (kept["a-1"], kept["b-1"]) == (0, 4 * RECORDS_PER_DATAGRAM)
    assert kept["a-2"] + kept["a-3"] == 4 * RECORDS_PER_DATAGRAM
