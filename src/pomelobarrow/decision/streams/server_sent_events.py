"""Split a byte stream into server-sent events, as the HTML standard defines them."""

import re

from attrs import define

# A carriage return and a line feed after it are one line end.
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(_LINE_END + _LINE_END)
_MAX_EVENT_END_BYTES = 4
# A field begins its line; the first line of a stream may begin with a byte order mark.
_FIELD_START = rb"(?:\A(?:\xef\xbb\xbf)?|[\r\n])"
_FIELD_VALUE = rb"(?:: ?([^\r\n]*))?(?=[\r\n])"
_ID_FIELD = re.compile(_FIELD_START + rb"id" + _FIELD_VALUE)
_DATA_FIELD = re.compile(_FIELD_START + rb"data" + _FIELD_VALUE)


@define
class EventSplitter:
    """Hold back an incomplete event until the rest of it arrives."""

    _partial: bytes = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._partial

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is held back."""
        return not self._partial.strip(b"\r\n")

    def restart(self) -> None:
        """Drop the incomplete event of a stream that broke off."""
        self._partial = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that these bytes complete, byte for byte.

        An event that ends with a carriage return is complete before the line feed that may follow.
        The next event then begins with that line feed.
        """
        searched_bytes = 0
        if self._partial:
            searched_bytes = max(0, len(self._partial) - _MAX_EVENT_END_BYTES + 1)
            data = self._partial + data
        events, start = [], 0
        for found in _EVENT_END.finditer(data, searched_bytes):
            end = found.end()
            events.append(data[start:end])
            start = end
        self._partial = data[start:]
        return events


def event_id(event: bytes) -> bytes | None:
    """Return the value of the last id field; None if there is none."""
    ids = _ID_FIELD.findall(event)
    # The standard ignores an id that holds a NUL.
    while ids and b"\0" in ids[-1]:
        ids.pop()
    return ids[-1] if ids else None


def event_data(event: bytes) -> bytes | None:
    """Return the data fields, joined by line feeds; None if there is none.

    Clients ignore all events without data, such as comments, except for their id.
    """
    lines = _DATA_FIELD.findall(event)
    return b"\n".join(lines) if lines else None
