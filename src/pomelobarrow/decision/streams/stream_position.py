"""Track which events of a stream the client has."""

from collections.abc import Iterable, Sequence

from attrs import define, field

from pomelobarrow.decision.streams.server_sent_events import event_data, event_id

# Longer ids may be rejected by servers as a header.
MAX_ID_BYTES = 1_024


@define(kw_only=True)
class StreamRun:
    """Hold what one run of a stream brought, for logs."""

    events: int = 0
    first_event_id: str = ""
    last_event_id: str = ""


@define(kw_only=True)
class StreamPosition:
    """Hold the last event that was sent to the client, over all runs of one stream."""

    # Empty if the client has no event, or none that a server can go on after.
    last_event_id: str = ""
    # True if a server can go on after exactly the events that the client has.
    is_resumable: bool = True
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
            if id_ is not None:
                self.last_event_id = run.last_event_id = _header_value(id_)
                self.is_resumable = self.last_event_id != ""
                return
            if event_data(event) is not None:
                self.is_resumable = self.is_resumable and self.last_event_id != ""


def _first_id(events: Iterable[bytes]) -> str:
    ids = (_header_value(event_id(event) or b"") for event in events)
    return next((id_ for id_ in ids if id_), "")


def _header_value(id_: bytes) -> str:
    """Return an id as a header carries it; empty if no header can."""
    if len(id_) > MAX_ID_BYTES:
        return ""
    try:
        return id_.decode()
    except UnicodeDecodeError:
        return ""
