"""Accept HTTP connections; what a malformed request contains reaches no log and no answer."""

import structlog
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

log = structlog.get_logger(__name__)


class _RequestHandler(web.RequestHandler):
    """Reject requests that can't be parsed without a quote of them.

    aiohttp logs the line that it could not parse and sends it back. That line may be the header
    with an account's key.
    """

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

    def __call__(self) -> web.RequestHandler:
        """Return the handler of a new connection."""
        return _RequestHandler(self, loop=self._loop, **self._kwargs)
