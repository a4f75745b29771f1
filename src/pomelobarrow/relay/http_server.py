"""Accept HTTP connections; what a malformed request contains reaches no log and no answer."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import structlog
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
from attrs import frozen

from pomelobarrow.callers.client_connection import (
    MAX_HEADER_LINES,
    ClientConnection,
    ClientGate,
)

log = structlog.get_logger(__name__)

# A chunk of one byte takes six bytes.
MAX_FRAMING_FACTOR = 8


@frozen(kw_only=True)
class ConnectionLimits:
    """The largest header line and body of a request, and how long a connection may stay idle."""

    field_bytes: int
    body_bytes: int
    idle_s: float

    @property
    def request_bytes(self) -> int:
        """Return how many bytes a connection receives at most from one head to the next."""
        head_bytes = (1 + MAX_HEADER_LINES) * self.field_bytes
        return head_bytes + MAX_FRAMING_FACTOR * self.body_bytes


class _RequestHandler(ClientConnection):
    """Reject requests that can't be parsed without a quote of them, and those without end.

    aiohttp logs the line that it could not parse and sends it back. That line may be the header
    with an account's key. It bounds heads and bodies, but not chunk extensions, empty lines before
    a request and what follows a rejected head.
    """

    def __init__(
        self,
        manager: web.Server,
        *,
        limits: ConnectionLimits,
        on_too_long: Callable[[], None],
        gate: ClientGate,
        loop: asyncio.AbstractEventLoop,
        **options: Any,
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            gate=gate,
            max_line_bytes=limits.field_bytes,
            keepalive_timeout=limits.idle_s,
            **options,
        )
        # aiohttp has one size of bodies for all connections of a server.
        self._request_factory = partial(
            web.BaseRequest, loop=loop, client_max_size=limits.body_bytes
        )
        self._max_bytes = limits.request_bytes
        self._on_too_long = on_too_long
        self._bytes_since_head = 0

    def data_received(self, data: bytes) -> None:
        """Parse what arrives; close the connection if a request has no end."""
        heads_before = self._request_count
        super().data_received(data)
        if self._request_count != heads_before:
            self._bytes_since_head = 0
            return
        self._bytes_since_head += len(data)
        if self._bytes_since_head > self._max_bytes and self.transport is not None:
            self._on_too_long()
            self.transport.abort()
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a request that was not handled, and close its connection."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        log.warning("malformed request rejected", error=type(exc).__name__, status=status)
        response = web.Response(status=status, text="the request is malformed\n")
        response.force_close()
        return response


class HttpServer(web.Server):
    """Create a connection handler for each connection."""

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Any],
        *,
        limits: Callable[[], ConnectionLimits],
        on_too_long: Callable[[], None],
        gate: ClientGate,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self._limits = limits
        self._gate = gate
        self._on_too_long = on_too_long

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        return _RequestHandler(
            self,
            loop=self._loop,
            limits=self._limits(),
            on_too_long=self._on_too_long,
            gate=self._gate,
            **self._kwargs,
        )
