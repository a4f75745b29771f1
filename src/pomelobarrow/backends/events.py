"""Count server-sent events so that a broken stream can be resumed at the right one."""

from attrs import define

from pomelobarrow.dispatch.answers import END_EVENT

SEPARATOR = b"\n\n"


@define
class EventCounter:
    """Count the events of a byte stream and hold back an incomplete one."""

    complete_events: int = 0
    is_ended: bool = False
    _partial: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the events that are complete now, up to the end event."""
        if self.is_ended:
            return b""
        if self._partial:
            data = self._partial + data
        boundary = len(data) if data.endswith(SEPARATOR) else data.rfind(SEPARATOR) + len(SEPARATOR)
        if boundary < len(SEPARATOR):
            self._partial = data
            return b""
        self._partial = data[boundary:]
        whole = data[:boundary] if self._partial else data
        self.complete_events += whole.count(SEPARATOR)
        # Nothing after the first end event belongs to the answer, not even a second end event.
        end = whole.find(END_EVENT)
        if end < 0:
            return whole
        self.is_ended = True
        return whole[: end + len(END_EVENT)]

    def drop_partial(self) -> None:
        """Drop an incomplete event; the resumed stream sends it again."""
        self._partial = b""
