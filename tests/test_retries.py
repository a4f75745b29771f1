"""Retries never double a call nor an overload, and refused callers come back in turn."""

from random import Random

import pytest
from work_builders import work

from pomelobarrow.decision.errors import Run
from pomelobarrow.decision.retries import (
    BUDGET_MAX,
    BUDGET_RATIO,
    MAX_ATTEMPTS,
    RetryBudget,
    RetryVerdict,
    retry_after_unix_s,
    retry_verdict,
)
from pomelobarrow.decision.retry_line import MAX_RETRY_AFTER_S, PART_FOR_RETURNING, RetryLine

PING = work(repeatable=False)
DRAFT = work()


@pytest.mark.parametrize(
    ("wanted", "run", "attempts", "wait_s", "verdict"),
    [
        pytest.param(PING, Run.UNKNOWN, 1, 0.0, RetryVerdict.MAY_HAVE_RUN, id="ping, unknown"),
        pytest.param(PING, Run.NO, 1, 0.0, RetryVerdict.RETRY, id="ping, not run"),
        pytest.param(DRAFT, Run.UNKNOWN, 1, 0.0, RetryVerdict.RETRY, id="draft, unknown"),
        pytest.param(DRAFT, Run.NO, 1, 70.0, RetryVerdict.DEADLINE, id="no time left"),
        pytest.param(DRAFT, Run.NO, MAX_ATTEMPTS, 0.0, RetryVerdict.ATTEMPTS, id="often enough"),
    ],
)
def test_the_verdict(
    wanted: object, run: Run, attempts: int, wait_s: float, verdict: RetryVerdict
) -> None:
    assert retry_verdict(wanted, run, attempts, RetryBudget(), wait_s, 1.0) is verdict  # type: ignore[arg-type]


def test_retries_are_a_tenth_of_the_successes_in_an_outage() -> None:
    # Every second attempt fails for long. Without a budget the retries would double the load of
    # servers that fail because of it.
    budget, retries = RetryBudget(), 0
    for _ in range(1_000):
        budget.observe_success()
        retries += retry_verdict(DRAFT, Run.NO, 1, budget, 0.0, 1.0) is RetryVerdict.RETRY
    assert retries <= BUDGET_MAX + BUDGET_RATIO * 1_000


def test_an_empty_budget_spends_nothing() -> None:
    budget = RetryBudget(tokens=0.5)
    assert retry_verdict(DRAFT, Run.NO, 1, budget, 0.0, 1.0) is RetryVerdict.BUDGET
    budget.observe_success()
    assert not budget.has_token()


def test_retry_after_is_spread() -> None:
    random = Random(1)
    times = {retry_after_unix_s(4.0, 100.0, random) for _ in range(50)}
    assert len(times) > 40
    assert all(104.0 <= at <= 106.0 for at in times)


def test_refused_callers_come_back_no_faster_than_the_queue_takes_them() -> None:
    # An overload refuses 400 callers in a second. Told the same wait they would all come back
    # together and be refused again.
    line, random = RetryLine(), Random(1)
    times = sorted(line.book(2.0, 50.0, number / 400.0, random) for number in range(400))
    per_s = len(times) / (times[-1] - times[0])
    assert per_s <= 1.3 * PART_FOR_RETURNING * 50.0
    assert times[0] >= 1.5


def test_the_line_is_bounded_and_still_spread() -> None:
    line, random = RetryLine(), Random(1)
    times = [line.book(2.0, 1.0, 0.0, random) for _ in range(1_000)]
    assert max(times) <= MAX_RETRY_AFTER_S
    assert len(set(times[-100:])) > 90
