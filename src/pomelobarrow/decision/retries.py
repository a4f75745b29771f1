"""Decide whether an attempt is made again and when a refused caller should come back."""

import enum
from random import Random

from attrs import define

from pomelobarrow.decision.errors import RunStatus
from pomelobarrow.decision.work import Work

BUDGET_RATIO = 0.1
BUDGET_MAX = 10.0
MAX_ATTEMPTS = 3
MIN_RETRY_AFTER_S = 0.5
# A pool that has just lost its servers drains at no rate, which says nothing of when it is back.
MAX_RETRY_AFTER_S = 30.0
RETRY_JITTER = 0.5


class RetryDecision(enum.Enum):
    """Say whether to try again, or why not."""

    RETRY = "retry"
    MAY_HAVE_RUN = "may have run and is not idempotent"
    DEADLINE = "the deadline leaves no time"
    ATTEMPTS = "tried often enough"
    BUDGET = "the class's retry budget is used up"


@define
class RetryBudget:
    """Hold one class's retry tokens: successes fill it, retries spend it."""

    # A full start lets single failures be retried before any success is seen.
    _tokens: float = BUDGET_MAX

    def observe_success(self) -> None:
        """Earn a part of a retry."""
        self._tokens = min(BUDGET_MAX, self._tokens + BUDGET_RATIO)

    def has_token(self) -> bool:
        """Say whether a retry can be paid for."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Pay for one retry."""
        self._tokens -= 1.0


def decide_retry(
    work: Work,
    run: RunStatus,
    attempts: int,
    budget: RetryBudget,
    expected_wait_s: float,
    now_unix_s: float,
) -> RetryDecision:
    """Judge a failed attempt and spend the budget where the verdict is to retry."""
    checks = (
        (run is RunStatus.UNKNOWN and not work.repeatable, RetryDecision.MAY_HAVE_RUN),
        (now_unix_s + expected_wait_s >= work.deadline_unix_s, RetryDecision.DEADLINE),
        (attempts >= MAX_ATTEMPTS, RetryDecision.ATTEMPTS),
        (not budget.has_token(), RetryDecision.BUDGET),
    )
    for fails, verdict in checks:
        if fails:
            return verdict
    budget.spend()
    return RetryDecision.RETRY


def retry_after_unix_s(expected_wait_s: float, now_unix_s: float, random: Random) -> float:
    """Return when to come back, spread so that refused callers don't return together."""
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_wait_s))
    return now_unix_s + base_s * (1.0 + RETRY_JITTER * random.random())
