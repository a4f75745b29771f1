"""What clients received of streams, and what is wrong with it."""

from attrs import define, field

from soak.stream_server import PIECES, first_item, items_per_piece


@define(kw_only=True)
class Answer:
    """One answer as its client received it."""

    request_id: str
    after: str
    status: int = 0
    # The numbers of its events.
    items: list[int] = field(factory=list)
    # The services of the servers that sent them.
    services: set[str] = field(factory=set)
    last_event_id: str = ""
    is_whole: bool = False
    sent_s: float = 0.0
    ended_s: float = 0.0
    # What can't be part of this answer, if anything.
    stray: str = ""


@define(kw_only=True)
class Stream:
    """A stream, its form and all answers with a part of it."""

    id: str
    form: str
    framing: str
    padding_bytes: int
    writes: str
    answers: list[Answer] = field(factory=list)
    last_item: int = 0
    # The service that sent the first event.
    service: str = ""
    last_event_id: str = ""
    first_attempt: str = ""

    @property
    def items(self) -> int:
        """Return the number of events that the whole stream has."""
        return items_per_piece(self.form) * PIECES

    @property
    def label(self) -> str:
        """Return the stream's form for messages."""
        return f"{self.form}, {self.framing}, {self.padding_bytes} B, {self.writes}"

    def may_go_on(self) -> bool:
        """Return whether the client may send another attempt."""
        has_place = not self.last_item or bool(self.last_event_id)
        return has_place and self.last_item < self.items

    def fault(self, answer: Answer) -> str:
        """Return what is wrong with the events of an answer; empty if nothing is."""
        first = first_item(self.form, answer.after)
        expected = list(range(first, first + len(answer.items)))
        if answer.stray or answer.items == expected:
            return answer.stray or self._joint(answer)
        if len(set(answer.items)) < len(answer.items) or min(answer.items) < first:
            return "comes twice"
        return "out of order" if sorted(answer.items) == expected else "missing"

    def _joint(self, answer: Answer) -> str:
        is_joined = len(answer.services) > 1 or (answer.after and answer.services - {self.service})
        return "is joined from two services" if is_joined else ""

    def is_cut_short(self, answer: Answer) -> bool:
        """Return whether an answer looks complete before the last event."""
        return answer.is_whole and answer.status == 200 and answer.items[-1:] != [self.items]
