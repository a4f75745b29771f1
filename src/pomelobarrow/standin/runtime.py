"""Start and stop a stand-in process and print its addresses."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import orjson
from aiohttp import web
from attrs import define, field

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

SHUTDOWN_TIMEOUT_S = 0.1
LISTEN_BACKLOG = 1024
CRASH_EXIT_CODE = 70
LIMIT_HEADER = "X-Server-Limit"
LEAVING_HEADER = "X-Server-Leaving"
RETRY_AFTER_HEADER = "Retry-After"
REJECTED_STATUS = 503
MAX_BODY_BYTES = 64 * 1024 * 1024


@define
class RequestGate:
    """Gate that holds all but admin requests while the process simulates a freeze."""

    opened: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.opened.set()

    def set_frozen(self, frozen: bool) -> None:
        """Close or open the gate."""
        (self.opened.clear if frozen else self.opened.set)()

    def fall_silent(self, silent_s: float) -> None:
        """Close the gate for a time."""
        self.set_frozen(True)
        asyncio.get_running_loop().call_later(silent_s, self.set_frozen, False)


def is_admin_request(request: web.Request) -> bool:
    """Return whether a request configures or inspects the stand-in itself."""
    return request.path.startswith("/admin/")


def gate_middleware(gate: RequestGate) -> Any:
    """Build the middleware that holds requests while the gate is closed."""

    @web.middleware
    async def wait_at_gate(request: web.Request, handler: Handler) -> web.StreamResponse:
        if not is_admin_request(request):
            await gate.opened.wait()
        return await handler(request)

    return wait_at_gate


def json_response(payload: Any, status: int = 200) -> web.Response:
    """Build a response with a JSON body."""
    return web.Response(body=orjson.dumps(payload), status=status, content_type="application/json")


@define
class Announcements:
    """What the server states with its responses; set by the control call."""

    # Rate limit; None sends no header.
    limit_per_s: float | None = None
    # True if all responses state that the server leaves, although it still runs requests.
    says_leaving: bool = False
    # The pause that rejections ask for; None sends no header.
    backoff_s: float | None = None

    def update(self, body: Mapping[str, Any]) -> None:
        """Apply a control call."""
        self.limit_per_s = body.get("limit_per_s", self.limit_per_s)
        self.says_leaving = body.get("says_leaving", self.says_leaving)
        self.backoff_s = body.get("backoff_s", self.backoff_s)

    async def add_headers(self, request: web.Request, response: web.StreamResponse) -> None:
        """Add the headers to a response that is about to be sent."""
        if self.limit_per_s is not None:
            response.headers[LIMIT_HEADER] = str(self.limit_per_s)
        if self.says_leaving:
            response.headers[LEAVING_HEADER] = "1"
        if self.backoff_s is not None and response.status == REJECTED_STATUS:
            response.headers[RETRY_AFTER_HEADER] = str(self.backoff_s)


async def crash_if_body_contains(request: web.Request, crash_on: str) -> None:
    """End this process without cleanup if a request's body contains a text."""
    if crash_on and crash_on in await request.text():
        os._exit(CRASH_EXIT_CODE)


def refused_unrun(reason: str) -> web.Response:
    """Build the refusal of a request that was not run."""
    return json_response({"run": "no", "reason": reason}, status=503)


async def read_json(request: web.Request) -> Any:
    """Parse the body as a JSON object; answer anything else with 400."""
    try:
        body = orjson.loads(await request.read())
    except orjson.JSONDecodeError as error:
        raise web.HTTPBadRequest(text=f"body is not valid JSON: {error}") from error
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="body must be a JSON object")
    return body


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: tuple[Any, ...]) -> str:
    """Format a socket address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def announce(**fields: Any) -> None:
    """Print the JSON line with the addresses on which the process listens."""
    sys.stdout.write(orjson.dumps(fields).decode() + "\n")
    sys.stdout.flush()


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    await stop.wait()


async def start_app(
    app: web.Application, listen: str, *, cancel_on_disconnect: bool = False
) -> tuple[web.AppRunner, str]:
    """Start an application; return its runner and listening address."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel_on_disconnect,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    host, port = parse_address(listen)
    await web.TCPSite(runner, host, port, backlog=LISTEN_BACKLOG).start()
    return runner, format_address(runner.addresses[0])


async def serve_app(
    app: web.Application, listen: str, *, cancel_on_disconnect: bool = False
) -> None:
    """Serve an application until the process is stopped."""
    runner, listening = await start_app(app, listen, cancel_on_disconnect=cancel_on_disconnect)
    announce(listening=listening)
    await wait_for_stop()
    await runner.cleanup()
