"""Connections of clients within a small budget, over real sockets."""

import asyncio
import gc
import tracemalloc
import weakref
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable

import pytest
from aiohttp import web
from attrs import define, field
from result import Err
from test_request_turns import LoopSteps

from harness.processes import free_ports
from pomelobarrow.callers import client_connection
from pomelobarrow.callers.bodies import read_body
from pomelobarrow.callers.client_budgets import ClientBudgets
from pomelobarrow.callers.client_connection import ClientLimited
from pomelobarrow.callers.request_turns import RequestTurns
from pomelobarrow.decision.admission.budget_limits import ListenerGroup
from pomelobarrow.decision.admission.client_budget import (
    STALLED_S,
    BudgetLimits,
    ClientBudget,
)
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.listeners import Listener, RelayListeners

HOST = "127.0.0.1"
MAX_BODY_BYTES = 1 << 20
LIMITS = BudgetLimits(connections=4, held_bytes=2 * MAX_BODY_BYTES)
BODY = b"b" * MAX_BODY_BYTES
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
LENGTH = b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SMALL = HEAD + b"Content-Length: 2\r\n\r\nok"
LINES = [b"X-%d: " % n + b"h" * 15_000 + b"\r\n" for n in range(100)]
LONG_LINES = b"".join(LINES)
REQUESTS_AHEAD = 50

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@define
class Server:
    """A listener whose handler answers with the size of the body."""

    port: int = 0
    budget: ClientBudget = field(default=ClientBudgets().of(ListenerGroup.REQUESTS))
    events: list[ClientLimited] = field(factory=list)
    # The sizes of the bodies that were read whole.
    bodies: list[int] = field(factory=list)
    answer: bytes = b""
    opened: list[Connection] = field(factory=list)
    # The request that arrived last, also if its body has not arrived.
    latest: "weakref.ref[web.BaseRequest] | None" = None
    # Treats requests in place of reading their bodies.
    handle_request: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]] | None = None

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.latest = weakref.ref(request)
        if self.handle_request is not None:
            return await self.handle_request(request)
        read = await read_body(request, now_unix_s() + 60.0)
        if isinstance(read, Err):
            return web.Response(status=read.err_value.kind.status, text=read.err_value.run.value)
        self.bodies.append(len(read.ok_value))
        return web.Response(body=self.answer or str(len(read.ok_value)).encode())

    async def connect(self) -> Connection:
        connection = await asyncio.open_connection(HOST, self.port)
        # A connection without a reference closes.
        self.opened.append(connection)
        return connection

    async def begin_body(self) -> Connection:
        """Send a request that stops a byte short of its end; wait until all of it is received."""
        reader, writer = await self.connect()
        before_bytes, latest = self.budget.held_bytes, self.latest
        writer.write(HEAD + LENGTH + BODY[:-1])
        while self.latest is latest or not self._is_latest_received():
            await asyncio.sleep(0.01)
        assert self.budget.held_bytes - before_bytes >= MAX_BODY_BYTES
        return reader, writer

    def _is_latest_received(self) -> bool:
        request = self.latest and self.latest()
        return request is not None and request.content.total_bytes == MAX_BODY_BYTES - 1

    def actions(self) -> list[tuple[str, str, str]]:
        return [(each.limit, each.action, each.phase) for each in self.events]


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    server = Server()
    [server.port] = free_ports(1)
    budgets = ClientBudgets()
    server.budget = budgets.of(ListenerGroup.REQUESTS)
    server.budget.limits = LIMITS
    listener = Listener(
        name="clients",
        address=f"{HOST}:{server.port}",
        handler=server.handle,
        max_body_bytes=MAX_BODY_BYTES,
    )
    listeners = RelayListeners(
        (listener,),
        observe=server.events.append,  # type: ignore[arg-type]
        budgets=budgets,
    )
    await listeners.start()
    yield server
    await listeners.close()
    await listeners.stop()


@pytest.fixture
def later(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return a list whose last entry is added to the time at which decisions are made."""
    offsets_s = [0.0]
    clock = client_connection.now_unix_s
    monkeypatch.setattr(client_connection, "now_unix_s", lambda: clock() + offsets_s[-1])
    return offsets_s


async def ask(connection: Connection, request: bytes) -> tuple[bytes, bytes]:
    """Return the status line and the body of the answer."""
    connection[1].write(request)
    return await answer_of(connection)


async def answer_of(connection: Connection) -> tuple[bytes, bytes]:
    reader, _ = connection
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    length = int(head.partition(b"content-length: ")[2].partition(b"\r")[0])
    return head.partition(b"\r\n")[0], await reader.readexactly(length)


async def test_body_without_room_is_refused_as_not_run(server: Server) -> None:
    """Guards against bodies that fill the memory, and against a refusal of one that was read."""
    held = await server.begin_body()
    refused = await ask(await server.connect(), HEAD + LENGTH + BODY)
    assert refused == (b"http/1.1 503 service unavailable", b"no")
    assert server.bodies == []
    assert server.actions() == [("memory", "refused", "receiving")]
    assert await ask(held, b"b") == (b"http/1.1 200 ok", str(MAX_BODY_BYTES).encode())
    assert server.budget.held_bytes == 0


async def test_body_in_chunks_is_counted_as_it_comes(server: Server) -> None:
    await server.begin_body()
    chunk = b"10000\r\n" + b"c" * 65_536 + b"\r\n"
    request = HEAD + CHUNKED + 16 * chunk + b"0\r\n\r\n"
    status, _ = await ask(await server.connect(), request)
    assert status == b"http/1.1 503 service unavailable"
    assert server.bodies == []


async def test_small_requests_are_served_beside_large_bodies(server: Server) -> None:
    await server.begin_body()
    connection = await server.connect()
    for _ in range(3):
        assert await ask(connection, SMALL) == (b"http/1.1 200 ok", b"2")
    assert server.events == []


async def test_stalled_body_is_refused_once_another_needs_its_room(
    server: Server, later: list[float]
) -> None:
    """Guards against bodies that stop a byte short of their end and keep the memory."""
    stalled = await server.begin_body()
    later.append(STALLED_S + 1.0)
    served = await ask(await server.connect(), HEAD + LENGTH + BODY)
    assert served == (b"http/1.1 200 ok", str(MAX_BODY_BYTES).encode())
    assert await answer_of(stalled) == (b"http/1.1 408 request timeout", b"no")
    assert server.bodies == [MAX_BODY_BYTES]
    assert server.actions() == [("memory", "closed", "receiving")]


async def test_head_without_room_closes_its_connection(server: Server) -> None:
    """Guards against heads that stop before their blank line."""
    await server.begin_body()
    reader, writer = await server.connect()
    writer.write(HEAD + LONG_LINES)
    with pytest.raises(ConnectionError):
        await reader.readexactly(1)
    assert server.actions() == [("memory", "refused", "receiving")]


async def test_requests_sent_ahead_are_parsed_a_few_at_a_time(server: Server) -> None:
    """Guards against a client that sends requests ahead and reads no answer."""
    connection, count = await server.connect(), 40
    request = HEAD + LONG_LINES[:60_000] + b"Content-Length: 0\r\n\r\n"
    connection[1].write(count * request)
    most_bytes = 0
    for _ in range(count):
        assert await answer_of(connection) == (b"http/1.1 200 ok", b"0")
        most_bytes = max(most_bytes, server.budget.held_bytes)
    assert 0 < most_bytes < 10 * len(request)
    assert server.events == []


async def test_answers_that_nobody_reads_are_counted(server: Server, later: list[float]) -> None:
    """Guards against answers that fill the memory."""
    server.answer = b"a" * (16 << 20)
    _, writer = await server.connect()
    writer.write(SMALL)
    while not server.budget.held_bytes:
        await asyncio.sleep(0.01)
    server.answer = b""
    later.append(STALLED_S + 1.0)
    # The first look finds that the kernel has taken a part of it.
    for _ in range(3):
        later.append(later[-1] + STALLED_S + 1.0)
        status, _ = await ask(await server.connect(), HEAD + LENGTH + BODY)
    assert status == b"http/1.1 200 ok"
    assert ("memory", "closed", "sending") in server.actions()


async def test_idle_connection_is_closed_for_a_new_one(server: Server) -> None:
    """Guards against open connections that take all descriptors."""
    idle = [await server.connect() for _ in range(LIMITS.connections)]
    # It was used last.
    assert await ask(idle[0], SMALL) == (b"http/1.1 200 ok", b"2")
    assert await ask(await server.connect(), SMALL) == (b"http/1.1 200 ok", b"2")
    assert await idle[1][0].read() == b""
    assert await ask(idle[0], SMALL) == (b"http/1.1 200 ok", b"2")
    assert server.actions() == [("connections", "closed", "idle")]


async def test_all_is_given_back_when_clients_leave(server: Server) -> None:
    lines = LONG_LINES[:150_000]
    for sent in (HEAD + lines, HEAD + LENGTH + BODY[:-1], 4 * (HEAD + lines + b"\r\n\r\n")):
        _, writer = await server.connect()
        writer.write(sent)
        await writer.drain()
        writer.transport.abort()
        while server.budget.connections:
            await asyncio.sleep(0.01)
        assert server.budget.held_bytes == 0


async def leave(server: Server, sent: bytes) -> None:
    """Send something on a new connection, and reset it once that has been counted."""
    _, writer = await server.connect()
    writer.write(sent)
    await writer.drain()
    while not server.budget.held_bytes:
        await asyncio.sleep(0.01)
    writer.transport.abort()
    while server.budget.connections:
        await asyncio.sleep(0.01)


LEFT = {
    "part of a head": HEAD + LONG_LINES[:500_000],
    "part of a body": HEAD + LENGTH + BODY[:-1],
    "a long head and a part of a body": HEAD + b"".join(LINES[:20]) + CHUNKED + b"1\r\na",
}


@pytest.mark.parametrize("sent", LEFT.values(), ids=LEFT)
async def test_memory_of_clients_that_leave_is_freed_at_once(server: Server, sent: bytes) -> None:
    """Guards against memory that is kept until the garbage collector runs, which is seldom."""
    await leave(server, sent)
    gc.disable()
    tracemalloc.start()
    try:
        for _ in range(8):
            await leave(server, sent)
        left_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        gc.enable()
    assert left_bytes < len(sent)


async def test_requests_sent_ahead_leave_connections_to_others(
    server: Server, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients with thousands of requests ahead kept all connections, so that others were closed."""
    may_start, waiting = asyncio.Event(), Counter[str]()

    async def take(turns: RequestTurns) -> None:
        waiting["requests"] += 1
        await may_start.wait()

    monkeypatch.setattr(RequestTurns, "take", take)
    for _ in range(LIMITS.connections):
        _, writer = await server.connect()
        writer.write(2 * SMALL)
    while waiting["requests"] < LIMITS.connections:
        await asyncio.sleep(0.01)
    assert await ask(await server.connect(), SMALL) == (b"http/1.1 200 ok", b"2")
    assert server.actions() == [("connections", "closed", "queued")]
    may_start.set()
    while server.budget.held_bytes or len(server.bodies) < 2 * LIMITS.connections:
        await asyncio.sleep(0.01)
    # The second request of the closed connection has not run.
    assert len(server.bodies) == 2 * LIMITS.connections


async def test_requests_sent_ahead_start_one_after_the_other(server: Server) -> None:
    """Clients that sent thousands of requests ahead left others no processor time."""
    steps, started = LoopSteps(), Counter[int]()
    connections = [await server.connect() for _ in range(LIMITS.connections)]

    async def count(request: web.BaseRequest) -> web.StreamResponse:
        started[steps.number] += 1
        return web.Response()

    server.handle_request = count
    steps.start()
    for _, writer in connections:
        writer.write(SMALL * REQUESTS_AHEAD)
    for connection in connections:
        for _ in range(REQUESTS_AHEAD):
            assert await answer_of(connection) == (b"http/1.1 200 ok", b"")
    steps.stop()
    assert sum(started.values()) == LIMITS.connections * REQUESTS_AHEAD
    # The first ones of all connections were not sent ahead.
    del started[min(started)]
    assert max(started.values()) == 1
