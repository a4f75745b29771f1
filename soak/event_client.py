"""Receive answers of event streams over bare sockets, and parse them as the HTML standard says."""

import asyncio
import re
from collections.abc import AsyncIterator

from attrs import define, field, frozen

BYTE_ORDER_MARK = "\N{ZERO WIDTH NO-BREAK SPACE}"
_LINE_END = re.compile(rb"\r\n|\n|\r")


@frozen
class Event:
    """An event and the last event id as of its dispatch."""

    last_event_id: str
    data: str


@define
class EventParser:
    """Parse an event stream; an event that isn't ended by an empty line is never returned."""

    last_event_id: str = ""
    _id: str = ""
    _data: list[str] = field(factory=list)
    _buffer: bytes = b""
    _is_first_line: bool = True
    _follows_return: bool = False

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that these bytes end."""
        # A line feed after a carriage return belongs to the line that has ended.
        if self._follows_return:
            data = data.removeprefix(b"\n")
        self._buffer += data
        *lines, rest = _LINE_END.split(self._buffer)
        if data:
            self._follows_return = data.endswith(b"\r")
        self._buffer = rest
        events = (self._end_line(line.decode()) for line in lines)
        return [event for event in events if event is not None]

    def _end_line(self, line: str) -> Event | None:
        if self._is_first_line:
            line, self._is_first_line = line.removeprefix(BYTE_ORDER_MARK), False
        if not line:
            return self._dispatch()
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
        elif name == "id" and "\0" not in value:
            self._id = value
        return None

    def _dispatch(self) -> Event | None:
        self.last_event_id = self._id
        data, self._data = self._data, []
        return Event(self.last_event_id, "\n".join(data)) if data else None


@frozen
class Head:
    """Status and headers of an answer, the names in lowercase."""

    status: int
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of an answer; raise ValueError for bytes that are none."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    version, _, rest = lines[0].partition(" ")
    if version != "HTTP/1.1":
        raise ValueError(f"an answer begins with {lines[0][:80]!r}")
    fields = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    return Head(int(rest[:3]), headers)


async def read_body(
    reader: asyncio.StreamReader, head: Head, read_bytes: int
) -> AsyncIterator[bytes]:
    """Yield a body as it arrives; raise IncompleteReadError if it ends before it is complete."""
    if head.headers.get("transfer-encoding") != "chunked":
        length = int(head.headers.get("content-length", "0"))
        async for data in _read_exactly(reader, length, read_bytes):
            yield data
        return
    while length := int(await reader.readuntil(b"\r\n"), 16):
        async for data in _read_exactly(reader, length, read_bytes):
            yield data
        await reader.readexactly(2)
    await reader.readexactly(2)


async def _read_exactly(
    reader: asyncio.StreamReader, length: int, read_bytes: int
) -> AsyncIterator[bytes]:
    while length:
        data = await reader.read(min(length, read_bytes))
        if not data:
            raise asyncio.IncompleteReadError(b"", length)
        length -= len(data)
        yield data
