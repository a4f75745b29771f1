"""Cut a stream at the borders of its events."""

from collections.abc import Callable

from attrs import define

SEPARATOR = b"\n\n"


@define(kw_only=True)
class EventSplitter:
    """Hold the part of an event that has come so far, and the last whole one's id.

    A server may stop in the middle of an event. Passed on, that part and the event that a resumed
    stream begins with would be read as one.
    """

    event_id: Callable[[bytes], str]
    last_event_id: str = ""
    _partial: bytes = b""

    @property
    def is_between_events(self) -> bool:
        """Say whether no event is half there."""
        return not self._partial

    def restart(self) -> None:
        """Drop the half event of an attempt that broke off."""
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that these bytes complete."""
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
