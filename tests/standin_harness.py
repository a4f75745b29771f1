"""Start stand-ins as separate processes and send requests to them."""

import asyncio
import json
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import aiohttp
from attrs import field, frozen

ANY_PORT = "127.0.0.1:0"
START_COMMAND = (sys.executable, "-m", "pomelobarrow.standin")
STOP_TIMEOUT_S = 10.0
POLL_S = 0.01
Value = TypeVar("Value")


@frozen
class Standin:
    """Running stand-in process and the addresses it printed."""

    process: "subprocess.Popen[bytes]"
    listening: str
    control: str = ""
    routes: dict[str, str] = field(factory=dict)


@frozen
class Answer:
    """Response status and body; a JSON body is parsed."""

    status: int
    body: Any


def start_standin(kind: str, *options: str) -> Standin:
    """Start one stand-in and wait until it prints its addresses."""
    command = [*START_COMMAND, kind, *options]
    if "--listen" not in options and kind != "proxy":
        command += ["--listen", ANY_PORT]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    assert process.stdout is not None
    return Standin(process, **json.loads(process.stdout.readline()))


@contextmanager
def running_standins() -> Iterator[Callable[..., Standin]]:
    """Yield a function that starts stand-ins; terminate these on exit."""
    started: list[Standin] = []

    def start(kind: str, *options: str) -> Standin:
        started.append(start_standin(kind, *options))
        return started[-1]

    try:
        yield start
    finally:
        for standin in started:
            standin.process.terminate()
        for standin in started:
            standin.process.wait(STOP_TIMEOUT_S)
            if standin.process.stdout is not None:
                standin.process.stdout.close()


async def call(
    method: str, address: str, path: str, body: Any = None, headers: dict[str, str] | None = None
) -> Answer:
    """Send one request on a new connection."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, f"http://{address}{path}", json=body, headers=headers) as response,
    ):
        is_json = response.content_type == "application/json"
        return Answer(response.status, await (response.json() if is_json else response.text()))


async def wait_until(
    poll: Callable[[], Awaitable[Value]],
    is_expected: Callable[[Value], object],
    within_s: float = 10,
) -> Value:
    """Poll a value until it is as expected, or fail with TimeoutError."""
    async with asyncio.timeout(within_s):
        while not is_expected(value := await poll()):
            await asyncio.sleep(POLL_S)
    return value
