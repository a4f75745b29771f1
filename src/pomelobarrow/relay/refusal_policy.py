"""Decide how a request that was not answered is refused, and when its client may come back."""

from random import Random

from attrs import define, field

from pomelobarrow.decision.admission.retry_schedule import RetrySchedule
from pomelobarrow.decision.admission.stream_admission import (
    MIN_RETRY_AFTER_S,
    retry_at_unix_s,
    return_at_unix_s,
)
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.placement.placement import Placer
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.dispatch.refusals import refuse, refuse_stopping
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.next_step import Step
from pomelobarrow.relay.progress import RequestProgress

RETRY_JITTER = 0.5


@define(kw_only=True)
class RefusalPolicy:
    """Build refusals whose retry times follow the pace at which servers become free."""

    own_region: str
    placer: Placer
    guard: CrashGuard
    rng: Random
    retry_schedule: RetrySchedule = field(factory=RetrySchedule)

    def refusal(self, progress: RequestProgress, step: Step) -> Refusal:
        """Return the refusal of a request after its last step."""
        work, detail = progress.request.work, progress.history.last_detail
        if step is Step.BLOCK:
            run = RunStatus.UNKNOWN if progress.history.may_have_run else RunStatus.NO
            request = progress.request
            return self.guard.refusal(
                work.request_id, work.pool, request.fingerprint, run, request.parts_by_fingerprint
            )
        if step is Step.FAIL:
            is_late = now_unix_s() >= work.deadline_unix_s
            kind = ErrorKind.DEADLINE_PASSED if is_late else ErrorKind.OUTCOME_UNKNOWN
            return refuse(kind, RunStatus.UNKNOWN, detail)
        if progress.is_stopped:
            return refuse_stopping(detail)
        if progress.is_software_gone:
            return refuse(ErrorKind.NOT_RESUMABLE, RunStatus.NO, detail)
        now = now_unix_s()
        next_unix_s = self.placer.table.next_allowed_unix_s(work.pool, (), now)
        announced_wait_s = next_unix_s - now if next_unix_s is not None else 0.0
        wait_s = progress.unplaced_wait_s or announced_wait_s
        if not wait_s and self.placer.is_full(work.pool, now):
            due_unix_s, deadline_unix_s = work.first_token_due_unix_s, work.deadline_unix_s
            retry_at = return_at_unix_s(due_unix_s, deadline_unix_s, now, self.rng)
            return refuse(ErrorKind.NO_CAPACITY, RunStatus.NO, detail, retry_at)
        if progress.history.attempts and not wait_s:
            pause_s = MIN_RETRY_AFTER_S * self.rng.uniform(1.0, 1.0 + RETRY_JITTER)
            return refuse(ErrorKind.NO_CAPACITY, RunStatus.NO, detail, now + pause_s)
        # Without any server the drain rate is meaningless, and the outage outlasts a full queue.
        wait_s = wait_s or max(0.0, work.deadline_unix_s - now)
        taken_per_s = self.placer.table.drain_per_s(work.pool, now) / self._local_vms
        retry_at = retry_at_unix_s(
            self.retry_schedule, wait_s, taken_per_s, work.deadline_unix_s, now, self.rng
        )
        return refuse(ErrorKind.NO_CAPACITY, RunStatus.NO, detail, retry_at)

    @property
    def _local_vms(self) -> int:
        members = self.placer.members.live
        return max(1, sum(member.region == self.own_region for member in members))
