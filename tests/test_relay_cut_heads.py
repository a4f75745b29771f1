"""What a client gets of answers whose server stops in the middle of their heads."""

import asyncio
import itertools

import aiohttp
import pytest
from attrs import define
from cut_answer import BODY, HEADS, CutAnswer
from relay_harness import RelayFleet, RelayVm, ask, relay_fleet, route
from scripted_server import Exchange, Script, ScriptedServer, answers, event, streams

from pomelobarrow.backends.reach_monitor import ReachMonitor
from pomelobarrow.decision.members.live_members import LiveMembers
from pomelobarrow.decision.published.routing import Route, RouteKind

LENGTH = "length first"
CHUNKS = "chunks first"
NO_FRAMING = "no framing"
INTERIM = "interim answers"
# Whether the connection is reset, and whether the process of the server has ended.
ENDS = tuple(itertools.product((False, True), (False, True)))
each_end = pytest.mark.parametrize(("is_reset", "is_killed"), ENDS)
each_head = pytest.mark.parametrize("name", [LENGTH, CHUNKS, NO_FRAMING, INTERIM])


@pytest.fixture(autouse=True)
def pool_stays_reachable(monkeypatch: pytest.MonkeyPatch) -> None:
    """Send requests to a server whatever became of those before."""
    monkeypatch.setattr(ReachMonitor, "note_silence", lambda monitor, server: None)


def forget_failures(fleet: RelayFleet) -> None:
    """Let the entry VM treat the next request as if no server had failed."""
    relay = fleet.vms["a"].relay
    # A request that crashes servers would be rejected, after a check that takes its time.
    relay.guard.watch.is_in_service = lambda server: False
    relay.monitor.forgive(relay.placer.servers().values())


async def status_if_whole(vm: RelayVm, asked: Route) -> int | None:
    """Return the status of a complete answer; None if it broke off."""
    try:
        return (await ask(vm, asked.path_prefix)).status
    except aiohttp.ClientPayloadError:
        return None


@each_end
@each_head
@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
async def test_answer_cut_in_its_head_is_a_failure(
    kind: RouteKind, name: str, is_reset: bool, is_killed: bool
) -> None:
    """Guards against a 200 with an empty or short body that looks whole."""
    head, asked = HEADS[name], route(kind)
    # The second region's address is no source of connections, which could take the server's port
    # while it doesn't listen.
    async with relay_fleet((asked,), {"b": {}, "a": {"s1": answers()}}) as fleet:
        server = fleet.servers["s1"]
        for size in range(len(head)):
            server.script = CutAnswer(
                answer=head + BODY, size_bytes=size, is_reset=is_reset, is_killed=is_killed
            )
            forget_failures(fleet)
            assert await status_if_whole(fleet.vms["a"], asked) == 502
            assert len(server.received) == size + 1
            await server.listen()


@pytest.mark.parametrize("is_reset", [False, True])
@each_head
async def test_request_whose_answer_is_cut_in_its_head_is_tried_on_another_server(
    name: str, is_reset: bool
) -> None:
    """Guards against a part of the first answer in the one that the client gets."""
    head, asked = HEADS[name], route(RouteKind.IDEMPOTENT, max_attempts=2)
    async with relay_fleet((asked,), {"a": {"s1": answers(), "s2": answers()}}) as fleet:
        for size in range(len(head)):
            script = CutAnswer(answer=head + BODY, size_bytes=size, is_reset=is_reset)
            for server in fleet.servers.values():
                server.script = script
            forget_failures(fleet)
            answer = await ask(fleet.vms["a"], asked.path_prefix)
            assert (answer.status, answer.body) == (200, b"whole")
        assert {len(server.received) for server in fleet.servers.values()} == {len(head)}


@each_end
@pytest.mark.parametrize(
    ("name", "is_whole_of_running"), [(LENGTH, False), (CHUNKS, False), (NO_FRAMING, True)]
)
async def test_answer_cut_behind_its_head_is_whole_only_where_its_connection_ends_it(
    name: str, is_whole_of_running: bool, is_reset: bool, is_killed: bool
) -> None:
    """Guards against an empty answer in place of one whose server stopped behind its head."""
    head, asked = HEADS[name], route(RouteKind.NON_IDEMPOTENT)
    script = CutAnswer(answer=head, size_bytes=len(head), is_reset=is_reset, is_killed=is_killed)
    async with relay_fleet((asked,), {"a": {"s1": script}}) as fleet:
        status = await status_if_whole(fleet.vms["a"], asked)
    is_whole = is_whole_of_running and not is_reset and not is_killed
    assert status == (200 if is_whole else 502)


@define
class RecordedPeer:
    """Pass requests on to a peer and record its last answer, byte for byte."""

    address: str
    answer: bytes = b""

    async def __call__(self, exchange: Exchange) -> None:
        """Pass one request on."""
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        received = exchange.received
        fields = "".join(f"{name}: {value}\r\n" for name, value in received.headers.items())
        writer.write(f"{received.line}\r\n{fields}\r\n".encode() + received.body)
        self.answer = await reader.read()
        writer.close()
        exchange.writer.write(self.answer)


@each_end
@pytest.mark.parametrize(
    ("kind", "answer"),
    [(RouteKind.NON_IDEMPOTENT, answers()), (RouteKind.STREAM, streams(2))],
    ids=["whole answer", "stream"],
)
async def test_answer_of_a_peer_cut_at_any_byte_is_incomplete(
    kind: RouteKind,
    answer: Script,
    is_reset: bool,
    is_killed: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a 200 that looks whole where a peer or its link is lost."""
    bound = route(kind, home_regions=("b",))
    servers: dict[str, dict[str, Script]] = {"a": {}, "b": {"s1": answer}}
    async with relay_fleet((bound,), servers) as fleet:
        entry, peer = fleet.vms["a"], fleet.vms["b"]
        recorded = RecordedPeer(f"{peer.host}:{entry.relay.hop_port}")
        async with ScriptedServer(name="", host=peer.host, script=recorded) as hop:
            entry.dial[recorded.address] = hop.address
            assert await status_if_whole(entry, bound) == 200
            # No heartbeats are sent here, and a silent peer would get no further requests.
            monkeypatch.setattr(LiveMembers, "refresh", lambda members, now_unix_s: None)
            for size in range(len(recorded.answer)):
                hop.script = CutAnswer(
                    answer=recorded.answer,
                    size_bytes=size,
                    is_reset=is_reset,
                    is_killed=is_killed,
                )
                assert await status_if_whole(entry, bound) in (502, None)
                assert len(hop.received) == size + 2
                await hop.listen()


async def test_stream_does_not_end_with_a_run_whose_length_is_taken_for_none() -> None:
    """A run that stated 2**64 - 1 bytes was read as empty, and the stream as complete before it."""
    asked = route(RouteKind.STREAM, max_attempts=2, is_resumable=True)

    async def script(exchange: Exchange) -> None:
        if "last-event-id" not in exchange.received.headers:
            await streams(3, breaks_after=1)(exchange)
            return
        exchange.write_head(200, Content_Length=str(2**64 - 1))
        exchange.writer.write(event(2) + event(3))

    async with relay_fleet((asked,), {"a": {"s1": script, "s2": script}}) as fleet:
        assert await status_if_whole(fleet.vms["a"], asked) is None
        assert sum(len(server.received) for server in fleet.servers.values()) == 2
