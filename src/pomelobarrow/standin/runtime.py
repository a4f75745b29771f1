"""Start, announce and stop one stand-in process."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from aiohttp import web
from attrs import define, field

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

SHUTDOWN_TIMEOUT_S = 0.1
LISTEN_BACKLOG = 1024
CRASH_EXIT_CODE = 70
LIMIT_HEADER = "X-Server-Limit"
MAX_BODY_BYTES = 64 * 1024 * 1024


@define
class Gate:
    """Hold every request but the control ones while the process plays frozen."""

    opened: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.opened.set()

    def set_frozen(self, frozen: bool) -> None:
        """Close or open the gate."""
        (self.opened.clear if frozen else self.opened.set)()


def is_control(request: web.Request) -> bool:
    """Say whether a request steers the stand-in itself."""
    return request.path.startswith("/admin/")


def gate_middleware(gate: Gate) -> Any:
    """Build the middleware that makes requests wait at the gate."""

    @web.middleware
    async def wait_at_gate(request: web.Request, handler: Handler) -> web.StreamResponse:
        if not is_control(request):
            await gate.opened.wait()
        return await handler(request)

    return wait_at_gate


def json_answer(payload: Any, status: int = 200) -> web.Response:
    """Answer with a JSON body."""
    return web.Response(body=orjson.dumps(payload), status=status, content_type="application/json")


def limit_signal(limit_per_s: Callable[[], float | None]) -> Any:
    """Build what names a server's limit in the head of each answer."""

    async def name_limit(request: web.Request, response: web.StreamResponse) -> None:
        if (named := limit_per_s()) is not None:
            response.headers[LIMIT_HEADER] = str(named)

    return name_limit


async def crash_if_named(request: web.Request, crash_on: str) -> None:
    """End this process as a crash does, where a request's body holds a text."""
    if crash_on and crash_on in await request.text():
        os._exit(CRASH_EXIT_CODE)


def refused_unrun(reason: str) -> web.Response:
    """Refuse a request before anything ran."""
    return json_answer({"run": "no", "reason": reason}, status=503)


async def read_json(request: web.Request) -> Any:
    """Read a JSON object from the body; anything else is answered with 400."""
    try:
        body = orjson.loads(await request.read())
    except orjson.JSONDecodeError as error:
        raise web.HTTPBadRequest(text=f"send a JSON object: {error}") from error
    if not isinstance(body, dict):
        raise web.HTTPBadRequest(text="send a JSON object")
    return body


def parse_address(text: str) -> tuple[str, int]:
    """Split `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: tuple[Any, ...]) -> str:
    """Join a socket address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def announce(**fields: Any) -> None:
    """Print the one JSON line that says where the process listens."""
    sys.stdout.write(orjson.dumps(fields).decode() + "\n")
    sys.stdout.flush()


async def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await stop.wait()


async def start_app(
    app: web.Application, listen: str, *, cancel_when_lost: bool = False
) -> tuple[web.AppRunner, str]:
    """Start an application and return it with the address it got."""
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=cancel_when_lost,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    host, port = parse_address(listen)
    await web.TCPSite(runner, host, port, backlog=LISTEN_BACKLOG).start()
    return runner, format_address(runner.addresses[0])


async def serve_app(app: web.Application, listen: str, *, cancel_when_lost: bool = False) -> None:
    """Serve an application until the process is told to stop."""
    runner, listening = await start_app(app, listen, cancel_when_lost=cancel_when_lost)
    announce(listening=listening)
    await wait_for_stop()
    await runner.cleanup()
