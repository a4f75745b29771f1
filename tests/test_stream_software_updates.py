"""VMs of two regions keep records of each other's streams, over real datagrams."""

import math
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from typing import Any

import pytest
from attrs import evolve
from datagram_vms import HOST_BY_VM, KEY, REGION_BY_VM, member, view_of
from test_software_history import FIRST, HOST, ROUTES, SECOND, TARGET, V1, V2, listed, stated

from harness.processes import free_ports
from pomelobarrow.decision.members.member import Phase
from pomelobarrow.decision.requests.short_key import server_key
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.departures import DepartureSource
from pomelobarrow.decision.streams.list_evidence import MAX_LIST_AGE_S
from pomelobarrow.decision.streams.software_history import (
    STREAM_RETENTION_S,
    StreamTarget,
    only_software,
)
from pomelobarrow.decision.streams.stream_software import StreamBegan, StreamSoftware, stream_key
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers import stream_software
from pomelobarrow.peers.datagrams import PeerDatagrams, Reply
from pomelobarrow.peers.stream_software import (
    MAX_TARGET_BYTES,
    RECORDS_PER_DATAGRAM,
    StreamSoftwareUpdates,
    follow_published,
)
from pomelobarrow.published.keyspaces import VMS, PublishedState

STREAMS = [f"r{number}" for number in range(40)]


@asynccontextmanager
async def fleet(
    servers: Mapping[str, BackendServer] | None = None, started_s: Mapping[str, float] | None = None
) -> AsyncIterator[dict[str, StreamSoftwareUpdates]]:
    """Run VMs that list servers, of both versions if none are given.

    Each has known its list for a time in seconds; those that aren't named have just started.
    """
    [port] = free_ports(1)
    vms = {}
    for vm in REGION_BY_VM:
        datagrams = PeerDatagrams((KEY,), HOST_BY_VM[vm], port)
        await datagrams.start()
        streams = StreamSoftware()
        since_unix_s = now_unix_s() - (started_s or {}).get(vm, 0.0)
        streams.observe_routing(ROUTES, since_unix_s)
        streams.observe_servers(listed(V1, V2) if servers is None else servers, since_unix_s)
        vms[vm] = StreamSoftwareUpdates(
            view=view_of(vm), regions=("a", "b"), datagrams=datagrams, streams=streams
        )
    try:
        yield vms
    finally:
        for each in vms.values():
            await each.datagrams.stop()


def prove(vm: StreamSoftwareUpdates, unix_s: float) -> None:
    """Let the lists of a VM be complete up to a time only."""
    vm.streams.history.proven_unix_s = lambda: unix_s


def let_read(vm: StreamSoftwareUpdates) -> None:
    """Let a VM reach the store, which lists what the VM lists."""

    async def read() -> None:
        prove(vm, now_unix_s())

    vm.read_lists = read


async def assumed_at(vm: StreamSoftwareUpdates) -> int | None:
    """Return the software that a VM takes an unrecorded stream for."""
    history, asked_unix_s = vm.streams.history, now_unix_s()
    found = await vm.find("never sent", TARGET, is_certain=True)
    own = history.statement(TARGET, now_unix_s(), asked_unix_s)
    return only_software((own, *found.histories))


KNOWN_FOR_LONG = dict.fromkeys(REGION_BY_VM, STREAM_RETENTION_S)


async def test_vm_reads_the_store_for_a_stream_without_record() -> None:
    """Its list was a moment old when servers of another version began streams elsewhere."""
    async with fleet(listed(V1), KNOWN_FOR_LONG) as vms:
        for vm in vms.values():
            prove(vm, now_unix_s() - 1.0)
        assert await assumed_at(vms["a-1"]) is None
        let_read(vms["a-1"])
        assert await assumed_at(vms["a-1"]) == FIRST


@pytest.mark.parametrize("reader", ["a-2", "b-1"])
async def test_peers_read_the_store_for_a_vm_that_does_not_reach_it(reader: str) -> None:
    async with fleet(listed(V1), KNOWN_FOR_LONG) as vms:
        for vm in vms.values():
            prove(vm, now_unix_s() - 1.0)
        let_read(vms[reader])
        assert await assumed_at(vms["a-1"]) == FIRST


async def test_vms_that_are_cut_off_together_do_not_confirm_each_other() -> None:
    """Their lists of a moment before agreed, and a stream of a newer version was joined."""
    async with fleet(listed(V1), KNOWN_FOR_LONG) as vms:
        for vm in vms.values():
            prove(vm, now_unix_s() - 1.0)
        found = await vms["a-1"].find("never sent", TARGET, is_certain=True)
        assert len(found.histories) == 3
        assert await assumed_at(vms["a-1"]) is None


async def test_peer_whose_read_shows_another_version_makes_none_certain() -> None:
    async with fleet(listed(V1), KNOWN_FOR_LONG) as vms:
        for vm in vms.values():
            prove(vm, now_unix_s() - 1.0)

        async def read() -> None:
            vms["b-1"].streams.observe_servers(listed(V1, V2), now_unix_s())
            prove(vms["b-1"], now_unix_s())

        vms["b-1"].read_lists = read
        assert await assumed_at(vms["a-1"]) is None


async def test_record_overrules_a_read_that_ends_first() -> None:
    """A read of this VM's own was done before the answers of the VMs that kept the record."""
    async with fleet(listed(V1), KNOWN_FOR_LONG) as vms:
        prove(vms["a-1"], -math.inf)
        let_read(vms["a-1"])
        for vm in ("a-2", "a-3", "b-1"):
            began = StreamBegan(stream_key=stream_key("r0"), software_key=SECOND)
            vms[vm].streams.note_of_peer(began, now_unix_s())
        assert await recorded(vms["a-1"], "r0", is_certain=True) == SECOND


async def test_peers_with_old_lists_state_no_time_to_an_earlier_release() -> None:
    """It doesn't read how old they are, and would be certain."""
    async with fleet(listed(V1), KNOWN_FOR_LONG) as vms:
        prove(vms["a-2"], now_unix_s() - 2 * MAX_LIST_AGE_S)
        query = pb.StreamQuery(number=1, host=TARGET.host, path=TARGET.path)
        answer = vms["a-2"]._answer(query, now_unix_s()).stream_answer
    assert (len(answer.recent_software_keys), answer.known_for_ms) == (1, 0)


async def test_store_is_not_read_where_only_a_record_can_tell() -> None:
    async with fleet(listed(V1, V2), KNOWN_FOR_LONG) as vms:
        for vm in vms.values():
            prove(vm, now_unix_s() - 1.0)
            let_read(vm)
        assert await recorded(vms["a-1"], "never sent") is None
        proven = [vm.streams.history.proven_unix_s() for vm in vms.values()]
    assert max(proven) < now_unix_s() - 0.5


async def test_peer_of_an_earlier_release_does_not_confirm_a_list() -> None:
    """It doesn't state how old its lists are."""
    async with fleet(listed(V1), KNOWN_FOR_LONG) as vms:
        prove(vms["a-1"], -math.inf)
        for vm in ("a-2", "a-3", "b-1"):
            updates = vms[vm]

            def answer(query: pb.StreamQuery, reply: Reply, updates: Any = updates) -> None:
                message = updates._answer(query, now_unix_s())
                message.stream_answer.ClearField("list_age_ms")
                reply(message)

            updates.datagrams.handlers["stream_query"] = answer
        assert await assumed_at(vms["a-1"]) is None


def begin(vm: StreamSoftwareUpdates, software: int = FIRST) -> None:
    for request_id in STREAMS:
        vm.streams.note_began(request_id, TARGET, software, now_unix_s())


async def recorded(
    vm: StreamSoftwareUpdates, request_id: str, is_certain: bool = False
) -> int | None:
    return (await vm.find(request_id, TARGET, is_certain)).software_key


@pytest.mark.parametrize("asking", ["a-1", "a-2", "a-3", "b-1"])
async def test_any_vm_finds_the_software_of_a_stream(asking: str) -> None:
    async with fleet() as vms:
        begin(vms["a-1"])
        found = [await recorded(vms[asking], request_id) for request_id in STREAMS]
    assert found == [FIRST] * len(STREAMS)


async def test_software_is_found_after_the_vm_that_began_the_streams_has_ended() -> None:
    async with fleet() as vms:
        begin(vms["a-1"], SECOND)
        # The datagrams are in the sockets' buffers; a query behind them is answered after them.
        await recorded(vms["a-2"], "r0")
        await vms["a-1"].datagrams.stop()
        found = [await recorded(vms["a-2"], request_id) for request_id in STREAMS]
    assert found == [SECOND] * len(STREAMS)


async def test_another_vm_of_the_region_keeps_each_stream() -> None:
    """A region of which the VM that began a stream was the keeper itself forgot it with that VM."""
    async with fleet() as vms:
        begin(vms["a-1"])
        await recorded(vms["a-2"], "r0")
        for vm in ("a-1", "b-1"):
            await vms[vm].datagrams.stop()
        found = [await recorded(vms["a-3"], request_id) for request_id in STREAMS]
    assert found == [FIRST] * len(STREAMS)


async def test_vm_that_leaves_gets_no_records() -> None:
    """It would be gone when a client comes back."""
    async with fleet() as vms:
        view = vms["a-1"].view
        leaving = evolve(member("a-2"), phase=Phase.LEAVING.value, sequence=2)
        view.observe_heartbeat(leaving, now_unix_s())
        begin(vms["a-1"])
        await recorded(vms["a-1"], "never sent")
        kept = {vm: updates.streams.kept_records for vm, updates in vms.items()}
    assert (kept["a-2"], kept["a-3"]) == (0, len(STREAMS))


async def test_vm_with_an_old_list_learns_of_another_version_from_its_region() -> None:
    """It lists one version, so that only VMs of its own region are asked."""
    async with fleet() as vms:
        begin(vms["a-1"], SECOND)
        found = [await recorded(vms["a-3"], request_id, is_certain=True) for request_id in STREAMS]
    assert found == [SECOND] * len(STREAMS)


async def test_vm_with_an_old_list_and_silent_neighbours_asks_other_regions() -> None:
    """It assumed the version that it listed, although another region had the record."""
    async with fleet() as vms:
        begin(vms["a-2"], SECOND)
        await recorded(vms["a-1"], "never sent")
        for vm in ("a-2", "a-3"):
            await vms[vm].datagrams.stop()
        found = [await recorded(vms["a-1"], request_id, is_certain=True) for request_id in STREAMS]
    assert found == [SECOND] * len(STREAMS)


async def test_neighbours_that_have_just_started_do_not_confirm_an_old_list() -> None:
    """They list the version that is left, and lost the record of the other one when they ended."""
    known_s = {"a-1": STREAM_RETENTION_S, "b-1": STREAM_RETENTION_S}
    async with fleet(listed(V1), known_s) as vms:
        prove(vms["a-1"], -math.inf)
        vms["b-1"].streams.note_of_peer(
            StreamBegan(stream_key=stream_key("r0"), software_key=SECOND), now_unix_s()
        )
        assert await recorded(vms["a-1"], "r0", is_certain=True) == SECOND


async def test_stream_that_no_vm_knows_is_not_found() -> None:
    async with fleet() as vms:
        assert await recorded(vms["a-1"], "never sent") is None


async def test_vms_that_are_asked_and_answer_are_counted() -> None:
    """Silence and agreement of peers looked alike in the log."""
    async with fleet() as vms:
        answered = await vms["a-1"].find("never sent", TARGET, is_certain=False)
        for vm in ("a-2", "a-3", "b-1"):
            await vms[vm].datagrams.stop()
        silent = await vms["a-1"].find("never sent", TARGET, is_certain=False)
    assert (answered.asked, len(answered.histories)) == (3, 3)
    assert (silent.asked, silent.histories) == (3, ())


async def test_silent_vms_hold_a_request_up_for_a_moment_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(stream_software, "ANSWER_TIMEOUT_S", 0.01)
    async with fleet() as vms:
        for vm in ("a-2", "a-3", "b-1"):
            await vms[vm].datagrams.stop()
        assert await recorded(vms["a-1"], "r1") is None


async def test_many_records_are_sent_in_several_datagrams() -> None:
    async with fleet() as vms:
        for number in range(4 * RECORDS_PER_DATAGRAM):
            vms["a-1"].streams._own.note(
                stream_software.StreamBegan(stream_key=number, software_key=FIRST), now_unix_s()
            )
        vms["a-1"].send(vms["a-1"].streams._own.of_software([FIRST]))
        await recorded(vms["a-1"], "never sent")
        kept = {vm: updates.streams.kept_records for vm, updates in vms.items()}
    # One VM per region keeps each record, but not the one that began the stream.
    assert (kept["a-1"], kept["b-1"]) == (0, 4 * RECORDS_PER_DATAGRAM)
    assert kept["a-2"] + kept["a-3"] == 4 * RECORDS_PER_DATAGRAM


async def assumed_by_peers(vm: StreamSoftwareUpdates, target: StreamTarget = TARGET) -> int | None:
    found = await vm.find("never sent", target, is_certain=False)
    assert found.software_key is None
    return only_software(found.histories)


async def test_vm_that_restarted_alone_learns_the_only_version_from_its_peers() -> None:
    """It refused to let sound streams go on, since it had known its list for a moment only."""
    known_s = dict.fromkeys(("a-2", "a-3", "b-1"), STREAM_RETENTION_S)
    async with fleet(listed(V1), known_s) as vms:
        assert await assumed_by_peers(vms["a-1"]) == FIRST


@pytest.mark.parametrize("first", ["a-1", "a-2", "a-3"])
async def test_vm_that_started_first_is_asked(first: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """All others restarted together, the keepers of the stream among them."""
    monkeypatch.setattr(stream_software, "ASKED_FOR_HISTORY", 1)
    async with fleet(listed(V1), {first: STREAM_RETENTION_S}) as vms:
        earlier = evolve(member(first), incarnation=0)
        vms["b-1"].view = view_of("b-1", {first: earlier})
        assert await assumed_by_peers(vms["b-1"]) == FIRST


async def test_no_version_is_learned_where_all_vms_restarted() -> None:
    async with fleet(listed(V2)) as vms:
        assert await assumed_by_peers(vms["a-1"]) is None


async def test_peers_state_no_longer_time_than_they_remember() -> None:
    """A peer without the route of long streams had forgotten a version that such a stream is of."""
    known_s = dict.fromkeys(REGION_BY_VM, 10 * STREAM_RETENTION_S)
    async with fleet(listed(V2), known_s) as vms:
        prove(vms["a-1"], -math.inf)
        found = await vms["a-1"].find("never sent", TARGET, is_certain=False)
    assert only_software(found.histories, STREAM_RETENTION_S) == SECOND
    assert only_software(found.histories, 2 * STREAM_RETENTION_S) is None


async def test_peers_that_have_seen_very_many_versions_make_none_certain() -> None:
    """They stated none, so that a VM with an old list of servers assumed the one that it listed."""
    many = [evolve(V1, name=f"s{n}", software_version=f"v{n}") for n in range(1_000)]
    async with fleet(listed(*many), dict.fromkeys(REGION_BY_VM, STREAM_RETENTION_S)) as vms:
        found = await vms["a-1"].find("never sent", TARGET, is_certain=True)
        own = stated(FIRST, known_for_s=STREAM_RETENTION_S)
        assert only_software((own,)) == FIRST
        assert only_software((own, *found.histories)) is None


async def test_peers_are_not_asked_about_a_path_that_fits_into_no_datagram() -> None:
    """What they know of an empty path isn't what they know of this one."""
    known_s = dict.fromkeys(("a-2", "a-3", "b-1"), STREAM_RETENTION_S)
    long = StreamTarget(HOST, f"/drafts/{'x' * MAX_TARGET_BYTES}")
    async with fleet(listed(V1), known_s) as vms:
        assert await assumed_by_peers(vms["a-1"], long) is None


def test_servers_are_not_known_before_the_first_list() -> None:
    """A departure that a peer stated counted as an empty list while the store didn't answer."""
    published, streams = PublishedState(observe=lambda event: None), StreamSoftware()
    follow_published(published, streams)
    streams.observe_routing(ROUTES, now_unix_s() - STREAM_RETENTION_S)
    published.departures.observe(server_key(V1), DepartureSource.PEER, now_unix_s())
    later_unix_s = now_unix_s() + STREAM_RETENTION_S
    assert streams.history.known_for_s(later_unix_s) == 0.0
    published.apply(VMS, [], 1, after_revision=0, source="platform")
    assert streams.history.known_for_s(now_unix_s() + STREAM_RETENTION_S) >= STREAM_RETENTION_S
