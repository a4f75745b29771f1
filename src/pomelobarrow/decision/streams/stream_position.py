"""Track which events of a stream the client has."""

from collections import deque
from collections.abc import Iterable, Sequence

import xxhash
from attrs import define, field

from pomelobarrow.decision.streams.server_sent_events import event_data, event_id

# Longer ids may be rejected by servers as a header.
MAX_ID_BYTES = 256
# Events without an id are remembered until the next id. With more of them, the stream can't be
# resumed, since its server would repeat them.
MAX_UNIDENTIFIED_EVENTS = 256


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
    # The digests of the events without an id that the client got after the last id.
    _unidentified: list[int] = field(factory=list, init=False)
    # Those of them that the current run may still repeat.
    _repeatable: deque[int] = field(factory=deque, init=False)

    def begin_run(self) -> None:
        """Expect the events of the next run, which was asked to go on after the last event."""
        self.run = StreamRun()
        self._repeatable = deque(self._unidentified)

    def select_new(self, events: Sequence[bytes]) -> Sequence[bytes]:
        """Return the events of the current run that the client does not have."""
        if not self._repeatable:
            return events
        new: list[bytes] = []
        for index, event in enumerate(events):
            if event_id(event) is not None:
                self._repeatable.clear()
                return [*new, *events[index:]]
            if not self._is_repeated(event):
                new.append(event)
        return new

    def note_sent(self, events: Sequence[bytes]) -> None:
        """Record events that are passed on together."""
        run = self.run
        run.events += len(events)
        run.first_event_id = run.first_event_id or _first_id(events)
        unidentified: list[int] = []
        # Events that arrive together may end with comments, which have no id.
        for event in reversed(events):
            id_ = event_id(event)
            if id_ is not None:
                self.last_event_id = run.last_event_id = _header_value(id_)
                self._unidentified = []
                self.is_resumable = self.last_event_id != ""
                break
            if event_data(event) is not None:
                unidentified.append(_digest(event))
        if unidentified:
            self._note_unidentified(reversed(unidentified))

    def _note_unidentified(self, digests: Iterable[int]) -> None:
        self._unidentified.extend(digests)
        is_known = self.last_event_id != "" and len(self._unidentified) <= MAX_UNIDENTIFIED_EVENTS
        self.is_resumable = self.is_resumable and is_known
        if not self.is_resumable:
            self._unidentified = []

    def _is_repeated(self, event: bytes) -> bool:
        if not self._repeatable or event_data(event) is None:
            return False
        if self._repeatable.popleft() == _digest(event):
            return True
        self._repeatable.clear()
        return False


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


def _digest(event: bytes) -> int:
    # Line feeds that belong to the line end before come with the next event.
    return xxhash.xxh3_64_intdigest(event.strip(b"\r\n"))
