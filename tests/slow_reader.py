"""Ask for an answer and leave it unread."""

import asyncio
import socket
import time

from attrs import define
from callers import wait_until

from harness.fleet import Fleet

SLOW_READER_ROOM_BYTES = 16 << 10
LARGEST_ANSWER_BYTES = 7 << 20
BUFFER_STEP_BYTES = 16 << 10
BUFFER_PROBE_S = 0.5


@define
class SlowReader:
    """Hold a caller that has asked for its own bytes back and reads none of them yet."""

    marker: str
    answer_bytes: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def read_answer(self) -> bytes:
        """Read the answer's body to its end."""
        await self.reader.readuntil(b"\r\n\r\n")
        return await self.reader.read()


async def ask_without_reading(fleet: Fleet, vm: str, answer_bytes: int) -> SlowReader:
    """Ask for an answer of so many bytes, with little room for what was not read yet."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_ROOM_BYTES)
    sock.connect(("127.0.0.1", fleet.entries[vm].caller_port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=SLOW_READER_ROOM_BYTES)
    marker = f"slow-{time.monotonic()}"
    more = {"Content_Length": str(answer_bytes), "X_Marker": marker}
    headers = fleet.headers("paying-milan", "status-check", **more)
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    start = f"POST /services/webhooks/x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{lines}\r\n"
    writer.write(start.encode() + b"x" * answer_bytes)
    return SlowReader(marker, answer_bytes, reader, writer)


async def is_passed_on(fleet: Fleet, vm: str, slow: SlowReader) -> bool:
    """Tell whether the gateway gets rid of an answer that is not read."""

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
    """Ask for the largest answer that counts as given before any of it is read.

    The sockets' buffers are full then, and its last bytes wait in the process.
    """
    least, most = 0, LARGEST_ANSWER_BYTES
    while True:
        middle = (least + most) // 2
        slow = await ask_without_reading(fleet, vm, middle)
        is_given = await is_passed_on(fleet, vm, slow)
        if is_given and most - least <= BUFFER_STEP_BYTES:
            return slow
        slow.writer.close()
        least, most = (middle, most) if is_given else (max(0, least - BUFFER_STEP_BYTES), middle)
