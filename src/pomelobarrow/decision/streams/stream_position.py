"""Track which events of a stream the client has, and check that a further run continues them."""

from collections import deque
from collections.abc import Iterable, Sequence

import xxhash
from attrs import define, field

from pomelobarrow.decision.streams.server_sent_events import event_data, event_id

# Longer ids may be rejected by servers as a header.
MAX_ID_BYTES = 256
# Numbers of 64 bits, such as times in nanoseconds, are compared as numbers; longer ones are random
# and compared as text.
MAX_ID_DIGITS = 20
# Events without an id are remembered until the next id. With more of them, the stream can't be
# resumed, since its server would repeat them.
MAX_UNIDENTIFIED_EVENTS = 256
# Events without an id are held back until the first id of a further run. A run that brings more of
# them is rejected, since nothing shows where it begins.
MAX_HELD_BYTES = 64 << 10


class JoinError(ValueError):
    """Raised if a run does not continue the events that the client has."""


@define(kw_only=True)
class StreamRun:
    """Hold what one run of a stream brought, for logs."""

    events: int = 0
    first_id: bytes = b""
    last_id: bytes = b""


@define(kw_only=True)
class StreamPosition:
    """Hold the last event that was sent to the client, over all runs of one stream."""

    last_id: bytes = b""
    run: StreamRun = field(factory=StreamRun, init=False)
    # False until the run has an id that is beyond the last one, if there is one to compare.
    is_join_checked: bool = field(default=False, init=False)
    # The events without an id that the run brought until then.
    _held: list[bytes] = field(factory=list, init=False)
    _held_bytes: int = field(default=0, init=False)
    _has_events: bool = field(default=False, init=False)
    # The digests of the events without an id that the client got after the last id.
    _unidentified: list[int] = field(factory=list, init=False)
    # Those of them that the current run may still repeat.
    _repeatable: deque[int] = field(factory=deque, init=False)

    @property
    def last_event_id(self) -> str:
        """Return the id after which a server can go on; empty if there is none."""
        return header_value(self.last_id)

    @property
    def is_resumable(self) -> bool:
        """Return whether a server can go on after exactly the events that the client has."""
        if not self.last_event_id:
            return not self._has_events
        return len(self._unidentified) <= MAX_UNIDENTIFIED_EVENTS

    def begin_run(self) -> None:
        """Expect the events of the next run, which was asked to go on after the last event."""
        self.run = StreamRun()
        self._repeatable = deque(self._unidentified)
        self.is_join_checked = not self.last_id
        self._held, self._held_bytes = [], 0

    def select_new(self, events: Iterable[bytes]) -> Sequence[bytes]:
        """Return the events of a run whose join isn't checked that may be passed on.

        Events that the client has are left out. Those without an id are held back, since they may
        be of a run that goes back. Raises `JoinError` if the first id of the run is not beyond the
        last one of the stream.
        """
        passed: list[bytes] = []
        for event in events:
            id_ = event_id(event)
            if self.is_join_checked:
                passed.append(event)
            elif id_ is not None:
                self._check_join(header_value(id_))
                passed += [*self.release_held(), event]
            elif self._is_repeated(event):
                continue
            elif self._held or event_data(event) is not None:
                self._hold(event)
            else:
                passed.append(event)
        return passed

    def release_held(self) -> Sequence[bytes]:
        """Return the events held back of a run that is complete or whose join is checked."""
        self.is_join_checked = True
        held, self._held = self._held, []
        return held

    def note_sent(self, events: Sequence[bytes]) -> None:
        """Record events that are passed on together."""
        run = self.run
        run.events += len(events)
        run.first_id = run.first_id or _first_id(events)
        unidentified: list[int] = []
        # Events that arrive together may end with comments, which have no id.
        for event in reversed(events):
            id_ = event_id(event)
            if id_ is not None:
                self.last_id = run.last_id = id_
                self._has_events = True
                self._unidentified = unidentified[::-1]
                return
            if event_data(event) is not None:
                unidentified.append(_digest(event))
        if unidentified:
            self._note_unidentified(unidentified[::-1])

    def _note_unidentified(self, digests: list[int]) -> None:
        self._has_events = True
        if len(self._unidentified) <= MAX_UNIDENTIFIED_EVENTS:
            self._unidentified += digests

    def _hold(self, event: bytes) -> None:
        self._held.append(event)
        self._held_bytes += len(event)
        if self._held_bytes > MAX_HELD_BYTES:
            raise JoinError(f"the run has no id in its first {MAX_HELD_BYTES} bytes")

    def _check_join(self, first_id: str) -> None:
        if not is_beyond(first_id, self.last_event_id):
            raise JoinError(f"the run goes on with event {first_id} after {self.last_event_id}")

    def _is_repeated(self, event: bytes) -> bool:
        if not self._repeatable or event_data(event) is None:
            return False
        if self._repeatable.popleft() == _digest(event):
            return True
        self._repeatable.clear()
        return False


def is_beyond(first_id: str, last_id: str) -> bool:
    """Return whether an id may come after another; ids that aren't numbers only have to differ.

    How far the next id is from the last one depends on the server, which may count tokens.
    """
    first, last = _number(first_id), _number(last_id)
    if first is None or last is None:
        return first_id != last_id
    return first > last


def _number(id_: str) -> int | None:
    is_number = id_.isascii() and id_.isdecimal() and len(id_) <= MAX_ID_DIGITS
    return int(id_) if is_number else None


def _first_id(events: Iterable[bytes]) -> bytes:
    return next((id_ for id_ in map(event_id, events) if id_), b"")


def header_value(id_: bytes) -> str:
    """Return an id as a header carries it; empty if no header can."""
    if not id_ or len(id_) > MAX_ID_BYTES:
        return ""
    try:
        return id_.decode()
    except UnicodeDecodeError:
        return ""


def _digest(event: bytes) -> int:
    # Line feeds that belong to the line end before come with the next event.
    return xxhash.xxh3_64_intdigest(event.strip(b"\r\n"))
