"""An answer of a scripted server that doesn't end until the caller closes the connection."""

import asyncio
from collections.abc import Callable

from attrs import define, field
from scripted_server import Exchange

BLOCK_BYTES = 64 << 10
# The most that the sockets of both ends hold beyond what the caller has read.
SOCKET_BYTES = 16 << 20
STOP_BYTES = 96 << 20

Start = Callable[[Exchange], None]


@define(kw_only=True)
class EndlessAnswer:
    """Write a start, and then the same bytes again and again; record how far each answer came."""

    start: Start
    repeated: bytes
    # A caller that has not closed the connection by then is taken for one that never does.
    stop_bytes: int = STOP_BYTES
    written_bytes: list[int] = field(factory=list)
    _running: int = field(default=0, init=False)
    _ended: asyncio.Event = field(factory=asyncio.Event, init=False)

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one request."""
        self._running += 1
        self._ended.clear()
        try:
            await self._answer(exchange)
        except ConnectionError:
            pass
        finally:
            self._running -= 1
            if not self._running:
                self._ended.set()

    async def _answer(self, exchange: Exchange) -> None:
        self.start(exchange)
        block = self.repeated * max(1, BLOCK_BYTES // len(self.repeated))
        number = len(self.written_bytes)
        self.written_bytes.append(0)
        while self.written_bytes[number] < self.stop_bytes:
            exchange.writer.write(block)
            self.written_bytes[number] += len(block)
            await exchange.writer.drain()

    async def is_closed_within(self, max_bytes: int) -> bool:
        """Return whether the callers closed all connections after at most so many bytes."""
        assert self.written_bytes, "no request has come"
        await self._ended.wait()
        return self.is_read_within(max_bytes)

    def is_read_within(self, max_bytes: int) -> bool:
        """Return whether the callers have read at most so many bytes of each answer so far."""
        return max(self.written_bytes) <= max_bytes + SOCKET_BYTES


def head(status: int = 200, **fields: str) -> Start:
    """Begin an answer with the head that the request asks for."""

    def start(exchange: Exchange) -> None:
        exchange.write_head(status, **fields)

    return start


def raw(data: bytes) -> Start:
    """Begin an answer with these bytes."""

    def start(exchange: Exchange) -> None:
        exchange.writer.write(data)

    return start


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
