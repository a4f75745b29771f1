"""Bytes of no content that a server sends without end, on both kinds of connections to servers."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from unittest.mock import Mock

import aiohttp
import pytest
from endless_answer import SOCKET_BYTES, EndlessAnswer, raw
from scripted_server import Exchange, Script, ScriptedServer

from pomelobarrow.backends.answer_handler import AnswerHandler
from pomelobarrow.backends.answer_limits import (
    MAX_FRAMING_BYTES,
    MAX_HEADER_LINE_BYTES,
    MAX_HEADER_LINES,
    MAX_INTERIM_ANSWERS,
)
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.backends.single_use import SingleExchange, SingleRequest

STOP_BYTES = 2 * SOCKET_BYTES
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"


async def by_exchange(address: str) -> bytes:
    """Return a body by a connection for one request."""
    request = SingleRequest(method="GET", address=address, target="/", headers=(("Host", "x"),))
    exchange = SingleExchange(request=request, connect_timeout_s=1.0)
    try:
        response = await exchange.start()
        return await response.content.read()
    finally:
        exchange.close()


async def by_session(address: str) -> bytes:
    """Return a body by a pooled connection."""
    sessions = BackendSessions({})
    try:
        async with sessions.pooled.get(sessions.url(address, "/")) as response:
            return await response.read()
    finally:
        await sessions.close()


Client = Callable[[str], Awaitable[bytes]]
both_clients = pytest.mark.parametrize("client", [by_exchange, by_session])


@asynccontextmanager
async def serving(script: Script) -> AsyncIterator[str]:
    """Run a server and yield its address."""
    async with ScriptedServer(name="s1", host="127.0.0.1", script=script) as server:
        yield server.address


def sends(data: bytes) -> Script:
    async def script(exchange: Exchange) -> None:
        exchange.writer.write(data)
        await exchange.writer.drain()

    return script


# What never ends, and what comes before it.
ENDLESS = {
    "interim answers": (b"", INTERIM),
    "empty lines": (b"", b"\r\n"),
    "bytes of no protocol": (b"", b"\0"),
    "reason": (b"HTTP/1.1 200 ", b"x"),
    "header lines": (OK, b"X-A: 1\r\n"),
    "header name": (OK, b"x"),
    "header value": (OK + b"X-A: ", b"x"),
    "folded header value": (OK + b"X-A: 1", b"\r\n  "),
    "spaces before a header value": (OK + b"X-A:", b" "),
    "chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"5;", b"e"),
    "chunks of one byte with extensions": (CHUNKED, b"1;" + 1_000 * b"e" + b"\r\nx\r\n"),
    "trailer lines": (CHUNKED + b"0\r\n", b"X-A: 1\r\n"),
    "spaces before a trailer value": (CHUNKED + b"0\r\nX-A:", b" "),
}


@both_clients
@pytest.mark.parametrize("name", ENDLESS)
async def test_answer_that_brings_no_content_is_given_up(name: str, client: Client) -> None:
    """Guards against a server that keeps a connection and the parser busy until the deadline."""
    start, repeated = ENDLESS[name]
    endless = EndlessAnswer(start=raw(start), repeated=repeated, stop_bytes=STOP_BYTES)
    async with serving(endless) as address:
        with pytest.raises(aiohttp.ClientError):
            await client(address)
        assert await endless.is_closed_within(MAX_FRAMING_BYTES)


async def test_idle_connection_that_brings_answers_without_end_is_closed() -> None:
    """Guards against memory for answers that nobody asked for on a pooled connection."""
    answer = OK + b"Content-Length: 2\r\n\r\nok"
    endless = EndlessAnswer(start=raw(answer), repeated=answer, stop_bytes=STOP_BYTES)
    sessions = BackendSessions({})
    async with serving(endless) as address:
        async with sessions.pooled.get(sessions.url(address, "/")) as response:
            assert await response.read() == b"ok"
        assert await endless.is_closed_within(MAX_FRAMING_BYTES)
        await sessions.close()


@both_clients
async def test_switch_of_protocols_that_nobody_asked_for_is_no_answer(client: Client) -> None:
    """Guards against clients that take the bytes after a passed on 101 for another protocol."""
    switch = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
    endless = EndlessAnswer(start=raw(switch), repeated=b"x", stop_bytes=STOP_BYTES)
    async with serving(endless) as address:
        with pytest.raises(aiohttp.ClientError):
            await client(address)
        assert await endless.is_closed_within(MAX_FRAMING_BYTES)


@both_clients
@pytest.mark.parametrize("status", [0, 99, 100, 199, 600, 999])
async def test_status_that_http_does_not_have_is_no_answer(status: int, client: Client) -> None:
    """Guards against a client that gets the status of a server in trouble as an answer."""
    head = b"HTTP/1.1 %03d X\r\nContent-Length: 4\r\n\r\nbody" % status
    async with serving(sends(head)) as address:
        with pytest.raises(aiohttp.ClientError):
            await client(address)


SOUND = {
    "many interim answers": MAX_INTERIM_ANSWERS * INTERIM + OK + b"Content-Length: 4\r\n\r\nbody",
    "large head": OK
    + b"".join(b"X-%03d: %s\r\n" % (n, 400 * b"v") for n in range(MAX_HEADER_LINES - 1))
    + b"Content-Length: 4\r\n\r\nbody",
    "long header line": OK
    + b"X-A: %s\r\nContent-Length: 4\r\n\r\nbody" % ((MAX_HEADER_LINE_BYTES - 3) * b"v"),
    "trailer": CHUNKED + b"4\r\nbody\r\n0\r\nX-A: 1\r\n\r\n",
}


BODY = b"Content-Length: 4\r\n\r\nbody"
MALFORMED = b"\0\0no answer\r\n\r\n"


@both_clients
@pytest.mark.parametrize(
    "answer",
    [
        pytest.param(OK + BODY, id="length"),
        pytest.param(CHUNKED + b"4\r\nbody\r\n0\r\n\r\n", id="chunks"),
        pytest.param(2 * INTERIM + OK + BODY, id="interim answers"),
    ],
)
async def test_whole_answer_is_read_whatever_follows_it(answer: bytes, client: Client) -> None:
    """An answer was lost if bytes that belong to no answer were received together with it."""
    async with serving(sends(answer + MALFORMED)) as address:
        assert await client(address) == b"body"


@pytest.mark.parametrize("size", range(1, len(OK + BODY)))
async def test_whole_answer_is_read_wherever_its_head_is_cut(size: int) -> None:
    """An answer was lost together with what follows it, also if its head came in two reads."""
    handler = AnswerHandler(loop=asyncio.get_running_loop())
    handler.connection_made(Mock(spec=asyncio.Transport, **{"get_extra_info.return_value": None}))
    handler.set_response_params(read_until_eof=True)
    data = OK + BODY + MALFORMED
    handler.data_received(data[:size])
    handler.data_received(data[size:])
    _, content = await handler.read()
    assert await content.read() == b"body"


@both_clients
@pytest.mark.parametrize("name", SOUND)
async def test_unusual_but_sound_answer_is_read(name: str, client: Client) -> None:
    async with serving(sends(SOUND[name])) as address:
        assert await client(address) == b"body"


@both_clients
async def test_body_in_chunks_of_one_byte_is_read_whole(client: Client) -> None:
    """Guards against limits on framing that a sound server of tiny chunks exceeds."""
    size = 300_000
    async with serving(sends(CHUNKED + size * b"1\r\nx\r\n" + b"0\r\n\r\n")) as address:
        assert await client(address) == size * b"x"


async def test_reset_after_a_whole_answer_leaves_it_whole() -> None:
    """An answer was lost if its idle connection was reset before all of it had been read."""
    is_read = asyncio.Event()

    async def answer_then_reset(exchange: Exchange) -> None:
        exchange.writer.write(OK + b"Content-Length: 5\r\n\r\nwhole")
        await is_read.wait()
        exchange.reset()

    sessions = BackendSessions({})
    async with (
        serving(answer_then_reset) as address,
        sessions.pooled.get(sessions.url(address, "/")) as response,
    ):
        assert sessions.pooled.connector is not None
        [[(idle, _)]] = sessions.pooled.connector._conns.values()
        is_read.set()
        async with asyncio.timeout(5.0):
            while idle.transport is not None:
                await asyncio.sleep(0)
        assert await response.read() == b"whole"
    await sessions.close()
