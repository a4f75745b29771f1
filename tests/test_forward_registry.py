from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pomelobarrow.peers.forward_registry import SEEN_KEPT_S, ForwardKey, ForwardRegistry

KEYS = st.builds(ForwardKey, st.sampled_from(["vm-1", "vm-2"]), st.just(1), st.integers(0, 5))
DEADLINE_S = 1_000.0


class CancelledStaysUnrun(RuleBasedStateMachine):
    """Forwards and their cancellations arrive in any order, early, late and twice.

    A forward whose cancellation was answered "not run" must not have run and must never run while
    its deadline lets it.
    """

    def __init__(self) -> None:
        super().__init__()
        self.book = ForwardRegistry()
        self.now_unix_s = 0.0
        self.ran: set[ForwardKey] = set()
        self.told_unrun: set[ForwardKey] = set()

    @rule(key=KEYS)
    def arrive(self, key: ForwardKey) -> None:
        if self.now_unix_s < DEADLINE_S and not self.book.is_cancelled(key):
            self.book.note_seen(key, self.now_unix_s)
            self.ran.add(key)

    @rule(key=KEYS)
    def cancel(self, key: ForwardKey) -> None:
        if self.book.cancel(key, DEADLINE_S, self.now_unix_s):
            self.told_unrun.add(key)

    @rule(key=KEYS)
    def end_unrun(self, key: ForwardKey) -> None:
        if key not in self.ran and not self.book.is_cancelled(key):
            self.book.note_seen(key, self.now_unix_s)
            self.book.note_unrun(key, DEADLINE_S, self.now_unix_s)
            self.cancel(key)

    @rule(passed_s=st.floats(0.0, SEEN_KEPT_S * 3))
    def wait(self, passed_s: float) -> None:
        self.now_unix_s += passed_s

    @invariant()
    def not_run_is_true(self) -> None:
        assert not self.ran & self.told_unrun


TestCancelledStaysUnrun = CancelledStaysUnrun.TestCase
TestCancelledStaysUnrun.settings = settings(max_examples=200, deadline=None)


def test_forward_that_ended_unrun_is_told_so_and_barred() -> None:
    book, key = ForwardRegistry(), ForwardKey("vm-1", 1, 1)
    book.note_seen(key, 0.0)
    assert not book.cancel(key, DEADLINE_S, 1.0)
    book.note_unrun(key, DEADLINE_S, 2.0)
    assert book.cancel(key, DEADLINE_S, 3.0)
    assert book.is_cancelled(key)


def test_what_was_seen_is_forgotten_in_time() -> None:
    book = ForwardRegistry()
    for serial in range(1_000):
        book.note_seen(ForwardKey("vm-1", 1, serial), serial)
    assert len(book) <= SEEN_KEPT_S + 1
