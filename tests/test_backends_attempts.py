import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from attrs import define, field
from test_end_check import ANY_ANSWER, is_running

from pomelobarrow.backends.engine import EngineAttempt
from pomelobarrow.backends.service import ServiceAttempt
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.common.errors import Refusal
from pomelobarrow.decision.published.configuration import Rank, WorkClass
from pomelobarrow.decision.requests.attempt import Attempt, AttemptState
from pomelobarrow.decision.requests.work import BackendServer, Work
from pomelobarrow.decision.streams.server_sent_events import MAX_EVENT_BYTES
from pomelobarrow.dispatch.answers import AnswerHead, AttemptResult
from pomelobarrow.dispatch.request import GatewayRequest

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
EVENT = b"data: token\n\n"
END_EVENT = b"data: [DONE]\n\n"
EVENTS = b"".join(b'data: {"n": %d}\n\n' % number for number in range(6)) + END_EVENT


@define
class Sink:
    """Record an answer."""

    status: int = 0
    body: bytes = b""
    is_whole: bool = False

    async def head(self, head: AnswerHead) -> None:
        self.status = head.status

    async def chunk(self, data: bytes) -> None:
        self.body += data

    async def end(self, last: bytes = b"") -> None:
        self.body += last
        self.is_whole = True

    async def abort(self, refusal: Refusal) -> None:
        raise AssertionError("an attempt must leave abort() to the dispatcher")


@define
class Backend:
    """Backend server that answers with the handlers of a test and records the calls."""

    handlers: dict[str, Handler] = field(factory=dict)
    calls: list[str] = field(factory=list)
    address: str = ""

    async def handle(self, request: web.Request) -> web.StreamResponse:
        self.calls.append(request.method)
        return await self.handlers[request.method](request)


@pytest.fixture
async def backend() -> AsyncIterator[Backend]:
    fake_server = Backend()
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", fake_server.handle)
    runner = web.AppRunner(app, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    fake_server.address = f"{host}:{port}"
    yield fake_server
    await runner.cleanup()


def request_for(method: str, is_chat: bool, repeatable: bool, deadline_s: float) -> GatewayRequest:
    now = time.time()
    work = Work(
        request_id="id-1",
        class_name="query",
        account="a",
        rank=Rank.PAYING,
        pool="p",
        model=None,
        home_region="r",
        home_bound=False,
        repeatable=repeatable,
        prompt_tokens=1,
        expected_output_tokens=1,
        accepted_unix_s=now,
        first_token_due_unix_s=now + 1,
        deadline_unix_s=now + deadline_s,
    )
    work_class = WorkClass(
        name="query", pool="p", first_token_target_s=1.0, finish_target_s=1.0, repeatable=repeatable
    )
    return GatewayRequest(
        work=work,
        work_class=work_class,
        is_chat=is_chat,
        is_streamed=True,
        method=method,
        path="/orders",
        body=b"{}",
    )


async def attempt(
    backend: Backend,
    attempt_class: Any,
    method: str = "POST",
    repeatable: bool = False,
    deadline_s: float = 5.0,
) -> tuple[AttemptResult, Sink]:
    sessions, sink = BackendSessions({}), Sink()
    server = BackendServer(
        name="s",
        region="r",
        failure_domain="d",
        address=backend.address,
        pool="p",
        slots=1,
        kv_capacity_tokens=0,
    )
    try:
        result = await attempt_class(
            sessions=sessions,
            request=request_for(method, attempt_class is EngineAttempt, repeatable, deadline_s),
            server=server,
            attempt=Attempt(),
            number=1,
            sink=sink,
            on_first_byte=lambda: None,
        ).run()
    finally:
        await sessions.close()
    return result, sink


async def close_connection(request: web.Request) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.close()
    return web.Response()


async def never_answer(request: web.Request) -> web.StreamResponse:
    await asyncio.Event().wait()
    raise AssertionError


def answer(payload: dict[str, Any], status: int = 200) -> Handler:
    async def handler(request: web.Request) -> web.StreamResponse:
        return web.json_response(payload, status=status)

    return handler


def events(start: int, end: int) -> Handler:
    async def handler(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": str(len(EVENTS))})
        await response.prepare(request)
        await response.write(EVENTS[start:end])
        return await close_connection(request)

    return handler


@pytest.mark.parametrize("method", ["GET", "PUT", "DELETE", "POST"])
@pytest.mark.parametrize("repeatable", [True, False])
async def test_a_call_is_sent_once_whatever_its_method(
    backend: Backend, method: str, repeatable: bool
) -> None:
    """A service closes the connection after a call without answering it.

    aiohttp resends a GET, PUT or DELETE by itself then, even if the connection was new, and a call
    that must not be repeated would run twice.
    """
    backend.handlers[method] = close_connection
    result, _ = await attempt(backend, ServiceAttempt, method, repeatable)
    assert backend.calls == [method]
    assert result.state is AttemptState.UNKNOWN


@pytest.mark.parametrize(
    ("payload", "state"),
    [
        ({"outcome": "not_run", "uptime_s": 60.0}, AttemptState.REFUSED_UNRUN),
        ({"outcome": "not_run", "uptime_s": 0.5}, AttemptState.UNKNOWN),
        ({"outcome": "not_run"}, AttemptState.UNKNOWN),
        ({"outcome": "cancelled", "uptime_s": 60.0}, AttemptState.UNKNOWN),
    ],
)
async def test_an_engine_started_since_the_request_was_sent_cannot_say_not_run(
    backend: Backend, payload: dict[str, Any], state: AttemptState
) -> None:
    """An engine receives a request, restarts, and is asked to cancel it at the deadline."""
    backend.handlers = {"POST": never_answer, "DELETE": answer(payload)}
    result, _ = await attempt(backend, EngineAttempt, deadline_s=0.1)
    assert result.state is state


async def test_a_redirect_is_not_followed(backend: Backend) -> None:
    async def redirect(request: web.Request) -> web.StreamResponse:
        return web.Response(status=307, headers={"Location": "/elsewhere"})

    backend.handlers = {"POST": redirect}
    result, _ = await attempt(backend, EngineAttempt)
    assert backend.calls == ["POST"]
    assert result.state is AttemptState.UNKNOWN


async def test_a_stream_that_breaks_off_often_is_resumed_to_its_end(backend: Backend) -> None:
    """An engine's connection closes after each event; each resume delivers the next one."""
    size = EVENTS.index(b"\n\n") + 2

    async def resume(request: web.Request) -> web.StreamResponse:
        start = int(request.query["offset"]) * size
        return await events(start, start + size + 3)(request)

    backend.handlers = {"POST": events(0, 5), "GET": resume}
    result, sink = await attempt(backend, EngineAttempt)
    assert result.state is AttemptState.FINISHED
    assert sink.body == EVENTS
    assert sink.is_whole


@pytest.mark.parametrize(
    ("begun", "counted"),
    [
        pytest.param(b": keep-alive\n\n" + EVENT + b": keep-alive\n\n", 1, id="comment"),
        pytest.param(b"retry: 10\n\n" + EVENT + b"\n\n", 1, id="blocks without data"),
        pytest.param(b"data: x\ndata: [DONE]\n\n" + EVENT, 2, id="end data as a last line"),
        pytest.param(EVENT.replace(b"\n", b"\r\n"), 1, id="CR LF"),
        pytest.param(EVENT.replace(b"\n", b"\r"), 1, id="CR"),
    ],
)
async def test_a_stream_of_any_form_is_resumed_after_the_events_that_came(
    backend: Backend, begun: bytes, counted: int
) -> None:
    """Comments counted as events, so that a resume left events out; other forms ended it."""
    offsets = []

    async def break_off(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": str(len(begun) + 1)})
        await response.prepare(request)
        await response.write(begun)
        return await close_connection(request)

    async def resume(request: web.Request) -> web.StreamResponse:
        offsets.append(int(request.query["offset"]))
        return web.Response(body=END_EVENT)

    backend.handlers = {"POST": break_off, "GET": resume}
    result, sink = await attempt(backend, EngineAttempt)
    assert offsets == [counted]
    assert result.state is AttemptState.FINISHED
    assert sink.body == begun + END_EVENT


async def test_event_without_end_is_given_up(backend: Backend) -> None:
    """One event of an engine filled the memory until the deadline."""
    written_bytes = 0

    async def cancel(request: web.Request) -> web.StreamResponse:
        return web.json_response({"outcome": "cancelled"})

    async def write_on(request: web.Request) -> web.StreamResponse:
        nonlocal written_bytes
        response = web.StreamResponse()
        await response.prepare(request)
        while written_bytes < 64 * MAX_EVENT_BYTES:
            await response.write(b"data: x" * 10_000)
            written_bytes += 70_000
        return response

    backend.handlers = {"POST": write_on, "DELETE": cancel}
    result, _ = await attempt(backend, EngineAttempt)
    assert result.detail == f"an event exceeds {MAX_EVENT_BYTES} bytes"
    assert written_bytes < 32 * MAX_EVENT_BYTES


@pytest.mark.parametrize("ends", [True, False], ids=["killed", "running"])
async def test_answer_without_a_mark_of_its_end_is_whole_only_of_a_running_service(
    ends: bool,
) -> None:
    """A killed process closes its connections like one that has sent its whole answer."""
    backend = Backend()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
        await writer.drain()
        if ends:
            listening.close()
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as listening:
        backend.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
        sessions = BackendSessions({})
        is_found = partial(is_running, sessions, probe=ANY_ANSWER)
        result, sink = await attempt(backend, partial(ServiceAttempt, is_running=is_found), "GET")
        await sessions.close()
    assert sink.body == b"half"
    assert sink.is_whole is not ends
    assert result.is_finished is not ends


async def test_second_answer_to_one_call_does_not_answer_the_next() -> None:
    """A service answers a call a second time while the connection is idle."""
    may_repeat = asyncio.Event()

    def head(body: bytes) -> bytes:
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if may_repeat.is_set():
            writer.write(head(b"second"))
        else:
            writer.write(head(b"first"))
            await may_repeat.wait()
            writer.write(head(b"first again"))
        await reader.read()
        writer.close()

    sessions = BackendSessions({})
    async with await asyncio.start_server(serve, "127.0.0.1", 0) as listening:
        url = f"http://127.0.0.1:{listening.sockets[0].getsockname()[1]}/"
        async with sessions.pooled.get(url) as response:
            assert await response.read() == b"first"
            assert response.connection is None
        [[(idle, _)]] = sessions.pooled.connector._conns.values()  # type: ignore[union-attr]
        may_repeat.set()
        async with asyncio.timeout(5.0):
            while not len(idle):
                await asyncio.sleep(0)
        async with sessions.pooled.get(url) as response:
            assert await response.read() == b"second"
        await sessions.close()


async def test_the_library_still_resends_without_the_safeguard(backend: Backend) -> None:
    """Fail once aiohttp no longer resends by itself; the safeguard can then be removed."""
    backend.handlers["PUT"] = close_connection
    async with aiohttp.ClientSession() as session:
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await session.put(f"http://{backend.address}/")
    assert backend.calls == ["PUT", "PUT"]
