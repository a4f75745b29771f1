"""Listen for clients, peers and the platform's checks, and stop without cutting an answer off."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog
from aiohttp import web
from attrs import define, frozen
from mode import Service

from pomelobarrow.callers.server import flush
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.front import request_factory

MAX_FIELD_BYTES = 16 << 10
# Clients reuse connections that rested for most of the published idle time, which is shorter.
KEEPALIVE_S = 75.0
BACKLOG = 1_024
LAST_REFUSALS_S = 0.25
IDLE_CHECK_EVERY_S = 0.05

log = structlog.get_logger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@frozen(kw_only=True)
class Listener:
    """Say what is served at an address."""

    name: str
    address: str
    handler: Handler
    max_body_bytes: int = 1 << 16


@define(eq=False)
class _OpenListener:
    server: web.Server
    socket: asyncio.Server


class RelayListeners(Service):
    """Hold the listening sockets."""

    def __init__(self, listeners: tuple[Listener, ...], in_progress: Callable[[], int]) -> None:
        super().__init__()
        self._listeners = listeners
        self._in_progress = in_progress
        self._opened: list[_OpenListener] = []

    async def on_start(self) -> None:
        """Open all sockets."""
        loop = asyncio.get_running_loop()
        for listener in self._listeners:
            # Without handler_cancellation an answer goes on for a client that has left, and its
            # server's slot stays taken.
            server = web.Server(
                listener.handler,
                handler_cancellation=True,
                request_factory=request_factory(listener.max_body_bytes, loop),
                access_log=None,
                keepalive_timeout=KEEPALIVE_S,
                max_field_size=MAX_FIELD_BYTES,
                max_line_size=MAX_FIELD_BYTES,
                # Bodies go on as they came.
                auto_decompress=False,
            )
            host, _, port = listener.address.rpartition(":")
            socket = await loop.create_server(
                server, host, int(port), backlog=BACKLOG, reuse_address=True
            )
            self._opened.append(_OpenListener(server, socket))
            log.info("listening", purpose=listener.name, address=listener.address)

    async def wait_until_idle(self, since_unix_s: float, until_unix_s: float) -> None:
        """Return once nothing is in progress after a time, or at the latest time."""
        while now_unix_s() < until_unix_s:
            if now_unix_s() >= since_unix_s and not self._in_progress():
                return
            await asyncio.sleep(IDLE_CHECK_EVERY_S)
        log.warning("stopping with work in progress", requests=self._in_progress())

    async def close(self) -> None:
        """Take no more connections; return once every answer has left this process."""
        for each in self._opened:
            each.socket.close()
        # A connection accepted just before has its request still on the way.
        await asyncio.sleep(LAST_REFUSALS_S)
        while self._in_progress():
            await asyncio.sleep(IDLE_CHECK_EVERY_S)
        transports = []
        for each in self._opened:
            transports += [connection.transport for connection in each.server.connections]
            each.server.pre_shutdown()
        for each in self._opened:
            await each.server.shutdown(1.0)
        await flush([each for each in transports if each is not None])

    async def on_stop(self) -> None:
        """Close whatever is still open."""
        for each in self._opened:
            each.socket.close()
