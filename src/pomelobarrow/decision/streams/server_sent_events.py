"""Split a byte stream into server-sent events, as the HTML standard defines them."""

import re

from attrs import define, field

# A carriage return and a line feed after it are one line end.
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(rb"(" + _LINE_END + _LINE_END + rb")")
_MAX_EVENT_END_BYTES = 4
# May begin the first line of a stream.
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


# An event holds a few tokens of text, or a picture at most; it is searched for fields in one step.
MAX_EVENT_BYTES = 1 << 20


class EventTooLargeError(ValueError):
    """Raised if an event does not end within the largest size."""


@define
class EventSplitter:
    """Hold back an incomplete event until the rest of it arrives."""

    max_event_bytes: int = MAX_EVENT_BYTES
    _partial: bytearray = field(factory=bytearray, init=False)

    @property
    def held_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._partial)

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._partial)

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is held back."""
        return not self._partial.strip(b"\r\n")

    def restart(self) -> None:
        """Drop the incomplete event of a stream that broke off."""
        self._partial.clear()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that these bytes complete, byte for byte.

        An event that ends with a carriage return is complete before the line feed that may follow.
        The next event then begins with that line feed. Raises `EventTooLargeError`.
        """
        if self._partial:
            searched_bytes = max(0, len(self._partial) - _MAX_EVENT_END_BYTES + 1)
            self._partial += data
            if not _EVENT_END.search(self._partial, searched_bytes):
                self._check_size()
                return []
            data = bytes(self._partial)
            self._partial.clear()
        if b"\r" in data:
            *parts, rest = _EVENT_END.split(data)
            events = [event + end for event, end in zip(parts[::2], parts[1::2], strict=True)]
        else:
            *parts, rest = data.split(b"\n\n")
            events = [event + b"\n\n" for event in parts]
        if rest:
            self._partial += rest
            self._check_size()
        return events

    def _check_size(self) -> None:
        if self.held_bytes > self.max_event_bytes:
            raise EventTooLargeError(f"an event exceeds {self.max_event_bytes} bytes")


def event_id(event: bytes) -> bytes | None:
    """Return the value of the last id field; None if there is none."""
    ids = _values(event, b"id")
    # The standard ignores an id that holds a NUL.
    while ids and b"\0" in ids[-1]:
        ids.pop()
    return ids[-1] if ids else None


def event_data(event: bytes) -> bytes | None:
    """Return the data fields, joined by line feeds; None if there is none.

    Clients ignore all events without data, such as comments, except for their id.
    """
    lines = _values(event, b"data")
    return b"\n".join(lines) if lines else None


def event_name(event: bytes) -> bytes:
    """Return the value of the last event field; empty if there is none."""
    names = _values(event, b"event")
    return names[-1] if names else b""


def _values(event: bytes, name: bytes) -> list[bytes]:
    """Return the values of all fields of a name."""
    if event[:1] == _BYTE_ORDER_MARK[:1]:
        event = event.removeprefix(_BYTE_ORDER_MARK)
    fields = [line.partition(b":") for line in event.splitlines() if line[:2] == name[:2]]
    return [value.removeprefix(b" ") for found, _, value in fields if found == name]
