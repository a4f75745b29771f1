"""Track which events of a stream the client has."""

from collections.abc import Iterable, Sequence

from attrs import define, field

from pomelobarrow.decision.streams.server_sent_events import event_id


@define(kw_only=True)
class StreamRun:
    """Hold what one run of a stream brought, for logs."""

    events: int = 0
    first_event_id: str = ""
    last_event_id: str = ""


@define(kw_only=True)
class StreamPosition:
    """Hold the last event that was sent to the client, over all runs of one stream."""

    # Empty if the client has no event with an id.
    last_event_id: str = ""
    run: StreamRun = field(factory=StreamRun, init=False)

    def begin_run(self) -> None:
        """Expect the events of the next run."""
        self.run = StreamRun()

    def note_sent(self, events: Sequence[bytes]) -> None:
        """Record events that are passed on together."""
        run = self.run
        run.events += len(events)
        run.first_event_id = run.first_event_id or _first_id(events)
        # Events that arrive together may end with comments, which have no id.
        for event in reversed(events):
            id_ = event_id(event)
            if id_:
                self.last_event_id = run.last_event_id = id_.decode("latin-1")
                return


def _first_id(events: Iterable[bytes]) -> str:
    ids = (event_id(event) for event in events)
    return next((id_.decode("latin-1") for id_ in ids if id_), "")
