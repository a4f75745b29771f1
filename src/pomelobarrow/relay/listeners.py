"""Listen for clients, peers and readiness checks, and stop without truncating an answer."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from typing import cast

import structlog
from aiohttp import web
from attrs import define, frozen
from mode import Service

from pomelobarrow.callers.client_budgets import ClientBudgets
from pomelobarrow.callers.client_connection import ClientConnection, ClientGate
from pomelobarrow.callers.listening import ACCEPTED_AT_ONCE, listen, listening_socket
from pomelobarrow.callers.server import flush
from pomelobarrow.decision.admission.budget_limits import MAX_PUBLISHED_BODY_BYTES, ListenerGroup
from pomelobarrow.decision.published.routing import CallerLimits
from pomelobarrow.decision.requests.planned_stop import PlannedStop
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
# For how long connections that are still in use may delay the end.
MIN_SHUTDOWN_S = 0.2
MAX_SHUTDOWN_S = 1.0

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
        observe: Callable[[object], None] = lambda event: None,
        budgets: ClientBudgets | None = None,
        planned_stop: PlannedStop | None = None,
    ) -> None:
        super().__init__()
        self._stop = planned_stop or PlannedStop()
        self._observe = observe
        self._budgets = budgets or ClientBudgets()
        self._listeners = listeners
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
            if now_unix_s() >= since_unix_s and not self._open_requests():
                return
            self._refuse_late_bodies()
            await asyncio.sleep(IDLE_CHECK_EVERY_S)
        log.warning("stopping with work in progress", requests=self._open_requests())

    async def close(self) -> None:
        """Stop accepting connections; return once every answer has been sent."""
        for each in self._opened:
            each.socket.close()
        # The request of a connection accepted just before may still be in transit.
        await asyncio.sleep(IN_TRANSIT_WAIT_S)
        while self._stop.has_begun and self._is_busy(now := now_unix_s()):
            if now >= self._stop.answer_by_unix_s:
                break
            self._refuse_late_bodies()
            await asyncio.sleep(IDLE_CHECK_EVERY_S)
        # A connection reads the rest of a refused body from the next step of the loop on.
        await asyncio.sleep(0)
        transports = []
        for each in self._opened:
            transports += [connection.transport for connection in each.server.connections]
            each.server.pre_shutdown()
        timeout_s = self._shutdown_timeout_s()
        await asyncio.gather(*(each.server.shutdown(timeout_s) for each in self._opened))
        await flush([each for each in transports if each is not None])

    def _shutdown_timeout_s(self) -> float:
        if not self._stop.has_begun:
            return MAX_SHUTDOWN_S
        left_s = self._stop.answer_by_unix_s - now_unix_s()
        return min(MAX_SHUTDOWN_S, max(MIN_SHUTDOWN_S, left_s))

    def _connections(self) -> Iterator[ClientConnection]:
        for each in self._opened:
            yield from cast(list[ClientConnection], each.server.connections)

    def _open_requests(self) -> int:
        return sum(connection.open_requests for connection in self._connections())

    def _is_busy(self, now_unix_s: float) -> bool:
        """Return whether a client waits for an answer, or may not have read one yet."""
        connections = self._connections()
        return any(each.open_requests or each.still_sends(now_unix_s) for each in connections)

    def _refuse_late_bodies(self) -> None:
        now = now_unix_s()

        def may_wait(deadline_unix_s: float) -> bool:
            return self._stop.can_finish(deadline_unix_s, now)

        refused = sum(each.refuse_late_body(may_wait) for each in self._connections())
        if refused:
            log.info("unfinished bodies refused", requests=refused)

    async def on_stop(self) -> None:
        """Close the sockets that are still open."""
        for each in self._opened:
            each.socket.close()
