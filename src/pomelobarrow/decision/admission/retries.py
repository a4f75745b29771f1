"""Decide whether a failed attempt is retried, and when a refused caller should retry."""

import enum
from random import Random

from attrs import define

from pomelobarrow.decision.common.errors import RunStatus
from pomelobarrow.decision.requests.work import Work

BUDGET_RATIO = 0.1
BUDGET_MAX = 10.0
MAX_ATTEMPTS = 3
MIN_RETRY_AFTER_S = 0.5
# The wait expected of a pool without servers is unbounded, as its queue drains at a rate of zero.
# It does not predict when servers return, so the delay is capped.
MAX_RETRY_AFTER_S = 30.0
RETRY_JITTER = 0.5


class RetryDecision(enum.Enum):
    """Whether to retry, or the reason not to."""

    RETRY = "retry"
    MAY_HAVE_RUN = "may have run and is not idempotent"
    DEADLINE = "the deadline leaves no time"
    ATTEMPTS = "tried often enough"
    BUDGET = "the class's retry budget is used up"


@define
class RetryBudget:
    """A class's retry budget: successes add to it, retries spend from it."""

    # Starts full, so that isolated failures are retried before the first success.
    _tokens: float = BUDGET_MAX

    def observe_success(self) -> None:
        """Add a fraction of a retry for a success."""
        self._tokens = min(BUDGET_MAX, self._tokens + BUDGET_RATIO)

    def has_token(self) -> bool:
        """Return whether the budget covers another retry."""
        return self._tokens >= 1.0

    def spend(self) -> None:
        """Take one retry from the budget."""
        self._tokens -= 1.0


def decide_retry(
    work: Work,
    run: RunStatus,
    attempts: int,
    budget: RetryBudget,
    expected_wait_s: float,
    now_unix_s: float,
) -> RetryDecision:
    """Decide whether to retry a failed attempt, and spend from the budget if so."""
    checks = (
        (run is RunStatus.UNKNOWN and not work.repeatable, RetryDecision.MAY_HAVE_RUN),
        (now_unix_s + expected_wait_s >= work.deadline_unix_s, RetryDecision.DEADLINE),
        (attempts >= MAX_ATTEMPTS, RetryDecision.ATTEMPTS),
        (not budget.has_token(), RetryDecision.BUDGET),
    )
    for fails, decision in checks:
        if fails:
            return decision
    budget.spend()
    return RetryDecision.RETRY


def retry_after_unix_s(expected_wait_s: float, now_unix_s: float, random: Random) -> float:
    """Return when to retry, with jitter so that refused callers do not retry together."""
    base_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_wait_s))
    return now_unix_s + base_s * (1.0 + RETRY_JITTER * random.random())
