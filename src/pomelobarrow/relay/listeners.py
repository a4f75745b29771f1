"""Listen for clients, peers and readiness checks, and stop without truncating an answer."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import structlog
from aiohttp import web
from attrs import define, frozen
from mode import Service

from pomelobarrow.callers.client_budgets import ClientBudgets
from pomelobarrow.callers.client_connection import ClientGate
from pomelobarrow.callers.listening import ACCEPTED_AT_ONCE, listen, listening_socket
from pomelobarrow.callers.server import flush
from pomelobarrow.decision.admission.budget_limits import MAX_PUBLISHED_BODY_BYTES, ListenerGroup
from pomelobarrow.decision.published.routing import CallerLimits
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.events import RequestTooLong
from pomelobarrow.relay.http_server import ConnectionLimits, HttpServer

# At least; more where the published limits allow it.
FIELD_BYTES = 16 << 10
# Clients reuse connections that were idle for most of the published time.
KEEPALIVE_S = 75.0
# Published limits count up to these: a VM has 300 MB.
MAX_PUBLISHED_FIELD_BYTES = 256 << 10
NONE_PUBLISHED = CallerLimits(header_bytes=0, body_bytes=0, idle_s=0.0)
IN_TRANSIT_WAIT_S = 0.25
IDLE_CHECK_EVERY_S = 0.05

log = structlog.get_logger(__name__)

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@frozen(kw_only=True)
class Listener:
    """Describe one listening address and its handler."""

    name: str
    address: str
    handler: Handler
    group: ListenerGroup = ListenerGroup.REQUESTS
    max_body_bytes: int = 1 << 16
    # Returns the published limits, which hold for requests of routes only.
    published: Callable[[], CallerLimits] = lambda: NONE_PUBLISHED

    def limits(self) -> ConnectionLimits:
        """Return the limits of a connection that opens now."""
        published = self.published()
        body_bytes = min(published.body_bytes, MAX_PUBLISHED_BODY_BYTES)
        return ConnectionLimits(
            field_bytes=max(FIELD_BYTES, min(published.header_bytes, MAX_PUBLISHED_FIELD_BYTES)),
            body_bytes=max(self.max_body_bytes, body_bytes),
            idle_s=max(KEEPALIVE_S, published.idle_s),
        )


@define(eq=False)
class _OpenListener:
    server: web.Server
    socket: asyncio.Server


class RelayListeners(Service):
    """Open and close the listening sockets."""

    def __init__(
        self,
        listeners: tuple[Listener, ...],
        in_progress: Callable[[], int],
        observe: Callable[[object], None] = lambda event: None,
        budgets: ClientBudgets | None = None,
    ) -> None:
        super().__init__()
        self._observe = observe
        self._budgets = budgets or ClientBudgets()
        self._listeners = listeners
        self._in_progress = in_progress
        self._opened: list[_OpenListener] = []

    async def on_start(self) -> None:
        """Open all sockets."""
        loop = asyncio.get_running_loop()
        for listener in self._listeners:
            # Without handler_cancellation a request goes on after its client has left, and keeps a
            # slot of its backend server.
            server = HttpServer(
                listener.handler,
                limits=listener.limits,
                on_too_long=partial(self._observe, RequestTooLong(listener=listener.name)),
                gate=ClientGate(
                    listener=listener.name,
                    budget=self._budgets.of(listener.group),
                    observe=self._observe,
                ),
                handler_cancellation=True,
                access_log=None,
                # Bodies are forwarded unchanged.
                auto_decompress=False,
            )
            opened = listening_socket(
                listener.address, bounds_unread=listener.group is not ListenerGroup.PEERS
            )
            socket = await loop.create_server(server, sock=opened, backlog=ACCEPTED_AT_ONCE)
            listen(opened)
            self._opened.append(_OpenListener(server, socket))
            log.info("listening", purpose=listener.name, address=listener.address)

    async def wait_until_idle(self, since_unix_s: float, until_unix_s: float) -> None:
        """Return once nothing is in progress, not before the first time nor after the second."""
        while now_unix_s() < until_unix_s:
            if now_unix_s() >= since_unix_s and not self._in_progress():
                return
            await asyncio.sleep(IDLE_CHECK_EVERY_S)
        log.warning("stopping with work in progress", requests=self._in_progress())

    async def close(self) -> None:
        """Stop accepting connections; return once every answer has been sent."""
        for each in self._opened:
            each.socket.close()
        # The request of a connection accepted just before may still be in transit.
        await asyncio.sleep(IN_TRANSIT_WAIT_S)
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
        """Close the sockets that are still open."""
        for each in self._opened:
            each.socket.close()
