"""Say which requests may still run, from the ends of their attempts.

Load pattern: overloaded servers reject, lose or cut off attempts, and callers come back after an
answer that states that their request did not run. Such an answer is a promise, also about sent
bytes that arrive after it; no other module decides when it may be given.
"""

import enum
from collections.abc import Mapping

from attrs import define, field, frozen

from pomelobarrow.decision.requests.attempt import UNRUN_STATES, Attempt, AttemptState

# With these statuses callers send a request again although it may run only once.
UNRUN_STATUSES = frozenset({408, 421, 429, 503})


class AttemptEnd(enum.Enum):
    """Enumerate how an attempt on one server or peer can end."""

    # Nothing was sent.
    NOT_SENT = "not sent"
    # Not sent, since the server announced meanwhile that it takes no requests.
    WITHHELD = "withheld"
    # A peer refused it without sending it to a server.
    REFUSED_UNSENT = "turned back"
    # A peer refused it unsent because such requests crash servers.
    BLOCKED = "blocked"
    # The server, or a peer whose server it was, stated that it did not run the request.
    REFUSED = "refused unrun"
    # A complete answer has been received and not sent to the client yet.
    ANSWERED = "answered"
    # The complete answer has been sent to the client.
    PASSED_ON = "passed on"
    # Cancelled before the first byte was sent.
    CANCELLED_UNSENT = "cancelled unsent"
    # Cancelled afterwards: bytes on the way may still start the request.
    CANCELLED = "cancelled"
    # No complete answer arrived, or a peer could not say what became of the request.
    LOST = "lost"


@frozen
class EndMeaning:
    """What an attempt's end says about its request."""

    # A server received it, which counts against the route's limit on attempts.
    reached_server: bool
    # It ran, runs or may still start to run.
    may_run: bool


MEANINGS: Mapping[AttemptEnd, EndMeaning] = {
    AttemptEnd.NOT_SENT: EndMeaning(reached_server=False, may_run=False),
    AttemptEnd.WITHHELD: EndMeaning(reached_server=False, may_run=False),
    AttemptEnd.REFUSED_UNSENT: EndMeaning(reached_server=False, may_run=False),
    AttemptEnd.BLOCKED: EndMeaning(reached_server=False, may_run=False),
    AttemptEnd.CANCELLED_UNSENT: EndMeaning(reached_server=False, may_run=False),
    AttemptEnd.REFUSED: EndMeaning(reached_server=True, may_run=False),
    AttemptEnd.ANSWERED: EndMeaning(reached_server=True, may_run=True),
    AttemptEnd.PASSED_ON: EndMeaning(reached_server=True, may_run=True),
    AttemptEnd.CANCELLED: EndMeaning(reached_server=True, may_run=True),
    AttemptEnd.LOST: EndMeaning(reached_server=True, may_run=True),
}


def cancelled_end(state: AttemptState) -> AttemptEnd:
    """Return the end of an attempt that is cancelled in a state."""
    return AttemptEnd.CANCELLED_UNSENT if state in UNRUN_STATES else AttemptEnd.CANCELLED


@define(kw_only=True)
class AttemptRecord:
    """Track one attempt from before its first byte is sent.

    A request whose time ends at any moment is judged by its records, so that an attempt which has
    been sent counts even if nothing has noted its end yet.
    """

    progress: Attempt = field(factory=Attempt)
    # None until the attempt has ended by itself.
    final_end: AttemptEnd | None = None

    @property
    def end(self) -> AttemptEnd:
        """Return how the attempt ended, or how it would end if it were cancelled now."""
        return self.final_end or cancelled_end(self.progress.state)

    @property
    def meaning(self) -> EndMeaning:
        """Return what the attempt says about its request now."""
        return MEANINGS[self.end]


def may_pass_on(status: int, is_repeatable: bool) -> bool:
    """Return whether a server's answer that doesn't state "not run" may go to the caller.

    A caller takes some statuses for that statement, whoever made them.
    """
    return is_repeatable or status not in UNRUN_STATUSES
