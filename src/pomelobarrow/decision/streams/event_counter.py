"""Count the events of a stream, so that a broken one can be resumed after the last of them."""

from attrs import define, field

from pomelobarrow.decision.streams.server_sent_events import EventSplitter, event_data

# The data of the end event.
END_DATA = b"[DONE]"


@define
class EventCounter:
    """Count the events that have data, as the engines number them, up to the end event.

    An engine may send comments and other blocks without data at any time to keep a connection open.
    """

    complete_events: int = 0
    is_ended: bool = False
    _splitter: EventSplitter = field(factory=EventSplitter, init=False)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes; return the events that are complete now, up to the end event."""
        # Nothing after the first end event belongs to the answer, not even a second end event.
        if self.is_ended:
            return []
        events = self._splitter.feed(data)
        for count, event in enumerate(events, 1):
            content = event_data(event)
            self.complete_events += content is not None
            if content == END_DATA:
                self.is_ended = True
                return events[:count]
        return events

    def drop_partial(self) -> None:
        """Drop an incomplete event; the resumed stream sends it again."""
        self._splitter.restart()
