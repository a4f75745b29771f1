"""Answers of servers and peers that never end, and what the relay reads of them."""

import asyncio

import aiohttp
import pytest
from callers import wait_until
from endless_answer import SOCKET_BYTES, STOP_BYTES, EndlessAnswer, chunk, head, raw
from relay_harness import HOST, POOL, Answer, RelayVm, ask, relay_fleet, route
from scripted_server import Exchange, ScriptedServer, answers, event, hangs, resets

from pomelobarrow.backends.answer_buffers import AnswerBuffer
from pomelobarrow.backends.answer_limits import MAX_WHOLE_ANSWER_BYTES, UNRESERVED_ANSWER_BYTES
from pomelobarrow.backends.sessions import MAX_ERROR_CHARACTERS
from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.decision.streams.server_sent_events import MAX_EVENT_BYTES
from pomelobarrow.operators.metrics import Metrics
from pomelobarrow.operators.plugin import Observer
from pomelobarrow.relay import answer as relay_answer
from pomelobarrow.relay.events import RelayAttemptEnded, RelayEnded, ServerEjected

# Long enough for a busy machine to read what the limits allow.
TIMEOUT_S = 30.0
STOP = 2 * SOCKET_BYTES
ONCE = route(RouteKind.NON_IDEMPOTENT, timeout_s=TIMEOUT_S)
IDEMPOTENT = route(RouteKind.IDEMPOTENT, timeout_s=TIMEOUT_S, max_attempts=2)
STREAM = route(RouteKind.STREAM, timeout_s=TIMEOUT_S, max_attempts=2, is_resumable=True)
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_BODIES = {
    "until the connection ends": (head(), b"x" * 1_000),
    "in chunks": (head(Transfer_Encoding="chunked"), chunk(b"x" * 1_000)),
    "of a length": (head(Content_Length=str(2 * STOP_BYTES)), b"x" * 1_000),
    "of a failure": (head(500, Transfer_Encoding="chunked"), chunk(b"x" * 1_000)),
}


async def ask_patiently(vm: RelayVm, path: str) -> Answer:
    deadline_ms = str(int(TIMEOUT_S * 1_000))
    return await ask(vm, path, headers={"Pomelobarrow-Request-Deadline": deadline_ms})


def attempts(vm: RelayVm) -> list[tuple[str, str, str]]:
    """Return target, end and exceeded limit of each attempt."""
    ended = [each for each in vm.events if isinstance(each, RelayAttemptEnded)]
    return [(each.target, each.end, each.over_limit) for each in ended]


def targets(vm: RelayVm) -> set[str]:
    return {target for target, _, _ in attempts(vm)}


@pytest.mark.parametrize("name", ENDLESS_BODIES)
async def test_whole_answer_without_end_is_given_up(name: str) -> None:
    """Guards against memory that a body fills until the deadline of its request."""
    start, repeated = ENDLESS_BODIES[name]
    endless = EndlessAnswer(start=start, repeated=repeated)
    async with relay_fleet((ONCE,), {"a": {"s1": endless}}) as fleet:
        answer = await ask_patiently(fleet.vms["a"], "/non_idempotent/")
    assert await endless.is_closed_within(MAX_WHOLE_ANSWER_BYTES)
    assert (answer.status, len(endless.written_bytes)) == (502, 1)
    assert "Retry-After" not in answer.headers
    part = "stated length" if name == "of a length" else "body"
    assert attempts(fleet.vms["a"]) == [("s1", "lost", part)]


async def test_answer_whose_stated_length_is_too_large_is_given_up_unread() -> None:
    """A client that asks for such answers would take all servers out of service."""
    body = b"x" * (MAX_WHOLE_ANSWER_BYTES + 1)
    async with relay_fleet((ONCE,), {"a": {"s1": answers(body=body)}}) as fleet:
        vm = fleet.vms["a"]
        statuses = [(await ask_patiently(vm, "/non_idempotent/")).status for _ in range(4)]
    assert statuses == [502] * 4
    assert attempts(vm) == 4 * [("s1", "lost", "stated length")]
    assert not any(isinstance(each, ServerEjected) for each in vm.events)


ENDLESS_EVENTS = {
    "line": (b"", b"x" * 1_000),
    "lines": (b"", b"data: x\n"),
    "comment": (b": ", b"x" * 1_000),
    "after an event": (event(1), b"data: x\r\n"),
}


@pytest.mark.parametrize("name", ENDLESS_EVENTS)
async def test_event_without_end_is_given_up(name: str) -> None:
    """Guards against memory that one event fills until the deadline of its request."""
    start, repeated = ENDLESS_EVENTS[name]

    def begin(exchange: Exchange) -> None:
        head()(exchange)
        if "last-event-id" not in exchange.received.headers:
            exchange.writer.write(start)

    endless = EndlessAnswer(start=begin, repeated=repeated)
    async with relay_fleet((STREAM,), {"a": {"s1": endless, "s2": endless}}) as fleet:
        vm = fleet.vms["a"]
        try:
            status = (await ask_patiently(vm, "/stream/")).status
        except aiohttp.ClientPayloadError:
            status = 200
    assert await endless.is_closed_within(MAX_EVENT_BYTES)
    assert status == (200 if start == event(1) else 502)
    assert [end for _, end, _ in attempts(vm)] == ["lost", "lost"]
    assert {part for *_, part in attempts(vm)} == {"event"}


async def test_whole_answer_without_end_is_given_up_by_a_peer() -> None:
    """Guards against a body without end that crosses the hop between two VMs."""
    endless = EndlessAnswer(start=head(), repeated=b"x" * 1_000)
    only_b = route(RouteKind.NON_IDEMPOTENT, timeout_s=TIMEOUT_S, home_regions=("b",))
    async with relay_fleet((only_b,), {"a": {}, "b": {"s1": endless}}) as fleet:
        answer = await ask_patiently(fleet.vms["a"], "/non_idempotent/")
    assert await endless.is_closed_within(MAX_WHOLE_ANSWER_BYTES)
    assert (answer.status, len(endless.written_bytes)) == (502, 1)
    assert attempts(fleet.vms["b"]) == [("s1", "lost", "body")]


async def test_repeatable_request_with_an_endless_answer_is_sent_elsewhere() -> None:
    endless = EndlessAnswer(start=head(), repeated=b"x" * 1_000)
    scripts = {"s1": endless, "s2": answers(body=b"sound")}
    async with relay_fleet((IDEMPOTENT,), {"a": scripts}) as fleet:
        vm, replies = fleet.vms["a"], list[Answer]()
        # Either server may be the first choice of a request.
        while len(replies) < 4 or ("s1" not in targets(vm) and len(replies) < 40):
            replies.append(await ask_patiently(vm, "/idempotent/"))
        assert "s1" in targets(vm)
    assert {(each.status, each.body) for each in replies} == {(200, b"sound")}
    assert await endless.is_closed_within(MAX_WHOLE_ANSWER_BYTES)


async def test_server_with_endless_answers_counts_as_failing() -> None:
    """Guards against a server that gets one request after the other and ends none of them."""
    endless = EndlessAnswer(start=head(), repeated=b"x" * 1_000)
    async with relay_fleet((ONCE,), {"a": {"s1": endless}}) as fleet:
        vm = fleet.vms["a"]
        statuses = [(await ask_patiently(vm, "/non_idempotent/")).status for _ in range(2)]
    metrics = Metrics()
    for observed in vm.events:
        Observer(metrics).observe(observed)
    assert statuses == [502, 502]
    assert [each.server for each in vm.events if isinstance(each, ServerEjected)] == ["s1"]
    assert metrics.answers_over_limit.value(POOL, "body") == 2


async def test_answer_up_to_the_limit_reaches_the_client_whole() -> None:
    """Guards against a large body that is cut, doubled or sent out of order in parts."""
    body = b"".join(b"%015d\n" % number for number in range(MAX_WHOLE_ANSWER_BYTES // 16))
    async with relay_fleet((ONCE,), {"a": {"s1": answers(body=body)}}) as fleet:
        answer = await ask_patiently(fleet.vms["a"], "/non_idempotent/")
        reserved_bytes = fleet.vms["a"].relay.sessions.buffers.reserved_bytes
    assert (answer.status, answer.body == body) == (200, True)
    assert reserved_bytes == 0


ENDLESS_FRAMING = {
    "head": EndlessAnswer(start=raw(b"HTTP/1.1 200 OK\r\nX-A:"), repeated=b" ", stop_bytes=STOP),
    "framing": EndlessAnswer(
        start=head(Transfer_Encoding="chunked"), repeated=b"0", stop_bytes=STOP
    ),
}


@pytest.mark.parametrize("part", ENDLESS_FRAMING)
async def test_server_that_sends_no_content_without_end_counts_as_failing(part: str) -> None:
    """Guards against a parser that skips bytes of no content until the deadline."""
    endless = ENDLESS_FRAMING[part]
    async with relay_fleet((ONCE,), {"a": {"s1": endless}}) as fleet:
        vm = fleet.vms["a"]
        statuses = [(await ask_patiently(vm, "/non_idempotent/")).status for _ in range(2)]
    assert statuses == [502, 502]
    assert attempts(vm) == 2 * [("s1", "lost", part)]
    assert any(isinstance(each, ServerEjected) for each in vm.events)


@pytest.mark.parametrize("start", [b"", b"HTTP/1.1 200 OK\r\nX-A: \0", b"HTTP/1.1 200 OK\r\n"])
async def test_spoiled_answer_is_quoted_in_few_characters_and_without_secrets(start: bytes) -> None:
    """Guards against logs and refusals that hold what a server sent, or the client's headers."""
    endless = EndlessAnswer(start=raw(start), repeated=b"\0", stop_bytes=STOP)
    headers = {"X-Api-Key": "client-secret", "Authorization": "Bearer client-secret"}
    async with relay_fleet((ONCE,), {"a": {"s1": endless}}) as fleet:
        vm = fleet.vms["a"]
        answer = await ask(vm, "/non_idempotent/", headers=headers)
    [ended] = [each for each in vm.events if isinstance(each, RelayAttemptEnded)]
    assert 0 < len(ended.detail) <= MAX_ERROR_CHARACTERS + len("...")
    assert len(answer.body) < 10 * MAX_ERROR_CHARACTERS
    assert "client-secret" not in ended.detail + answer.body.decode()


async def test_large_answer_waits_for_memory_and_holds_its_server_back() -> None:
    """Guards against memory that many large answers fill together."""
    large = EndlessAnswer(start=head(), repeated=b"x" * 1_000)
    async with relay_fleet((ONCE,), {"a": {"s1": large}}) as fleet:
        vm = fleet.vms["a"]
        buffers = vm.relay.sessions.buffers
        taken = [AnswerBuffer(buffers=buffers) for _ in range(2)]
        for each in taken:
            await each.reserve(MAX_WHOLE_ANSWER_BYTES)
        waiting = asyncio.create_task(ask_patiently(vm, "/non_idempotent/"))
        while not buffers.waiting:
            await asyncio.sleep(0)
        fleet.servers["s1"].script = answers(body=b"small")
        assert (await ask_patiently(vm, "/non_idempotent/")).body == b"small"
        assert large.is_read_within(0)
        assert not waiting.done()
        for each in taken:
            each.release()
        assert (await waiting).status == 502


async def test_client_that_does_not_read_holds_no_memory_after_its_deadline(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a failure that is sent after the deadline, to a client that never reads it."""
    monkeypatch.setattr(relay_answer, "MAX_SENDING_S", 0.1)
    scripts = iter((answers(500, b"x" * MAX_WHOLE_ANSWER_BYTES), hangs()))

    async def fails_and_hangs(exchange: Exchange) -> None:
        await next(scripts)(exchange)

    async with relay_fleet(
        (IDEMPOTENT,), {"a": {"s1": fails_and_hangs, "s2": fails_and_hangs}}
    ) as f:
        vm = f.vms["a"]
        reader, writer = await asyncio.open_connection(vm.host, vm.front_port, limit=1)
        lines = (
            "POST /idempotent/ HTTP/1.1",
            f"Host: {HOST}",
            "Pomelobarrow-Request-Id: r1",
            "Pomelobarrow-Request-Deadline: 1000",
            "Content-Length: 0",
        )
        writer.write("\r\n".join((*lines, "", "")).encode())

        async def is_memory_free() -> bool:
            has_ended = any(isinstance(each, RelayEnded) for each in vm.events)
            return has_ended and not vm.relay.sessions.buffers.reserved_bytes

        await wait_until(is_memory_free)
        assert [end for _, end, _ in attempts(vm)][:1] == ["answered"]
        writer.close()


async def test_stream_keeps_no_memory_for_an_event_that_it_has_sent() -> None:
    """A long stream kept it to its end, so that few of them held all other large answers back."""
    has_large, is_checked = asyncio.Event(), asyncio.Event()
    large, small = b"data: %s\n\n" % (b"x" * 4 * UNRESERVED_ANSWER_BYTES), b"data: x\n\n"

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200, Transfer_Encoding="chunked")
        exchange.write_chunk(large)
        await has_large.wait()
        exchange.write_chunk(small)
        await is_checked.wait()
        exchange.writer.write(b"0\r\n\r\n")

    fields = {"Host": HOST, "Pomelobarrow-Request-Id": "r1"}
    async with (
        relay_fleet((route(RouteKind.STREAM),), {"a": {"s1": script}}) as fleet,
        aiohttp.ClientSession() as session,
        session.post(f"{fleet.vms['a'].url}/stream/", headers=fields) as response,
    ):
        await response.content.readexactly(len(large))
        has_large.set()
        await response.content.readexactly(len(small))
        assert fleet.vms["a"].relay.sessions.buffers.reserved_bytes == 0
        is_checked.set()


@pytest.mark.parametrize(("servers", "status"), [(1, 500), (2, 502)])
async def test_large_failed_answer_is_passed_on_unless_another_server_is_tried(
    servers: int, status: int
) -> None:
    """Requests that kept one while they read the next one waited for each other."""
    body = b"x" * 16 * UNRESERVED_ANSWER_BYTES
    scripts = iter([answers(500, body), resets()])

    async def run_next(exchange: Exchange) -> None:
        await next(scripts)(exchange)

    names = [f"s{number}" for number in range(servers)]
    async with relay_fleet((IDEMPOTENT,), {"a": dict.fromkeys(names, run_next)}) as fleet:
        answer = await ask_patiently(fleet.vms["a"], "/idempotent/")
        assert sum(len(each.received) for each in fleet.servers.values()) == servers
    assert (answer.status, answer.body == body) == (status, servers == 1)


async def test_clients_that_do_not_read_hold_no_other_large_answer_back() -> None:
    """Two of them, with answers of the largest size, take all memory for large answers."""
    largest, medium = b"x" * (MAX_WHOLE_ANSWER_BYTES - 1), b"x" * 16 * UNRESERVED_ANSWER_BYTES

    async def script(exchange: Exchange) -> None:
        is_largest = exchange.received.headers["x-size"] == "largest"
        await answers(body=largest if is_largest else medium)(exchange)

    async with relay_fleet((ONCE,), {"a": {"s1": script}}) as fleet:
        vm = fleet.vms["a"]
        buffers, writers = vm.relay.sessions.buffers, []
        for number in (1, 2):
            _, writer = await asyncio.open_connection(vm.host, vm.front_port, limit=1)
            fields = f"Host: {HOST}\r\nPomelobarrow-Request-Id: r{number}\r\nX-Size: largest\r\n"
            writer.write(f"GET /non_idempotent/ HTTP/1.1\r\n{fields}\r\n".encode())
            writers.append(writer)
            while buffers.reserved_bytes < number * MAX_WHOLE_ANSWER_BYTES:
                await asyncio.sleep(0)
        answer = await ask(vm, "/non_idempotent/", headers={"X-Size": "medium"})
        for writer in writers:
            writer.transport.abort()
    assert (answer.status, answer.body == medium) == (200, True)


ENDLESS_PEERS = ENDLESS_BODIES | {
    "interim answers": (raw(b""), b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "header lines": (raw(b"HTTP/1.1 200 OK\r\n"), b"X-H: 1\r\n"),
    "header line": (raw(b"HTTP/1.1 200 OK\r\nX-H: "), b"x" * 1_000),
    "chunk extension": (head(Transfer_Encoding="chunked"), b"1;" + b"e" * 1_000),
    "trailers": (raw(CHUNKED_HEAD + b"0\r\n"), b"X-T: 1\r\n"),
    "no answer": (raw(b""), b"x" * 1_000),
}


@pytest.mark.parametrize("name", ENDLESS_PEERS)
async def test_answer_without_end_of_a_peer_itself_is_given_up(name: str) -> None:
    """Guards against a faulty VM, or what answers at its address, on the hop between two VMs."""
    start, repeated = ENDLESS_PEERS[name]
    endless = EndlessAnswer(start=start, repeated=repeated)
    only_b = route(RouteKind.NON_IDEMPOTENT, timeout_s=TIMEOUT_S, home_regions=("b",))
    async with (
        relay_fleet((only_b,), {"a": {}, "b": {}}) as fleet,
        ScriptedServer(name="peer", host="127.0.0.2", script=endless) as peer,
    ):
        vm, to_b = fleet.vms["a"], fleet.vms["b"]
        vm.dial[f"{to_b.host}:{to_b.relay.hop_port}"] = peer.address
        answer = await ask_patiently(vm, "/non_idempotent/")
    assert await endless.is_closed_within(MAX_WHOLE_ANSWER_BYTES)
    assert (answer.status, len(endless.written_bytes)) == (502, 1)
    [(target, end, _)] = attempts(vm)
    assert (target, end) == ("vm-b", "lost")
