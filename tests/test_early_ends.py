"""Answers that end before their server has received the request, read by all clients of servers."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest
from relay_harness import ask, relay_fleet, route
from scripted_server import SEAL, answers

from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.backends.single_use import SingleExchange, SingleRequest
from pomelobarrow.decision.published.routing import RouteKind

HEAD = b"HTTP/1.1 200 OK\r\nPomelobarrow-Request-Id: r1\r\nPomelobarrow-Response-Seal: %b\r\n" % (
    SEAL.encode()
)
BODY = b"a whole answer"
# The client's socket takes the upload at once, and the server's only a part of it.
UPLOAD = bytes(60_000)
SERVER_RECEIVE_BYTES = 8_192

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@asynccontextmanager
async def serving(serve: Serve) -> AsyncIterator[str]:
    """Run a server that answers probes, and whose socket holds little; yield its address."""

    async def serve_or_reject(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"POST "):
            await serve(reader, writer)
        else:
            writer.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")
            writer.close()

    opened = socket.socket()
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SERVER_RECEIVE_BYTES)
    opened.bind(("127.0.0.1", 0))
    async with await asyncio.start_server(serve_or_reject, sock=opened, limit=1_024):
        yield f"127.0.0.1:{opened.getsockname()[1]}"


async def by_relay(address: str) -> bytes | None:
    """Return the body of a successful answer; None if there is none."""
    asked = route(RouteKind.NON_IDEMPOTENT)
    async with relay_fleet((asked,), {"a": {"s1": answers()}}) as fleet:
        fleet.vms["a"].dial[fleet.servers["s1"].address] = address
        answer = await ask(fleet.vms["a"], asked.path_prefix, data=UPLOAD)
    return answer.body if answer.status == 200 else None


async def by_exchange(address: str) -> bytes | None:
    """Return the same by a connection for one request."""
    request = SingleRequest(
        method="POST", address=address, target="/", headers=(("Host", "x"),), body=UPLOAD
    )
    exchange = SingleExchange(request=request, connect_timeout_s=1.0)
    try:
        response = await exchange.start()
        return await response.content.read()
    except aiohttp.ClientError:
        return None
    finally:
        exchange.close()


async def by_session(address: str) -> bytes | None:
    """Return the same by a pooled connection."""
    sessions = BackendSessions({})
    try:
        async with sessions.pooled.post(sessions.url(address, "/"), data=UPLOAD) as response:
            return await response.read()
    except aiohttp.ClientError:
        return None
    finally:
        await sessions.close()


Client = Callable[[str], Awaitable[bytes | None]]
each_client = pytest.mark.parametrize("client", [by_relay, by_exchange, by_session])


@each_client
async def test_answer_that_ends_while_its_request_is_sent_is_not_whole(client: Client) -> None:
    """A part of an answer without a length passed for whole once the sockets held the upload."""

    async def end_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"\r\n" + BODY[:5])
        writer.write_eof()
        await asyncio.Event().wait()

    async with serving(end_early) as address:
        assert await client(address) is None


@each_client
@pytest.mark.parametrize("length", [b"Content-Length: %d\r\n" % len(BODY), b""])
async def test_answer_that_ends_once_its_request_is_read_is_whole(
    length: bytes, client: Client
) -> None:
    async def end_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(len(UPLOAD))
        writer.write(HEAD + length + b"\r\n" + BODY)
        writer.close()

    async with serving(end_late) as address:
        assert await client(address) == BODY


@each_client
async def test_answer_with_a_length_is_whole_though_its_request_is_being_sent(
    client: Client,
) -> None:
    """Guards against the loss of early answers whose end is marked."""

    async def answer_early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY)
        writer.write_eof()
        await asyncio.Event().wait()

    async with serving(answer_early) as address:
        assert await client(address) == BODY
