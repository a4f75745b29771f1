"""What a client gets of answers whose server stops in the middle of their heads."""

import asyncio
import itertools

import aiohttp
import pytest
from attrs import define
from cut_answer import BODY, HEADS, CutAnswers
from relay_harness import Answer, RelayVm, ask, relay_fleet, route
from scripted_server import Exchange, Script, ScriptedServer, answers, streams

from pomelobarrow.decision.published.routing import Route, RouteKind
from pomelobarrow.relay import health_monitor

LENGTH = "length first"
CHUNKS = "chunks first"
NO_FRAMING = "no framing"
INTERIM = "interim answers"
# Whether the connection is reset, and whether the process of the server has ended.
ENDS = tuple(itertools.product((False, True), (False, True)))
each_end = pytest.mark.parametrize(("is_reset", "is_killed"), ENDS)
each_head = pytest.mark.parametrize("name", [LENGTH, CHUNKS, NO_FRAMING, INTERIM])


def cut_answers(name: str, is_reset: bool, is_killed: bool) -> CutAnswers:
    """Return a script that cuts answers at each byte of their head."""
    head = HEADS[name]
    return CutAnswers(
        answer=head + BODY, requests=len(head), is_reset=is_reset, is_killed=is_killed
    )


async def ask_for_each_byte(vm: RelayVm, asked: Route, script: CutAnswers) -> list[Answer]:
    """Send one request for each byte of the head, all at the same time."""
    sending = (ask(vm, asked.path_prefix, data=str(size)) for size in range(script.requests))
    return await asyncio.gather(*sending)


@each_end
@each_head
@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAM])
async def test_answer_cut_in_its_head_is_a_failure(
    kind: RouteKind, name: str, is_reset: bool, is_killed: bool
) -> None:
    """Guards against a 200 with an empty or short body that looks whole."""
    script = cut_answers(name, is_reset, is_killed)
    async with relay_fleet((route(kind),), {"a": {"s1": script}}, slots=1_024) as fleet:
        got = await ask_for_each_byte(fleet.vms["a"], route(kind), script)
        assert len(fleet.servers["s1"].received) == script.requests
    assert {answer.status for answer in got} == {502}


@pytest.mark.parametrize("is_reset", [False, True])
@each_head
async def test_request_whose_answer_is_cut_in_its_head_is_tried_on_another_server(
    name: str, is_reset: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a part of the first answer in the one that the client gets."""
    # The servers are silent until all requests have come, and none may be given up before.
    monkeypatch.setattr(health_monitor, "MIN_TIME_LIMIT_S", route(RouteKind.IDEMPOTENT).timeout_s)
    asked = route(RouteKind.IDEMPOTENT, max_attempts=2)
    script = cut_answers(name, is_reset, is_killed=False)
    servers: dict[str, Script] = {"s1": script, "s2": script}
    async with relay_fleet((asked,), {"a": servers}, slots=1_024) as fleet:
        got = await ask_for_each_byte(fleet.vms["a"], asked, script)
        arrivals = [len(server.received) for server in fleet.servers.values()]
    assert {(answer.status, answer.body) for answer in got} == {(200, b"whole")}
    assert sum(arrivals) == 2 * script.requests


@each_end
@pytest.mark.parametrize(
    ("name", "is_whole_of_running"), [(LENGTH, False), (CHUNKS, False), (NO_FRAMING, True)]
)
async def test_answer_cut_behind_its_head_is_whole_only_where_its_connection_ends_it(
    name: str, is_whole_of_running: bool, is_reset: bool, is_killed: bool
) -> None:
    """Guards against an empty answer in place of one whose server stopped behind its head."""
    size, asked = len(HEADS[name]), route(RouteKind.NON_IDEMPOTENT)
    script = CutAnswers(answer=HEADS[name], requests=1, is_reset=is_reset, is_killed=is_killed)
    async with relay_fleet((asked,), {"a": {"s1": script}}) as fleet:
        answer = await ask(fleet.vms["a"], asked.path_prefix, data=str(size))
    is_whole = is_whole_of_running and not is_reset and not is_killed
    assert answer.status == (200 if is_whole else 502)


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
    kind: RouteKind, answer: Script, is_reset: bool, is_killed: bool
) -> None:
    """Guards against a 200 that looks whole where a peer or its link is lost."""
    bound = route(kind, home_regions=("b",))
    servers: dict[str, dict[str, Script]] = {"a": {}, "b": {"s1": answer}}
    async with relay_fleet((bound,), servers, slots=1_024) as fleet:
        entry, peer = fleet.vms["a"], fleet.vms["b"]
        recorded = RecordedPeer(f"{peer.host}:{entry.relay.hop_port}")
        async with ScriptedServer(name="", host=peer.host, script=recorded) as hop:
            entry.dial[recorded.address] = hop.address
            assert (await ask(entry, bound.path_prefix)).status == 200
            size = len(recorded.answer)
            hop.script = script = CutAnswers(
                answer=recorded.answer, requests=size, is_reset=is_reset, is_killed=is_killed
            )
            sending = (ask(entry, bound.path_prefix, data=str(cut)) for cut in range(size))
            got = await asyncio.gather(*sending, return_exceptions=True)
    assert len(script.arrived) == size
    assert all(isinstance(each, aiohttp.ClientPayloadError) or each.status == 502 for each in got)
