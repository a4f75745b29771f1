"""Late work is refused at once, and callers come back in turn."""

from random import Random

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.retry_schedule import RetrySchedule
from pomelobarrow.decision.stream_admission import (
    StreamExpectations,
    is_worth_taking,
    retry_at_unix_s,
)

NOW = 1_000.0
PROMISE = StreamExpectations(
    first_answer_due_unix_s=NOW + 0.8, silence_patience_s=3.2, is_long=True, is_resubmission=False
)
BACK = evolve(PROMISE, is_resubmission=True)


def test_long_prompt_that_may_be_on_time_is_taken() -> None:
    assert is_worth_taking(PROMISE, 0.7, NOW)


def test_long_prompt_that_would_be_late_is_refused() -> None:
    assert not is_worth_taking(PROMISE, 0.9, NOW)
    assert not is_worth_taking(PROMISE, 0.7, NOW + 0.4)


def test_short_prompt_is_taken_until_its_caller_would_leave() -> None:
    short = evolve(PROMISE, is_long=False)
    assert is_worth_taking(short, 2.0, NOW)
    assert not is_worth_taking(short, 3.0, NOW)


def test_caller_that_came_back_is_taken_until_it_would_leave() -> None:
    assert is_worth_taking(BACK, 2.0, NOW)
    assert not is_worth_taking(BACK, 3.0, NOW)


@given(
    wait_s=st.floats(0.0, 60.0),
    taken_per_s=st.floats(0.1, 500.0),
    left_s=st.floats(0.5, 30.0),
    seed=st.integers(),
)
def test_callers_are_never_told_a_time_that_they_do_not_heed(
    wait_s: float, taken_per_s: float, left_s: float, seed: int
) -> None:
    line, random = RetrySchedule(), Random(seed)
    for _ in range(20):
        at = retry_at_unix_s(line, wait_s, taken_per_s, NOW + left_s, NOW, random)
        assert NOW + 0.149 <= at <= NOW + max(0.15, left_s / 3.0)


def test_refused_in_a_burst_callers_come_back_spread_out() -> None:
    """A hundred callers are refused within a moment by servers that take ten a second.

    Told the same time, they would all come back together, be refused again and be lost, as a
    client comes back once.
    """
    line, random = RetrySchedule(), Random(1)
    times = [retry_at_unix_s(line, 1.0, 10.0, NOW + 15.0, NOW, random) for _ in range(100)]
    busiest = max(sum(t <= each < t + 0.5 for each in times) for t in times)
    assert busiest <= 25
    assert max(times) - min(times) > 3.0


def test_pool_without_servers_does_not_put_off_those_who_come_next() -> None:
    """One caller is refused where no server is known, and others once there is a short queue."""
    line, random = RetrySchedule(), Random(1)
    retry_at_unix_s(line, 900.0, 10.0, NOW + 2.0, NOW, random)
    assert retry_at_unix_s(line, 0.5, 10.0, NOW + 15.0, NOW, random) < NOW + 2.0
