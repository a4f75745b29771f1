"""What is said of an attempt is true: "not run" never of something that ran or still may run."""

import itertools

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pomelobarrow.decision.attempt import (
    TRANSITIONS,
    Attempt,
    AttemptEvent,
    AttemptState,
    IllegalTransitionError,
    may_retry,
    run_status,
)
from pomelobarrow.decision.errors import RunStatus

picks = st.integers(0, 9)


class Executor:
    """Know the truth: what it received, ran, or barred after a refusal or cancellation."""

    def __init__(self):
        self.may_still_start = False
        self.ran = False
        self.ended = False


class NotRunIsTrue(RuleBasedStateMachine):
    """Send one request that may not be repeated, over connections that break and come late."""

    def __init__(self):
        super().__init__()
        self.attempts = []
        self.executors = []

    @rule()
    def try_again(self):
        states = [attempt.state for attempt in self.attempts]
        if may_retry(states, repeatable=False):
            for attempt in self.attempts:
                attempt.apply(AttemptEvent.LOSE)
            self.attempts.append(Attempt())
            self.executors.append(Executor())

    def apply(self, index, event):
        """Apply an event; a refused one leaves the state as it was."""
        before = self.attempts[index].state
        try:
            self.attempts[index].apply(event)
        except IllegalTransitionError:
            assert self.attempts[index].state is before
            return False
        return True

    @rule(pick=picks)
    def send(self, pick):
        if self.attempts:
            index = pick % len(self.attempts)
            if self.apply(index, AttemptEvent.SEND):
                self.executors[index].may_still_start = True

    @rule(pick=picks, refuses=st.booleans())
    def receive(self, pick, refuses):
        for index, executor in self.pick(pick):
            if executor.may_still_start:
                executor.may_still_start = False
                executor.ran = not refuses
                if refuses:
                    self.apply(index, AttemptEvent.REFUSE_UNRUN)

    @rule(pick=picks, ends=st.booleans())
    def answer(self, pick, ends):
        for index, executor in self.pick(pick):
            if executor.ran:
                executor.ended |= ends
                self.apply(index, AttemptEvent.END if ends else AttemptEvent.FIRST_BYTE)

    @rule(pick=picks)
    def break_connection(self, pick):
        for index, _ in self.pick(pick):
            self.apply(index, AttemptEvent.LOSE)

    @rule(pick=picks)
    def cancel(self, pick):
        for index, executor in self.pick(pick):
            if not executor.ran and self.attempts[index].state is not AttemptState.NOT_SENT:
                executor.may_still_start = False
                self.apply(index, AttemptEvent.CONFIRM_CANCELLED_UNRUN)

    def pick(self, pick):
        chosen = list(enumerate(self.executors))
        return chosen[pick % len(chosen) :][:1] if chosen else []

    @invariant()
    def the_verdict_is_true_and_nothing_ran_twice(self):
        may_have_run = [executor.ran or executor.may_still_start for executor in self.executors]
        assert sum(may_have_run) <= 1
        if run_status(attempt.state for attempt in self.attempts) is RunStatus.NO:
            assert not any(may_have_run)
        for attempt, executor in zip(self.attempts, self.executors, strict=True):
            assert executor.ended or attempt.state is not AttemptState.FINISHED


TestNotRunIsTrue = NotRunIsTrue.TestCase


@pytest.mark.parametrize("state", AttemptState)
@pytest.mark.parametrize("event", AttemptEvent)
def test_an_event_moves_along_the_table_or_raises_naming_the_remedy(state, event):
    attempt = Attempt(state)
    if (state, event) in TRANSITIONS:
        assert attempt.apply(event) is TRANSITIONS[state, event]
    else:
        with pytest.raises(IllegalTransitionError, match="start a new attempt"):
            attempt.apply(event)


@pytest.mark.parametrize("states", [*itertools.product(AttemptState, repeat=2)])
def test_not_run_needs_every_attempt_to_be_certain(states):
    certain = {AttemptState.NOT_SENT, AttemptState.REFUSED_UNRUN}
    assert (run_status(states) is RunStatus.NO) == (set(states) <= certain)
    assert may_retry(states, repeatable=False) == (set(states) <= certain)
    assert may_retry(states, repeatable=True) == (AttemptState.FINISHED not in states)


def test_an_attempt_given_up_before_it_was_sent_is_never_sent_late():
    attempt = Attempt()
    attempt.apply(AttemptEvent.LOSE)
    with pytest.raises(IllegalTransitionError, match="newer attempt"):
        attempt.apply(AttemptEvent.SEND)


@pytest.mark.parametrize("word", [AttemptEvent.REFUSE_UNRUN, AttemptEvent.CONFIRM_CANCELLED_UNRUN])
def test_a_backend_server_that_answered_is_not_believed_that_nothing_ran(word):
    # The server sends a first byte and restarts, which breaks the connection. Asked to cancel, it
    # has forgotten the run and says "not run"; passed on, the caller would send the order again.
    attempt = Attempt()
    for event in (AttemptEvent.SEND, AttemptEvent.FIRST_BYTE, AttemptEvent.LOSE):
        attempt.apply(event)
    with pytest.raises(IllegalTransitionError, match="report the outcome as unknown"):
        attempt.apply(word)
    assert run_status([attempt.state]) is RunStatus.UNKNOWN
