"""Track which events of a stream the client has."""

from collections.abc import Sequence

from attrs import define

from pomelobarrow.decision.streams.server_sent_events import event_id


@define(kw_only=True)
class StreamPosition:
    """Hold the last event that was sent to the client, over all runs of one stream."""

    # Empty if the client has no event with an id.
    last_event_id: str = ""

    def note_sent(self, events: Sequence[bytes]) -> None:
        """Record events that are passed on together."""
        id_ = event_id(events[-1])
        if id_:
            self.last_event_id = id_.decode("latin-1")
