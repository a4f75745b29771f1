"""A daemon with the memory and descriptors of a small VM, and clients that misuse connections."""

import asyncio
import itertools
import os
import random
import resource
from collections.abc import AsyncIterator, Callable, Iterable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
from attrs import define, field
from scripted_server import Script, ScriptedServer

from soak.fleet import HOST, POOL, ROOT_HOST, Daemon, SoakFleet

# The smallest VM of a published deployment.
MEMORY_MB = 152
MEMORY_BYTES = MEMORY_MB * 1_000_000
DESCRIPTORS = 400
# A daemon that needs more fails to allocate it, before it affects the machine of the test.
DATA_LIMIT_BYTES = 1_000 << 20
# The published sizes of a request.
BODY_BYTES = 4 << 20
LINE_BYTES = 15 << 10
HEADER_LINES = 120

BLOCK_BYTES = 64 << 10
CONNECT_TIMEOUT_S = 2.0
# A client that isn't read waits for so long before it only keeps its connection open.
SEND_TIMEOUT_S = 4.0
ORDINARY_TRIES = 40
ORDINARY_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.25

Blocks = Callable[[int], Iterator[bytes]]


@define(kw_only=True, slots=False)
class SmallFleet(SoakFleet):
    """Daemons whose settings state a small VM."""

    def _settings(self, daemon: Daemon) -> dict[str, Any]:
        limits = {"MemoryMb": MEMORY_MB, "FileDescriptors": DESCRIPTORS}
        return super()._settings(daemon) | {"Limits": limits}

    def address(self, daemon: Daemon, listener: str) -> tuple[str, int]:
        """Return host and port of one of a daemon's listeners."""
        return daemon.ip, self._ports[listener]


@asynccontextmanager
async def small_daemon(script: Script) -> AsyncIterator[tuple[SmallFleet, Daemon]]:
    """Run a daemon with limited resources and one server."""
    async with AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(
            SmallFleet(random=random.Random(1), daemons_per_region=1, servers_per_region=0)
        )
        daemon = fleet.daemons[0]
        await fleet.wait_ready(daemon)
        limit_process(fleet.processes.running[daemon.vm].pid)
        server = await stack.enter_async_context(
            ScriptedServer(name="s1", host=ROOT_HOST, script=script)
        )
        fleet.list_address(server.name, daemon.region, server.address, POOL)
        assert await is_ordinary_request_answered(fleet, daemon)
        yield fleet, daemon


def limit_process(pid: int) -> None:
    """Bound the memory and the descriptors of a running process."""
    resource.prlimit(pid, resource.RLIMIT_DATA, (DATA_LIMIT_BYTES, DATA_LIMIT_BYTES))
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def peak_memory_bytes(fleet: SoakFleet, daemon: Daemon) -> int:
    """Return the most memory that a daemon has had so far."""
    return peak_process_bytes(fleet.processes.running[daemon.vm].pid)


def peak_process_bytes(pid: int) -> int:
    """Return the most memory that a process has had so far."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) << 10
    raise AssertionError("no peak memory in the status of the process")


def open_descriptors(fleet: SoakFleet, daemon: Daemon) -> int:
    """Return how many descriptors a daemon has open."""
    return len(os.listdir(f"/proc/{fleet.processes.running[daemon.vm].pid}/fd"))


async def is_ordinary_request_answered(fleet: SoakFleet, daemon: Daemon) -> bool:
    """Send one small request, again if it is refused, as the published clients do."""
    timeout = aiohttp.ClientTimeout(total=ORDINARY_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        for number in range(ORDINARY_TRIES):
            id_ = f"ordinary-{os.urandom(4).hex()}-{number}"
            if await fleet.send(session, daemon, "plain", id_, b"small") == 200:
                return True
            await asyncio.sleep(RETRY_PAUSE_S)
    return False


_ids = itertools.count()


def head(kind: str, *lines: str) -> bytes:
    """Return the head of a request of a route."""
    fields = (
        f"POST /{kind}/x HTTP/1.1",
        f"Host: {HOST}",
        f"Pomelobarrow-Request-Id: crowd-{next(_ids)}",
        "Pomelobarrow-Request-Deadline: 3000",
        # The listener for peers requires it, clients' listeners ignore it.
        "Pomelobarrow-Peer-From: rb-1",
        *lines,
    )
    return "\r\n".join((*fields, "", "")).encode()


def in_blocks(data: bytes) -> Iterator[bytes]:
    """Yield bytes in blocks that a client writes at once."""
    for start in range(0, len(data), BLOCK_BYTES):
        yield data[start : start + BLOCK_BYTES]


@define
class Crowd:
    """Open connections of clients that misuse them."""

    address: tuple[str, int]
    _writers: list[asyncio.StreamWriter] = field(factory=list)

    async def send_on_each(self, count: int, blocks: Blocks) -> None:
        """Open connections at the same time, send on each, and leave them open, unread."""
        await asyncio.gather(*(self._send(number, blocks) for number in range(count)))

    def leave(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()

    async def _send(self, number: int, blocks: Blocks) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                # A reader with a small limit stops reading soon.
                _, writer = await asyncio.open_connection(*self.address, limit=1)
        except (OSError, TimeoutError):
            return
        self._writers.append(writer)
        try:
            for block in blocks(number):
                writer.write(block)
                async with asyncio.timeout(SEND_TIMEOUT_S):
                    await writer.drain()
        except (OSError, TimeoutError):
            return


def repeated(parts: Iterable[bytes], count: int) -> Iterator[bytes]:
    """Yield the same bytes several times, in blocks."""
    whole = b"".join(parts)
    for _ in range(count):
        yield from in_blocks(whole)
