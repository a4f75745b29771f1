from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pomelobarrow.peers.forward_registry import SEEN_KEPT_S, ForwardKey, ForwardRegistry

KEYS = st.builds(ForwardKey, st.sampled_from(["vm-1", "vm-2"]), st.just(1), st.integers(0, 5))
DEADLINE_S = 1_000.0


class CancelledStaysUnrun(RuleBasedStateMachine):
    """Forwards and their cancellations arrive in any order, early, late and twice.

    A forward whose cancellation was answered "not_run" must not have run and must not run later
    within its deadline.
    """

    def __init__(self) -> None:
        super().__init__()
        self.registry = ForwardRegistry()
        self.now_unix_s = 0.0
        self.ran: set[ForwardKey] = set()
        self.answered_not_run: set[ForwardKey] = set()

    @rule(key=KEYS)
    def arrive(self, key: ForwardKey) -> None:
        if self.now_unix_s < DEADLINE_S and not self.registry.is_cancelled(key):
            self.registry.note_seen(key, self.now_unix_s)
            self.ran.add(key)

    @rule(key=KEYS)
    def cancel(self, key: ForwardKey) -> None:
        if self.registry.cancel(key, DEADLINE_S, self.now_unix_s):
            self.answered_not_run.add(key)

    @rule(key=KEYS)
    def end_unrun(self, key: ForwardKey) -> None:
        if key not in self.ran and not self.registry.is_cancelled(key):
            self.registry.note_seen(key, self.now_unix_s)
            self.registry.note_unrun(key, DEADLINE_S, self.now_unix_s)
            self.cancel(key)

    @rule(passed_s=st.floats(0.0, SEEN_KEPT_S * 3))
    def wait(self, passed_s: float) -> None:
        self.now_unix_s += passed_s

    @invariant()
    def not_run_is_true(self) -> None:
        assert not self.ran & self.answered_not_run


TestCancelledStaysUnrun = CancelledStaysUnrun.TestCase
TestCancelledStaysUnrun.settings = settings(max_examples=200, deadline=None)


def test_forward_that_ended_unrun_is_reported_as_such_and_blocked() -> None:
    registry, key = ForwardRegistry(), ForwardKey("vm-1", 1, 1)
    registry.note_seen(key, 0.0)
    assert not registry.cancel(key, DEADLINE_S, 1.0)
    registry.note_unrun(key, DEADLINE_S, 2.0)
    assert registry.cancel(key, DEADLINE_S, 3.0)
    assert registry.is_cancelled(key)


def test_received_forwards_expire() -> None:
    registry = ForwardRegistry()
    for serial in range(1_000):
        registry.note_seen(ForwardKey("vm-1", 1, serial), serial)
    assert len(registry) <= SEEN_KEPT_S + 1
