"""Compare exchanges on single-use connections with those of an aiohttp session."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp
import pytest
from attrs import define, field, frozen
from yarl import URL

from harness.processes import free_ports
from pomelobarrow.backends.sessions import BackendSessions, WithheldError
from pomelobarrow.backends.single_use import SingleExchange, SingleRequest

AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
HEADERS = (("X-A", "1"), ("X-B", "two"), ("X-B", "three"), ("Host", "shop.example"))
OK = b"HTTP/1.1 200 OK\r\n"
# A reader that is still waiting after this time would wait forever.
HANG_S = 5.0


@define
class RawServer:
    """Answer each connection with the same bytes and record what arrives."""

    answer: bytes
    is_reset: bool = False
    address: str = ""
    received: list[bytes] = field(factory=list)
    expected_body: bytes = b""
    was_closed_unsent: asyncio.Event = field(factory=asyncio.Event)

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readexactly(len(self.expected_body))
        except asyncio.IncompleteReadError as error:
            self.received.append(error.partial)
            self.was_closed_unsent.set()
            writer.close()
            return
        self.received.append(head + body)
        writer.write(self.answer)
        await writer.drain()
        if self.is_reset:
            writer.transport.abort()
        writer.close()


@asynccontextmanager
async def raw_server(
    answer: bytes, body: bytes = b"", is_reset: bool = False
) -> AsyncIterator[RawServer]:
    server = RawServer(answer, is_reset, expected_body=body)
    listening = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    server.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
    try:
        yield server
    finally:
        listening.close()
        await listening.wait_closed()


@frozen
class Outcome:
    """Represent what a caller learns of an exchange."""

    error: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


Client = Callable[[SingleRequest], Awaitable[Outcome]]


async def by_exchange(request: SingleRequest) -> Outcome:
    exchange = SingleExchange(request=request, connect_timeout_s=1.0)
    try:
        response = await exchange.start()
        body = await response.content.read()
        return Outcome("", response.status, tuple(response.headers.items()), body)
    except aiohttp.ClientError as error:
        return Outcome(type(error).__name__)
    finally:
        exchange.close()


async def by_session(request: SingleRequest) -> Outcome:
    sessions = BackendSessions({})
    try:
        async with sessions.fresh.request(
            request.method,
            URL(sessions.url(request.address, request.target), encoded=True),
            data=request.body or None,
            headers=request.headers,
            skip_auto_headers=AUTO_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0),
            allow_redirects=False,
        ) as response:
            body = await response.read()
            return Outcome("", response.status, tuple(response.headers.items()), body)
    except aiohttp.ClientError as error:
        return Outcome(type(error).__name__)
    finally:
        await sessions.close()


def single_request(address: str, **more: object) -> SingleRequest:
    fields = {"method": "POST", "address": address, "target": "/a?b=%20c", "headers": HEADERS}
    return SingleRequest(**{**fields, **more})  # type: ignore[arg-type]


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"])
@pytest.mark.parametrize("body", [b"", b"question"])
async def test_sent_request_equals_that_of_a_session(method: str, body: bytes) -> None:
    async with raw_server(OK + b"Content-Length: 0\r\n\r\n", body) as server:
        request = single_request(server.address, method=method, body=body)
        for client in (by_exchange, by_session):
            assert (await client(request)).status == 200
    exchanged, expected = (set(each.split(b"\r\n")) for each in server.received)
    assert exchanged == expected


ANSWERS = {
    "length": OK + b"X-C: 1\r\nx-c: 2\r\nContent-Length: 4\r\n\r\nbody",
    "chunked": OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "until end": OK + b"X-C: 1\r\n\r\nbody",
    "compressed": OK + b"Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nabc",
    "informational": b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK + b"Content-Length: 2\r\n\r\nok",
    "redirect": b"HTTP/1.1 302 Found\r\nLocation: /b\r\nContent-Length: 0\r\n\r\n",
    "no body": b"HTTP/1.1 204 No Content\r\n\r\n",
    "short": OK + b"Content-Length: 9\r\n\r\nbody",
    "cut chunk": OK + b"Transfer-Encoding: chunked\r\n\r\n9\r\nbody",
    "missing last chunk": OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
    "no answer": b"",
    "cut head": OK + b"X-C: 1\r\n",
    "malformed": b"no answer of HTTP\r\n\r\n",
    "wrong length": OK + b"Content-Length: many\r\n\r\nbody",
}


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
@pytest.mark.parametrize("is_reset", [False, True])
async def test_answer_is_read_as_by_a_session(answer: bytes, is_reset: bool) -> None:
    async with raw_server(answer, is_reset=is_reset) as server:
        request = single_request(server.address)
        assert await by_exchange(request) == await by_session(request)


async def test_malformed_chunk_ends_the_body_with_an_error() -> None:
    """The reader of a body whose next chunk had no size waited until its deadline."""
    has_head = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")
        await has_head.wait()
        writer.write(b"no size\r\n")
        await reader.read()
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as listening:
        address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
        exchange = SingleExchange(request=single_request(address), connect_timeout_s=1.0)
        response = await exchange.start()
        has_head.set()
        with pytest.raises(aiohttp.ClientPayloadError):
            await asyncio.wait_for(response.content.read(), HANG_S)
        exchange.close()


async def test_refused_connection_is_reported_as_by_a_session() -> None:
    request = single_request(f"127.0.0.1:{free_ports(1)[0]}")
    assert await by_exchange(request) == await by_session(request)
    with pytest.raises(aiohttp.ClientConnectorError) as raised:
        await SingleExchange(request=request, connect_timeout_s=1.0).start()
    assert isinstance(raised.value.os_error, ConnectionRefusedError)


async def test_request_withheld_when_its_connection_is_open_is_not_sent() -> None:
    def withhold() -> None:
        raise WithheldError

    async with raw_server(OK) as server:
        exchange = SingleExchange(
            request=single_request(server.address), connect_timeout_s=1.0, on_send=withhold
        )
        with pytest.raises(WithheldError):
            await exchange.start()
        exchange.close()
        await server.was_closed_unsent.wait()
    assert server.received == [b""]


async def test_connection_is_closed_with_the_end_of_the_answer() -> None:
    async with raw_server(OK + b"Content-Length: 4\r\n\r\nbody") as server:
        exchange = SingleExchange(request=single_request(server.address), connect_timeout_s=1.0)
        response = await exchange.start()
        await response.content.read()
        assert exchange.is_closed
