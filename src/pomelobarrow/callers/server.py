"""Listen for callers, and stop without cutting an answer off."""

import asyncio
from collections.abc import Iterable

import structlog
from aiohttp import web
from mode import Service

from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context

MAX_HEADER_BYTES = 16 << 10
KEEPALIVE_S = 75.0
AT_ONCE_S = 1.0
LAST_REFUSALS_S = 0.25
FLUSH_POLL_S = 0.02
# A reader that takes nothing for so long has left without a word.
READER_LOST_AFTER_S = 30.0

log = structlog.get_logger(__name__)


class CallerServer(Service):
    """Listen for callers."""

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
        # Without handler_cancellation an answer goes on for a caller that has left, and its
        # engine's slot stays taken.
        self._runner = web.AppRunner(
            app,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            shutdown_timeout=AT_ONCE_S,
            max_field_size=MAX_HEADER_BYTES,
            # Bodies go on as they came; unpacked here, a small one could fill the memory.
            auto_decompress=False,
        )
        await self._runner.setup()
        host, _, port = settings.listen.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), reuse_address=True).start()

    async def close(self) -> None:
        """Take no more connections, and return once every answer has left this process."""
        runner = self._runner
        if runner is None or runner.server is None:
            return
        for site in list(runner.sites):
            await site.stop()
        # A connection accepted just before has its request still on the way; closed now, its
        # caller would see a reset instead of the refusal.
        await asyncio.sleep(LAST_REFUSALS_S)
        transports = [each.transport for each in runner.server.connections]
        runner.server.pre_shutdown()
        await runner.server.shutdown(None)
        await flush([each for each in transports if each is not None])

    async def on_stop(self) -> None:
        """Close whatever is still open."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _close_when_draining(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        """End kept connections with their next answer.

        A request that crosses the closing of an idle connection leaves its caller unable to tell
        whether it ran. The callers that still send are told in time to open a new one elsewhere.
        """
        if self._context.is_draining:
            response.headers["Connection"] = "close"
            response.force_close()


async def flush(transports: Iterable[asyncio.Transport]) -> None:
    """Return once the transports are empty, or their readers have stopped reading.

    An answer counts as given once it is in the transport's buffer. An exit drops that buffer, and
    a caller that reads slowly would miss the answer's end.
    """
    unsent_bytes = _unsent_bytes(transports)
    moved_unix_s = now_unix_s()
    while unsent_bytes and now_unix_s() < moved_unix_s + READER_LOST_AFTER_S:
        await asyncio.sleep(FLUSH_POLL_S)
        left_bytes = _unsent_bytes(transports)
        if left_bytes < unsent_bytes:
            unsent_bytes, moved_unix_s = left_bytes, now_unix_s()
    if unsent_bytes:
        log.warning("answers not read to their end", unsent_bytes=unsent_bytes)


def _unsent_bytes(transports: Iterable[asyncio.Transport]) -> int:
    return sum(transport.get_write_buffer_size() for transport in transports)
