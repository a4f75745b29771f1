"""Start stand-ins as real processes and speak with them."""

import asyncio
import json
import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import aiohttp
from attrs import field, frozen

ANYWHERE = "127.0.0.1:0"
START_COMMAND = (sys.executable, "-m", "pomelobarrow.standin")
STOP_TIMEOUT_S = 10.0
POLL_S = 0.01
Value = TypeVar("Value")


@frozen
class Standin:
    """Hold one running stand-in and the addresses it announced."""

    process: "subprocess.Popen[bytes]"
    listening: str
    control: str = ""
    routes: dict[str, str] = field(factory=dict)


@frozen
class Answer:
    """Hold a status and a body, parsed where it is JSON."""

    status: int
    body: Any


def start_standin(kind: str, *options: str) -> Standin:
    """Start one stand-in and wait until it is ready."""
    command = [*START_COMMAND, kind, *options]
    if "--listen" not in options and kind != "proxy":
        command += ["--listen", ANYWHERE]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    assert process.stdout is not None
    return Standin(process, **json.loads(process.stdout.readline()))


@contextmanager
def standins() -> Iterator[Callable[..., Standin]]:
    """Start stand-ins and end just those at the end."""
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
    """Send one request on a connection of its own."""
    async with (
        aiohttp.ClientSession() as session,
        session.request(method, f"http://{address}{path}", json=body, headers=headers) as response,
    ):
        is_json = response.content_type == "application/json"
        return Answer(response.status, await (response.json() if is_json else response.text()))


async def eventually(
    look: Callable[[], Awaitable[Value]], is_wanted: Callable[[Value], object], within_s: float = 10
) -> Value:
    """Look again and again until what is seen is wanted."""
    async with asyncio.timeout(within_s):
        while not is_wanted(seen := await look()):
            await asyncio.sleep(POLL_S)
    return seen
