"""State machine of one attempt to run a request, and whether the request may have run."""

import enum
from collections.abc import Iterable, Mapping

from attrs import define, field

from pomelobarrow.decision.common.errors import RunStatus


class AttemptState(enum.Enum):
    """States of an attempt."""

    NOT_SENT = "not_sent"
    SENT = "sent"
    RUNNING = "running"
    FINISHED = "finished"
    REFUSED_UNRUN = "refused_unrun"
    UNKNOWN = "unknown"


class AttemptEvent(enum.Enum):
    """Events of an attempt; SEND precedes handing the first byte to the transport."""

    SEND = "send"
    FIRST_BYTE = "first_byte"
    END = "end"
    REFUSE_UNRUN = "refuse_unrun"
    LOSE = "lose"
    CONFIRM_CANCELLED_UNRUN = "confirm_cancelled_unrun"


class IllegalTransitionError(Exception):
    """Raised for an event that is not allowed in the attempt's state."""

    def __init__(self, state: AttemptState, event: AttemptEvent, remedy: str) -> None:
        super().__init__(f"attempt is {state.value}, cannot apply {event.value}: {remedy}")
        self.state = state
        self.event = event


_S = AttemptState
_E = AttemptEvent

TRANSITIONS: Mapping[tuple[AttemptState, AttemptEvent], AttemptState] = {
    (_S.NOT_SENT, _E.SEND): _S.SENT,
    # Nothing was handed to the transport, so losing the connection changes nothing.
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
    # A lost stream can be resumed, and a late answer is still valid.
    (_S.UNKNOWN, _E.FIRST_BYTE): _S.RUNNING,
    (_S.UNKNOWN, _E.END): _S.FINISHED,
    (_S.UNKNOWN, _E.REFUSE_UNRUN): _S.REFUSED_UNRUN,
    (_S.UNKNOWN, _E.LOSE): _S.UNKNOWN,
    (_S.UNKNOWN, _E.CONFIRM_CANCELLED_UNRUN): _S.REFUSED_UNRUN,
    # The connection may close, or a cancellation be confirmed, after the attempt has ended.
    (_S.FINISHED, _E.LOSE): _S.FINISHED,
    (_S.REFUSED_UNRUN, _E.LOSE): _S.REFUSED_UNRUN,
    (_S.REFUSED_UNRUN, _E.REFUSE_UNRUN): _S.REFUSED_UNRUN,
    (_S.REFUSED_UNRUN, _E.CONFIRM_CANCELLED_UNRUN): _S.REFUSED_UNRUN,
}

UNRUN_STATES = frozenset({_S.NOT_SENT, _S.REFUSED_UNRUN})


@define
class Attempt:
    """One attempt to run a request; its state changes only as TRANSITIONS allows."""

    state: AttemptState = AttemptState.NOT_SENT
    _answered: bool = field(default=False, init=False)
    _given_up: bool = field(default=False, init=False)

    def apply(self, event: AttemptEvent) -> AttemptState:
        """Apply an event and return the new state, or raise if it is not allowed."""
        target = TRANSITIONS.get((self.state, event))
        if target is None:
            raise IllegalTransitionError(self.state, event, "start a new attempt")
        # An executor that sent part of an answer and later reports "not run" has lost its record of
        # the run, for example by a restart. The caller would get "not run" for a request that ran.
        if target is AttemptState.REFUSED_UNRUN and self._answered:
            raise IllegalTransitionError(self.state, event, "report the outcome as unknown")
        # Once this attempt was given up, the next one may be in progress. Sending this one late
        # would run the request twice.
        if event is AttemptEvent.SEND and self._given_up:
            raise IllegalTransitionError(self.state, event, "send the newer attempt only")
        self._answered = self._answered or event in _ANSWERS
        self._given_up = self._given_up or event is AttemptEvent.LOSE
        self.state = target
        return target


_ANSWERS = frozenset({AttemptEvent.FIRST_BYTE, AttemptEvent.END})


def run_status(states: Iterable[AttemptState]) -> RunStatus:
    """Return NO only if every attempt is certain not to have run."""
    if all(state in UNRUN_STATES for state in states):
        return RunStatus.NO
    return RunStatus.UNKNOWN


def may_retry(states: Iterable[AttemptState], repeatable: bool) -> bool:
    """Return whether another attempt may start once the earlier ones were given up."""
    seen = tuple(states)
    if repeatable:
        return AttemptState.FINISHED not in seen
    return run_status(seen) is RunStatus.NO
