"""Split a byte stream at event boundaries."""

from collections.abc import Callable

from attrs import define

SEPARATOR = b"\n\n"


@define(kw_only=True)
class EventSplitter:
    """Buffer an incomplete event and track the id of the last complete one.

    A server may stop in the middle of an event. If that part were forwarded, the client would read
    it and the first event of the resumed stream as one event.
    """

    event_id: Callable[[bytes], str]
    last_event_id: str = ""
    _partial: bytes = b""

    @property
    def is_between_events(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self._partial

    def restart(self) -> None:
        """Drop the incomplete event of an attempt that broke off."""
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events completed by these bytes."""
        data = self._partial + data
        boundary = data.rfind(SEPARATOR) + len(SEPARATOR)
        if boundary < len(SEPARATOR):
            self._partial = data
            return b""
        self._partial = data[boundary:]
        whole = data[:boundary]
        last_start = whole.rfind(SEPARATOR, 0, boundary - len(SEPARATOR))
        last = whole[last_start + len(SEPARATOR) :] if last_start >= 0 else whole
        self.last_event_id = self.event_id(last) or self.last_event_id
        return whole
