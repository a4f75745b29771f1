"""A client that sends bytes without end."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator

import pytest
from aiohttp import web
from attrs import define

from harness.processes import free_ports
from pomelobarrow.decision.published.routing import CallerLimits
from pomelobarrow.relay.events import RequestTooLong
from pomelobarrow.relay.http_server import ConnectionLimits
from pomelobarrow.relay.listeners import (
    FIELD_BYTES,
    KEEPALIVE_S,
    MAX_PUBLISHED_BODY_BYTES,
    MAX_PUBLISHED_FIELD_BYTES,
    NONE_PUBLISHED,
    Listener,
    RelayListeners,
)

HOST = "127.0.0.1"
MAX_BODY_BYTES = 64 << 10
# What the sockets of both ends hold beyond what was read.
SOCKETS_BYTES = 16 << 20
ENOUGH_BYTES = 128 << 20
MAX_REQUEST_BYTES = ConnectionLimits(
    field_bytes=FIELD_BYTES, body_bytes=MAX_BODY_BYTES, idle_s=KEEPALIVE_S
).request_bytes
BLOCK = b"a" * 65_536
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
Blocks = Callable[[], Iterator[bytes]]


def request_line() -> Iterator[bytes]:
    yield b"GET /"
    while True:
        yield BLOCK


def header_line() -> Iterator[bytes]:
    yield HEAD + b"X-H: "
    while True:
        yield BLOCK


def header_lines() -> Iterator[bytes]:
    yield HEAD
    while True:
        yield b"X-H: 1\r\n" * 8_000


def empty_lines() -> Iterator[bytes]:
    while True:
        yield b"\r\n" * 32_000


def body_of_a_huge_length() -> Iterator[bytes]:
    yield HEAD + b"Content-Length: 9000000000\r\n\r\n"
    while True:
        yield BLOCK


def chunks() -> Iterator[bytes]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    while True:
        yield b"10000\r\n" + BLOCK + b"\r\n"


def chunk_extension() -> Iterator[bytes]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;a="
    while True:
        yield BLOCK


def trailers() -> Iterator[bytes]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
    while True:
        yield b"X-T: 1\r\n" * 8_000


REJECTED_BY_PARSER: tuple[Blocks, ...] = (request_line, header_line, header_lines, trailers)
TOO_LONG: tuple[Blocks, ...] = (empty_lines, body_of_a_huge_length, chunks, chunk_extension)


@define
class Server:
    port: int
    events: list[object]
    # The published limits that the listener reads.
    limits: list[CallerLimits]

    async def send(self, blocks: Iterator[bytes]) -> int:
        """Send blocks until the connection is closed; return how many bytes were sent."""
        sent_bytes = 0
        _, writer = await asyncio.open_connection(HOST, self.port)
        try:
            for block in blocks:
                if sent_bytes > ENOUGH_BYTES:
                    break
                writer.write(block)
                await writer.drain()
                sent_bytes += len(block)
        except OSError:
            pass
        finally:
            writer.transport.abort()
        return sent_bytes


async def read_body(request: web.BaseRequest) -> web.Response:
    try:
        return web.Response(body=await request.read())
    except web.HTTPRequestEntityTooLarge:
        return web.Response(status=413)


@pytest.fixture
async def server() -> AsyncIterator[Server]:
    (port,) = free_ports(1)
    limits = [NONE_PUBLISHED]
    listener = Listener(
        name="clients",
        address=f"{HOST}:{port}",
        handler=read_body,
        max_body_bytes=MAX_BODY_BYTES,
        published=lambda: limits[0],
    )
    events: list[object] = []
    listeners = RelayListeners((listener,), observe=events.append)
    await listeners.start()
    yield Server(port, events, limits)
    await listeners.close()
    await listeners.stop()


@pytest.mark.parametrize("form", TOO_LONG, ids=lambda form: form.__name__)
async def test_request_without_end_is_closed_after_a_bounded_number_of_bytes(
    server: Server, form: Blocks
) -> None:
    """Guards against clients that keep a VM reading for as long as they send."""
    sent_bytes = await server.send(form())
    assert sent_bytes <= MAX_REQUEST_BYTES + SOCKETS_BYTES
    assert server.events == [RequestTooLong(listener="clients")]


@pytest.mark.parametrize("form", REJECTED_BY_PARSER, ids=lambda form: form.__name__)
async def test_head_without_end_is_closed_after_a_bounded_number_of_bytes(
    server: Server, form: Blocks
) -> None:
    """Guards against a parser that keeps a head of any length."""
    sent_bytes = await server.send(form())
    assert sent_bytes <= MAX_REQUEST_BYTES + SOCKETS_BYTES


async def test_body_in_chunks_of_one_byte_and_many_requests_on_a_connection_are_served(
    server: Server,
) -> None:
    """Guards against a bound that closes the connections of sound clients."""
    reader, writer = await asyncio.open_connection(HOST, server.port)
    body = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * MAX_BODY_BYTES
    for _ in range(1 + MAX_REQUEST_BYTES // (6 * MAX_BODY_BYTES)):
        writer.write(body + b"0\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert await reader.readexactly(MAX_BODY_BYTES) == b"a" * MAX_BODY_BYTES
    writer.close()
    assert server.events == []


async def test_request_within_the_published_limits_is_served(server: Server) -> None:
    """Guards against 400 and 413 for clients that keep to limits above this program's own."""
    header_bytes, body_bytes = 3 * FIELD_BYTES, 3 * MAX_BODY_BYTES
    server.limits[0] = CallerLimits(header_bytes=header_bytes, body_bytes=body_bytes)
    reader, writer = await asyncio.open_connection(HOST, server.port)
    long_line = b"X-H: " + b"h" * (header_bytes - 100) + b"\r\n"
    length = f"Content-Length: {body_bytes}\r\n\r\n".encode()
    writer.write(HEAD + long_line + length + b"a" * body_bytes)
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
    assert await reader.readexactly(body_bytes) == b"a" * body_bytes
    writer.close()


def test_published_limits_beyond_a_vms_memory_are_cut() -> None:
    """Guards against a configuration by which a few requests fill a VM."""
    published = CallerLimits(header_bytes=1 << 40, body_bytes=1 << 40, idle_s=600.0)
    listener = Listener(name="a", address="", handler=read_body, published=lambda: published)
    assert listener.limits() == ConnectionLimits(
        field_bytes=MAX_PUBLISHED_FIELD_BYTES, body_bytes=MAX_PUBLISHED_BODY_BYTES, idle_s=600.0
    )
