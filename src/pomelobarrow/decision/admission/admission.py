"""Admit a request to the queue, or refuse it immediately with a remedy."""

from collections.abc import Callable
from random import Random

from result import Err, Result

from pomelobarrow.decision.admission.limits import AccountLimits
from pomelobarrow.decision.admission.work_queue import WorkQueue
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.published.configuration import Account
from pomelobarrow.decision.requests.work import Work


def admit(
    work: Work,
    account: Account,
    *,
    queue: WorkQueue,
    limits: AccountLimits,
    expected_wait_s: float,
    expected_service_s: float,
    now_unix_s: float,
    random: Random,
) -> Result[Work, Refusal]:
    """Count the work against its account and return it, or return the refusal.

    `limits.release` must be called exactly once when an admitted request ends.
    """
    refusal = refuse_unservable(
        work,
        queue=queue,
        expected_wait_s=expected_wait_s,
        expected_service_s=expected_service_s,
        now_unix_s=now_unix_s,
        random=random,
    )
    if refusal is not None:
        return Err(refusal)
    return admit_account(work, account, limits, now_unix_s)


def admit_account(
    work: Work, account: Account, limits: AccountLimits, now_unix_s: float
) -> Result[Work, Refusal]:
    """Count the work against its account, or refuse it if the account is over its limits."""
    return limits.admit(account, now_unix_s).map(lambda _: work).map_err(_over_limit(account))


def refuse_unservable(
    work: Work,
    *,
    queue: WorkQueue,
    expected_wait_s: float,
    expected_service_s: float,
    now_unix_s: float,
    random: Random,
) -> Refusal | None:
    """Return a refusal if the work cannot meet its deadline here or the queue is full."""

    def retry_at_unix_s() -> float:
        return queue.retry_at_unix_s(work.rank, expected_wait_s, now_unix_s, random)

    late = _refuse_late(work, expected_wait_s, expected_service_s, now_unix_s, retry_at_unix_s)
    return late or _refuse_full(work, queue, retry_at_unix_s)


def _refuse_late(
    work: Work,
    wait_s: float,
    service_s: float,
    now_unix_s: float,
    retry_at_unix_s: Callable[[], float],
) -> Refusal | None:
    if work.deadline_unix_s <= now_unix_s:
        return Refusal(
            kind=ErrorKind.DEADLINE_PASSED,
            run=RunStatus.NO,
            detail="the deadline passed before the request could start",
            remedy="send a later Pomelobarrow-Deadline",
        )
    if now_unix_s + wait_s + service_s <= work.deadline_unix_s:
        return None
    return Refusal(
        kind=ErrorKind.OVERLOADED,
        run=RunStatus.NO,
        detail=f"the answer is expected in {wait_s + service_s:.1f} s, after the deadline",
        remedy="retry at the time in Retry-After, or send a later Pomelobarrow-Deadline",
        retry_at_unix_s=retry_at_unix_s(),
    )


def _refuse_full(
    work: Work, queue: WorkQueue, retry_at_unix_s: Callable[[], float]
) -> Refusal | None:
    if not queue.is_full(work.rank):
        return None
    return Refusal(
        kind=ErrorKind.OVERLOADED,
        run=RunStatus.NO,
        detail=f"the queue for {work.rank.value} work of pool {work.pool} is full",
        remedy="retry at the time in Retry-After",
        retry_at_unix_s=retry_at_unix_s(),
    )


def _over_limit(account: Account) -> Callable[[float], Refusal]:
    def refuse(retry_at_unix_s: float) -> Refusal:
        return Refusal(
            kind=ErrorKind.ACCOUNT_LIMIT,
            run=RunStatus.NO,
            detail=f"account {account.name} exceeds its configured limits",
            remedy="retry at the time in Retry-After, or ask the operator for a higher limit",
            retry_at_unix_s=retry_at_unix_s,
        )

    return refuse
