"""Request answers without reading them."""

import asyncio
import socket
import time

from attrs import define
from callers import wait_until

from harness.fleet import Fleet

RECEIVE_BUFFER_BYTES = 16 << 10
LARGEST_ANSWER_BYTES = 7 << 20
BUFFER_STEP_BYTES = 16 << 10
BUFFER_PROBE_S = 0.5


@define
class SlowReader:
    """Represent a caller that has requested an echo of its body and has not read any of it."""

    marker: str
    answer_bytes: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_answer(self) -> bytes:
        """Read the body of the answer to its end."""
        await self.reader.readuntil(b"\r\n\r\n")
        return await self.reader.read()


async def ask_without_reading(fleet: Fleet, vm: str, answer_bytes: int) -> SlowReader:
    """Request an answer of the given size with a small receive buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect(("127.0.0.1", fleet.entries[vm].caller_port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=RECEIVE_BUFFER_BYTES)
    marker = f"slow-{time.monotonic()}"
    more = {"Content_Length": str(answer_bytes), "X_Marker": marker}
    headers = fleet.headers("paying-milan", "status-check", **more)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    start = f"POST /services/webhooks/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{lines}\r\n"
    writer.write(start.encode() + b"x" * answer_bytes)
    return SlowReader(marker, answer_bytes, reader, writer)


async def is_answer_buffered(fleet: Fleet, vm: str, slow: SlowReader) -> bool:
    """Return whether the gateway finishes sending an answer that is not read."""

    async def is_idle() -> bool:
        ended = [run["marker"] for run in await fleet.runs() if run["state"] == "finished"]
        values = (await fleet.status(vm))["dispatch"]
        return slow.marker in ended and not values["in_progress"]

    try:
        await wait_until(is_idle, BUFFER_PROBE_S)
    except TimeoutError:
        return False
    return True


async def request_largest_buffered_answer(fleet: Fleet, vm: str) -> SlowReader:
    """Request the largest answer that the gateway counts as sent before any of it is read.

    The socket buffers are then full, and the last bytes are still buffered in the process.
    """
    low, high = 0, LARGEST_ANSWER_BYTES
    while True:
        size_bytes = (low + high) // 2
        slow = await ask_without_reading(fleet, vm, size_bytes)
        is_buffered = await is_answer_buffered(fleet, vm, slow)
        if is_buffered and high - low <= BUFFER_STEP_BYTES:
            return slow
        slow.writer.close()
        low, high = (
            (size_bytes, high) if is_buffered else (max(0, low - BUFFER_STEP_BYTES), size_bytes)
        )
