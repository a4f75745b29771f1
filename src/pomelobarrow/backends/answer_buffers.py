"""Buffer whole answers within a memory limit for all of them together."""

import asyncio
from collections.abc import Iterator

import aiohttp
from attrs import define, field

from pomelobarrow.backends.answer_limits import (
    ANSWER_BUFFER_BYTES,
    MAX_STATEMENT_BYTES,
    MAX_WHOLE_ANSWER_BYTES,
    RESERVED_STEP_BYTES,
    UNRESERVED_ANSWER_BYTES,
    AnswerTooLargeError,
)

BODY = "body"
STATED_LENGTH = "stated length"


async def read_limited(
    content: aiohttp.StreamReader, max_bytes: int = MAX_STATEMENT_BYTES
) -> bytes:
    """Return a whole body that is short. Raises `AnswerTooLargeError`."""
    body = bytearray()
    while data := await content.readany():
        body += data
        if len(body) > max_bytes:
            raise AnswerTooLargeError(BODY, f"{max_bytes} bytes")
    return bytes(body)


@define(kw_only=True)
class AnswerBuffers:
    """Divide the memory for large answers among those that are buffered at a time."""

    limit_bytes: int = ANSWER_BUFFER_BYTES
    max_answer_bytes: int = MAX_WHOLE_ANSWER_BYTES
    # The answers that wait for memory.
    waiting: int = 0
    _reserved_bytes: dict["AnswerBuffer", int] = field(factory=dict, init=False)
    _released: asyncio.Event = field(factory=asyncio.Event, init=False)

    @property
    def reserved_bytes(self) -> int:
        """Return the memory reserved for large answers."""
        return sum(self._reserved_bytes.values())

    def is_short(self) -> bool:
        """Return whether answers wait for memory."""
        return self.waiting > 0

    async def reserve(self, buffer: "AnswerBuffer", size_bytes: int) -> None:
        """Wait until a buffer may have this size."""
        self.waiting += 1
        try:
            while not self._is_free(buffer, size_bytes):
                await self._released.wait()
        finally:
            self.waiting -= 1
        self._reserved_bytes[buffer] = size_bytes

    def release(self, buffer: "AnswerBuffer") -> None:
        """Free the memory of a buffer."""
        if self._reserved_bytes.pop(buffer, 0):
            self._released.set()
            self._released = asyncio.Event()

    def _is_free(self, buffer: "AnswerBuffer", size_bytes: int) -> bool:
        # The largest buffer can always grow to its limit. Otherwise buffers that together take all
        # memory would wait for each other until their deadlines.
        sizes = [size_bytes, *self._others(buffer)]
        growth_bytes = max(0, self.max_answer_bytes - max(sizes))
        return sum(sizes) + growth_bytes <= self.limit_bytes

    def _others(self, buffer: "AnswerBuffer") -> Iterator[int]:
        return (size for other, size in self._reserved_bytes.items() if other is not buffer)


@define(kw_only=True, eq=False)
class AnswerBuffer:
    """Hold the reservation of the answer that one request reads, until it has been answered."""

    buffers: AnswerBuffers
    _reserved_bytes: int = field(default=0, init=False)

    async def read(self, content: aiohttp.StreamReader, stated_bytes: int = 0) -> tuple[bytes, ...]:
        """Return the parts of a whole body; it is not read on while the memory for it is taken.

        Raises `AnswerTooLargeError`, for a size that its server states before anything is read.
        """
        if stated_bytes > self.buffers.max_answer_bytes:
            raise AnswerTooLargeError(STATED_LENGTH, f"{self.buffers.max_answer_bytes} bytes")
        # A request that kept a large answer while it reads another one could wait for one that
        # does the same.
        self.release()
        first = await content.readany()
        if content.at_eof():
            return (first,)
        # The parts aren't joined, which would take as much memory again.
        parts, size_bytes = [first], len(first)
        while data := await content.readany():
            size_bytes += len(data)
            await self.reserve(size_bytes)
            parts.append(data)
        return tuple(parts)

    async def reserve(self, size_bytes: int) -> None:
        """Wait until an answer of this size may be buffered."""
        if size_bytes > self.buffers.max_answer_bytes:
            raise AnswerTooLargeError(BODY, f"{self.buffers.max_answer_bytes} bytes")
        if size_bytes > UNRESERVED_ANSWER_BYTES and size_bytes > self._reserved_bytes:
            reserved_bytes = -(-size_bytes // RESERVED_STEP_BYTES) * RESERVED_STEP_BYTES
            await self.buffers.reserve(self, reserved_bytes)
            self._reserved_bytes = reserved_bytes

    def release(self) -> None:
        """Free the reserved memory."""
        if self._reserved_bytes:
            self.buffers.release(self)
            self._reserved_bytes = 0
