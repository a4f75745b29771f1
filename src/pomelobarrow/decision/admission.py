"""Admit a request into the queue, or refuse it at once with the remedy."""

from collections.abc import Callable
from random import Random

from result import Err, Result

from pomelobarrow.decision.configuration import Account
from pomelobarrow.decision.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.limits import AccountLimits
from pomelobarrow.decision.work import Work
from pomelobarrow.decision.work_queue import WorkQueue


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
    """Return the work, counted against its account, or the refusal.

    The caller of an admitted request calls `limits.release` once when it ends.
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
    """Count the work against its account, or refuse it."""
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
    """Refuse work that can no longer finish here or finds the queue full."""

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
            detail="the deadline had passed before the request could start",
            remedy="send a later Pomelobarrow-Deadline",
        )
    if now_unix_s + wait_s + service_s <= work.deadline_unix_s:
        return None
    return Refusal(
        kind=ErrorKind.OVERLOADED,
        run=RunStatus.NO,
        detail=f"the answer is expected in {wait_s + service_s:.1f} s, after the deadline",
        remedy="come back at Retry-After, or send a later Pomelobarrow-Deadline",
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
        detail=f"the queue of {work.rank.value} work for {work.pool} is full",
        remedy="come back at Retry-After",
        retry_at_unix_s=retry_at_unix_s(),
    )


def _over_limit(account: Account) -> Callable[[float], Refusal]:
    def refuse(retry_at_unix_s: float) -> Refusal:
        return Refusal(
            kind=ErrorKind.ACCOUNT_LIMIT,
            run=RunStatus.NO,
            detail=f"account {account.name} is over its published limits",
            remedy="come back at Retry-After, or ask the operator for a higher limit",
            retry_at_unix_s=retry_at_unix_s,
        )

    return refuse
