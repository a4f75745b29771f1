"""HTTP server for callers that finishes all answers before it stops."""

import asyncio
from collections.abc import Iterable
from typing import Any, cast

import structlog
from aiohttp import web
from mode import Service

from pomelobarrow.callers.body_waits import wait_for_none
from pomelobarrow.callers.client_budgets import ClientBudgets
from pomelobarrow.callers.client_connection import (
    ClientConnection,
    ClientGate,
    has_queued_requests,
)
from pomelobarrow.callers.listening import ACCEPTED_AT_ONCE, listen, listening_socket
from pomelobarrow.decision.admission.budget_limits import ListenerGroup
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context

MAX_HEADER_BYTES = 16 << 10
KEEPALIVE_S = 75.0
SHUTDOWN_TIMEOUT_S = 1.0
IN_TRANSIT_WAIT_S = 0.25
FLUSH_POLL_S = 0.02
# For how long callers whose requests were refused may send the rest of them.
REFUSED_BODIES_S = 5.0
# A caller that reads nothing for this long is considered disconnected.
READ_STALL_TIMEOUT_S = 30.0

log = structlog.get_logger(__name__)


class _Server(web.Server):
    """Create a connection within the budget for each connection of a caller."""

    def __init__(self, made: web.Server, gate: ClientGate) -> None:
        super().__init__(
            made.request_handler,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            loop=made._loop,
            **made._kwargs,
        )
        self._gate = gate

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        return ClientConnection(
            self,
            loop=self._loop,
            gate=self._gate,
            max_line_bytes=MAX_HEADER_BYTES,
            **self._kwargs,
        )


class _Runner(web.AppRunner):
    """Run an application whose connections share a budget."""

    def __init__(self, app: web.Application, gate: ClientGate, **options: Any) -> None:
        super().__init__(app, **options)
        self._gate = gate

    async def _make_server(self) -> web.Server:
        return _Server(await super()._make_server(), self._gate)


class CallerServer(Service):
    """Run the HTTP server for callers."""

    def __init__(self, context: Context) -> None:
        super().__init__()
        self._context = context
        self._runner: web.AppRunner | None = None

    async def on_start(self) -> None:
        """Open the listening socket with the routes of all plug-ins."""
        settings = self._context.settings.callers
        app = web.Application(client_max_size=settings.max_body_bytes)
        app.on_response_prepare.append(self._close_when_draining)
        for routes in self._context.hooks.hook.routes(context=self._context):
            app.add_routes(routes)
        # Without handler_cancellation, the answer to a disconnected caller continues and occupies
        # an engine's slot.
        gate = ClientGate(
            listener="callers",
            budget=self._context.get(ClientBudgets).of(ListenerGroup.REQUESTS),
            observe=self._context.observe,
        )
        self._runner = _Runner(
            app,
            gate,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            # Bodies are forwarded unchanged. Decompressed here, a small one could fill the memory.
            auto_decompress=False,
        )
        await self._runner.setup()
        opened = listening_socket(settings.listen, bounds_unread=True)
        await web.SockSite(self._runner, opened, backlog=ACCEPTED_AT_ONCE).start()
        listen(opened)

    async def close(self) -> None:
        """Stop accepting connections and return once every answer is sent."""
        runner = self._runner
        if runner is None or runner.server is None:
            return
        for site in list(runner.sites):
            await site.stop()
        # The request of a connection that was just accepted is still in transit. If the connection
        # were closed now, the caller would see a reset instead of the refusal.
        await asyncio.sleep(IN_TRANSIT_WAIT_S)
        await _refuse_bodies(cast(list[ClientConnection], runner.server.connections))
        transports = [each.transport for each in runner.server.connections]
        runner.server.pre_shutdown()
        await runner.server.shutdown(None)
        await flush([each for each in transports if each is not None])

    async def on_stop(self) -> None:
        """Close the remaining connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _close_when_draining(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """Close keep-alive connections with their next answer while draining.

        If an idle connection is closed while a request is in transit, the caller can't tell
        whether the request ran. The Connection header makes active callers reconnect in time.
        """
        if self._context.is_draining and not has_queued_requests(request):
            response.headers["Connection"] = "close"
            response.force_close()


async def _refuse_bodies(connections: Iterable[ClientConnection]) -> None:
    """Refuse the requests whose bodies have not arrived; return once their clients have sent all.

    A client that reads its answer only then would get a reset instead of it.
    """
    refused = [each for each in connections if each.refuse_late_body(wait_for_none)]
    until_unix_s = now_unix_s() + REFUSED_BODIES_S
    while any(each.open_requests or each.still_sends(now_unix_s()) for each in refused):
        if now_unix_s() >= until_unix_s:
            break
        await asyncio.sleep(FLUSH_POLL_S)
    for connection in refused:
        connection.force_close()


async def flush(transports: Iterable[asyncio.Transport]) -> None:
    """Wait until the transports' write buffers are empty or nobody reads from them any more.

    An answer counts as sent once it is in the transport's buffer. Exiting the process drops that
    buffer, and a caller that reads slowly would miss the end of the answer.
    """
    unsent_bytes = _unsent_bytes(transports)
    progress_unix_s = now_unix_s()
    while unsent_bytes and now_unix_s() < progress_unix_s + READ_STALL_TIMEOUT_S:
        await asyncio.sleep(FLUSH_POLL_S)
        remaining_bytes = _unsent_bytes(transports)
        if remaining_bytes < unsent_bytes:
            unsent_bytes, progress_unix_s = remaining_bytes, now_unix_s()
    if unsent_bytes:
        log.warning("answers not read to their end", unsent_bytes=unsent_bytes)


def _unsent_bytes(transports: Iterable[asyncio.Transport]) -> int:
    return sum(transport.get_write_buffer_size() for transport in transports)
