"""Requests of clients and peers that are cut at any byte, on all listeners."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from socket import SO_LINGER, SOL_SOCKET
from unittest.mock import Mock

import pytest
from aiohttp import http_parser, web, web_protocol
from result import Ok

from harness.processes import free_ports
from pomelobarrow.callers.bodies import read_body
from pomelobarrow.callers.server import CallerServer
from pomelobarrow.callers.sinks import RESET_ON_CLOSE
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.listeners import Listener, RelayListeners

HOST = "127.0.0.1"
HEAD = b"POST /path/12?query=12 HTTP/1.1\r\nHost: a\r\nPomelobarrow-Request-Id: r12\r\n"
REQUESTS = {
    "length": HEAD + b"Content-Length: 12\r\n\r\ntwelve bytes",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
    "no body": HEAD.replace(b"POST", b"GET") + b"\r\n",
}
PARSERS = {
    name: getattr(http_parser, name)
    for name in ("HttpRequestParserC", "HttpRequestParserPy")
    if hasattr(http_parser, name)
}
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@asynccontextmanager
async def relay_listener(port: int, handler: Handler) -> AsyncIterator[None]:
    """Run a listener for clients, peers or queries of the directory."""
    listener = Listener(name="clients", address=f"{HOST}:{port}", handler=handler)
    listeners = RelayListeners((listener,))
    await listeners.start()
    yield
    await listeners.stop()


@asynccontextmanager
async def caller_server(port: int, handler: Handler) -> AsyncIterator[None]:
    """Run the server of the product's own interface."""
    context = Mock(is_draining=False)
    context.settings.callers.listen = f"{HOST}:{port}"
    context.settings.callers.max_body_bytes = 1 << 20
    context.hooks.hook.routes.return_value = [[web.route("*", "/{path:.*}", handler)]]
    server = CallerServer(context)
    await server.start()
    yield
    await server.stop()


async def send(port: int, data: bytes, end: Callable[[asyncio.StreamWriter], None]) -> bytes:
    """Send bytes and end the connection; return what comes back."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    await writer.drain()
    end(writer)
    try:
        return b"" if writer.is_closing() else await reader.read()
    finally:
        writer.close()


def close(writer: asyncio.StreamWriter) -> None:
    """Close both directions."""
    writer.close()


def half_close(writer: asyncio.StreamWriter) -> None:
    """Announce that nothing more is sent, and wait for an answer."""
    writer.write_eof()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    socket = writer.get_extra_info("socket")
    socket.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
    writer.close()


@pytest.mark.parametrize("parser", PARSERS)
@pytest.mark.parametrize("name", REQUESTS)
@pytest.mark.parametrize("listener", [relay_listener, caller_server])
async def test_cut_request_is_not_run(
    listener: Callable[[int, Handler], AbstractAsyncContextManager[None]],
    name: str,
    parser: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests with a truncated path, length or body."""
    monkeypatch.setattr(web_protocol, "HttpRequestParser", PARSERS[parser])
    read: list[tuple[str, bytes]] = []

    async def handler(request: web.BaseRequest) -> web.StreamResponse:
        body = await read_body(request, now_unix_s() + 5.0)
        if isinstance(body, Ok):
            read.append((request.raw_path, body.ok_value))
        return web.Response()

    whole, [port] = REQUESTS[name], free_ports(1)
    async with listener(port, handler):
        for end in (close, half_close, reset):
            for size in range(len(whole)):
                assert b"200" not in await send(port, whole[:size], end)
        asked = whole.replace(b"Host", b"Connection: close\r\nHost")
        assert b"200" in await send(port, asked, lambda writer: None)
    assert read == [("/path/12?query=12", b"" if name == "no body" else b"twelve bytes")]
