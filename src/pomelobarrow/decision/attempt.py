"""The states of one attempt to run a request, and what they allow to be said of it."""

import enum
from collections.abc import Iterable, Mapping

from attrs import define, field

from pomelobarrow.decision.errors import RunStatus


class AttemptState(enum.Enum):
    """Enumerate how far an attempt has got."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    RUNNING = "running"
    FINISHED = "finished"
    REFUSED_UNRUN = "refused_unrun"
    UNKNOWN = "unknown"


class AttemptEvent(enum.Enum):
    """Enumerate what can happen to an attempt; SEND comes before the first byte is handed over."""

    SEND = "send"
    FIRST_BYTE = "first_byte"
    END = "end"
    REFUSE_UNRUN = "refuse_unrun"
    LOSE = "lose"
    CONFIRM_CANCELLED_UNRUN = "confirm_cancelled_unrun"


class IllegalTransitionError(Exception):
    """Report an event that the attempt's state rules out."""

    def __init__(self, state: AttemptState, event: AttemptEvent, remedy: str) -> None:
        super().__init__(f"attempt is {state.value}, can't apply {event.value}: {remedy}")
        self.state = state
        self.event = event


_S = AttemptState
_E = AttemptEvent

TRANSITIONS: Mapping[tuple[AttemptState, AttemptEvent], AttemptState] = {
    (_S.NOT_SENT, _E.SEND): _S.SENT,
    # Nothing was handed to the transport, so a lost connection loses nothing.
    (_S.NOT_SENT, _E.LOSE): _S.NOT_SENT,
    (_S.NOT_SENT, _E.CONFIRM_CANCELLED_UNRUN): _S.REFUSED_UNRUN,
    (_S.SENT, _E.FIRST_BYTE): _S.RUNNING,
    (_S.SENT, _E.END): _S.FINISHED,
    (_S.SENT, _E.REFUSE_UNRUN): _S.REFUSED_UNRUN,
    (_S.SENT, _E.LOSE): _S.UNKNOWN,
    (_S.SENT, _E.CONFIRM_CANCELLED_UNRUN): _S.REFUSED_UNRUN,
    (_S.RUNNING, _E.FIRST_BYTE): _S.RUNNING,
    (_S.RUNNING, _E.END): _S.FINISHED,
    (_S.RUNNING, _E.LOSE): _S.UNKNOWN,
    # A stream that was lost can be resumed, and a late answer still counts.
    (_S.UNKNOWN, _E.FIRST_BYTE): _S.RUNNING,
    (_S.UNKNOWN, _E.END): _S.FINISHED,
    (_S.UNKNOWN, _E.REFUSE_UNRUN): _S.REFUSED_UNRUN,
    (_S.UNKNOWN, _E.LOSE): _S.UNKNOWN,
    (_S.UNKNOWN, _E.CONFIRM_CANCELLED_UNRUN): _S.REFUSED_UNRUN,
    # The connection may close, and a cancellation be confirmed, after the end is known.
    (_S.FINISHED, _E.LOSE): _S.FINISHED,
    (_S.REFUSED_UNRUN, _E.LOSE): _S.REFUSED_UNRUN,
    (_S.REFUSED_UNRUN, _E.REFUSE_UNRUN): _S.REFUSED_UNRUN,
    (_S.REFUSED_UNRUN, _E.CONFIRM_CANCELLED_UNRUN): _S.REFUSED_UNRUN,
}

UNRUN_STATES = frozenset({_S.NOT_SENT, _S.REFUSED_UNRUN})


@define
class Attempt:
    """Hold one attempt's state; it moves only along the transition table."""

    state: AttemptState = AttemptState.NOT_SENT
    _answered: bool = field(default=False, init=False)
    _given_up: bool = field(default=False, init=False)

    def apply(self, event: AttemptEvent) -> AttemptState:
        """Move to the next state, or raise where the table has none."""
        target = TRANSITIONS.get((self.state, event))
        if target is None:
            raise IllegalTransitionError(self.state, event, "start a new attempt")
        # An executor that answered with a byte and later says "not run" has forgotten the run, say
        # by a restart. Believing it would tell the caller "not run" of something that ran.
        if target is AttemptState.REFUSED_UNRUN and self._answered:
            raise IllegalTransitionError(self.state, event, "report the outcome as unknown")
        # The next attempt may already be under way once this one was given up. Sending this one
        # late would run the request twice.
        if event is AttemptEvent.SEND and self._given_up:
            raise IllegalTransitionError(self.state, event, "send the newer attempt only")
        self._answered = self._answered or event in _ANSWERS
        self._given_up = self._given_up or event is AttemptEvent.LOSE
        self.state = target
        return target


_ANSWERS = frozenset({AttemptEvent.FIRST_BYTE, AttemptEvent.END})


def run_status(states: Iterable[AttemptState]) -> RunStatus:
    """Say "no" only when every attempt is certain never to have run."""
    if all(state in UNRUN_STATES for state in states):
        return RunStatus.NO
    return RunStatus.UNKNOWN


def may_retry(states: Iterable[AttemptState], repeatable: bool) -> bool:
    """Say whether another attempt may start once the earlier ones were given up."""
    seen = tuple(states)
    if repeatable:
        return AttemptState.FINISHED not in seen
    return run_status(seen) is RunStatus.NO
