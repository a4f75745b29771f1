"""An answer of a scripted server that doesn't end until the caller closes the connection."""

from collections.abc import Callable

from attrs import define, field
from scripted_server import Exchange

BLOCK_BYTES = 64 << 10
# A caller that has not closed the connection by then never does.
STOP_BYTES = 96 << 20
# The most that the sockets of both ends hold beyond what the caller has read.
SOCKET_BYTES = 16 << 20

Start = Callable[[Exchange], None]


@define(kw_only=True)
class EndlessAnswer:
    """Write a start, and then the same bytes again and again; record how far each answer came."""

    start: Start
    repeated: bytes
    written_bytes: list[int] = field(factory=list)

    async def __call__(self, exchange: Exchange) -> None:
        """Answer one request."""
        self.start(exchange)
        block = self.repeated * max(1, BLOCK_BYTES // len(self.repeated))
        number = len(self.written_bytes)
        self.written_bytes.append(0)
        try:
            while self.written_bytes[number] < STOP_BYTES:
                exchange.writer.write(block)
                self.written_bytes[number] += len(block)
                await exchange.writer.drain()
        except ConnectionError:
            return

    def was_closed_within(self, max_bytes: int) -> bool:
        """Return whether the callers closed all connections after at most so many bytes."""
        return bool(self.written_bytes) and max(self.written_bytes) <= max_bytes + SOCKET_BYTES


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
