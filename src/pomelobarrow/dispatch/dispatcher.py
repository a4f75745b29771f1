"""Bring one request to an end: choose the region, attempt, try again or refuse."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, evolve, field

from pomelobarrow.decision.attempt import Attempt, AttemptState, may_retry, run_status
from pomelobarrow.decision.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.region_choice import (
    RegionChoice,
    RegionLoad,
    RegionReason,
    ShareOutsideHome,
    choose_region,
)
from pomelobarrow.decision.retries import (
    RetryBudget,
    RetryDecision,
    decide_retry,
    retry_after_unix_s,
)
from pomelobarrow.decision.work import Work
from pomelobarrow.dispatch.answers import AnswerSink, AttemptResult
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.dispatch.events import Forwarded
from pomelobarrow.dispatch.forwarder import Forwarder
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.dispatch.refusals import RefusedError, refuse
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s

BACKOFF_FLOOR_S = 0.2
BACKOFF_CEILING_S = 5.0
UNRUN_PAUSE_S = 0.02
# Repeatable work is late rather than lost: once its quick tries are used up it goes on at the
# backoff's pace, which can't amplify an overload, until its deadline.
PATIENT_VERDICTS = frozenset({RetryDecision.BUDGET, RetryDecision.ATTEMPTS})


@define(kw_only=True)
class Tries:
    """Hold what the attempts of one request have shown so far."""

    states: list[AttemptState] = field(factory=list)
    bad_servers: set[str] = field(factory=set)
    bad_peers: set[str] = field(factory=set)
    bad_regions: set[str] = field(factory=set)
    last_refusal: Refusal | None = None

    @property
    def run(self) -> RunStatus:
        """Say whether anything may have run."""
        return run_status(self.states)

    def observe(self, region: str, result: AttemptResult) -> None:
        """Note whom to leave out of the next attempt."""
        self.states.append(result.state)
        self.last_refusal = result.refusal or self.last_refusal
        if result.peer:
            self.bad_peers.add(result.peer)
            # One VM that stops says nothing of its region: left out, home-bound work would be
            # refused although the VM next to it takes it.
            if result.refusal is None or result.refusal.kind is not ErrorKind.DRAINING:
                self.bad_regions.add(region)
        elif result.server:
            self.bad_servers.add(result.server)


@define(kw_only=True)
class Dispatcher:
    """Hold what all requests of this VM share."""

    own_region: str
    local: LocalDispatch
    forwarder: Forwarder
    share: ShareOutsideHome
    observe: Callable[[object], None]
    budgets: dict[str, RetryBudget] = field(factory=dict)
    rng: Random = field(factory=Random)
    guard: CrashGuard = field(factory=CrashGuard)

    async def dispatch(self, request: GatewayRequest, sink: AnswerSink) -> Refusal | None:
        """Answer the request whole through the sink, or return why not."""
        tries = Tries()
        while True:
            if self.guard.refuses(request.fingerprint):
                return self._blocked(request, tries)
            try:
                region, result = await self._attempt(request, sink, tries)
            except RefusedError as error:
                return self._final(error.refusal, tries)
            tries.observe(region, result)
            if result.is_finished:
                self._budget(request.work).observe_success()
                return None
            if result.head_passed:
                return await self._break_off(sink, result)
            refusal = await self._pause_or_refuse(request, result, tries)
            if refusal is not None:
                return self._final(refusal, tries)

    def _blocked(self, request: GatewayRequest, tries: Tries) -> Refusal:
        work = request.work
        return self.guard.refusal(work.request_id, work.pool, request.fingerprint, tries.run)

    def choose(self, work: Work, bad_regions: set[str]) -> RegionChoice:
        """Return where such work would go now."""
        now = now_unix_s()
        loads = dict(self.forwarder.region_loads(work))
        loads[self.own_region] = self.own_load(work, now)
        for region in bad_regions:
            loads.pop(region, None)
        return choose_region(work, self.own_region, loads, self.share, now, self.rng)

    def own_load(self, work: Work, now: float) -> RegionLoad:
        """Return this region's load for such work."""
        table = self.local.table
        cold_tokens = work.prompt_tokens * table.service_times(work.pool).s_per_prefill_token
        return RegionLoad(
            region=self.own_region,
            pool=work.pool,
            expected_wait_s=self.local.expected_wait_s(work),
            round_trip_s=0.0,
            measured_unix_s=now,
            servers=len(table.usable(work.pool, now)),
            cold_prefill_s=cold_tokens,
        )

    async def _attempt(
        self, request: GatewayRequest, sink: AnswerSink, tries: Tries
    ) -> tuple[str, AttemptResult]:
        region = self._region(request, tries)
        attempt = Attempt()
        request.attempts.append(attempt)
        number = len(tries.states) + 1
        request = request.for_attempt(number)
        if region == self.own_region:
            excluded = frozenset(tries.bad_servers)
            return region, await self.local.run(request, attempt, number, excluded, sink)
        excluded = frozenset(tries.bad_peers)
        result = await self.forwarder.forward_to_region(region, request, attempt, sink, excluded)
        return region, result

    def _region(self, request: GatewayRequest, tries: Tries) -> str:
        """Return the region to try; a forwarded request stays here whatever the views say."""
        work = request.work
        if request.forwarded_by is not None:
            if work.home_bound and work.home_region != self.own_region:
                raise RefusedError(
                    refuse(
                        ErrorKind.HOME_UNREACHABLE,
                        RunStatus.NO,
                        "this VM is outside the home region",
                    )
                )
            return self.own_region
        choice = self.choose(work, tries.bad_regions)
        if choice.region is None and self._is_home_unheard(work, tries):
            choice = RegionChoice(region=work.home_region, reason=RegionReason.HOME_IS_FASTEST)
        if choice.region is None:
            raise RefusedError(self._no_region(work, choice))
        if not tries.states:
            self.share.record(work.class_name, choice.region != work.home_region)
        if choice.region != self.own_region:
            self.observe(
                Forwarded(work.request_id, work.class_name, choice.region, choice.reason.value)
            )
        return choice.region

    def _is_home_unheard(self, work: Work, tries: Tries) -> bool:
        """Tell whether home's load was never heard, as on a VM that has just started.

        Taken for a lost home, its work was refused although home would run it. The forward finds
        out at once whether an entry VM there can be reached.
        """
        if work.home_region == self.own_region or work.home_region in tries.bad_regions:
            return False
        return work.home_region not in self.forwarder.region_loads(work)

    def _no_region(self, work: Work, choice: RegionChoice) -> Refusal:
        now = now_unix_s()
        retry_at_unix_s = retry_after_unix_s(self.local.expected_wait_s(work), now, self.rng)
        kind = ErrorKind.NO_CAPACITY
        if choice.reason is RegionReason.HOME_LOST:
            kind = ErrorKind.HOME_UNREACHABLE
        return refuse(kind, RunStatus.NO, choice.reason.value, retry_at_unix_s)

    async def _pause_or_refuse(
        self, request: GatewayRequest, result: AttemptResult, tries: Tries
    ) -> Refusal | None:
        work, now = request.work, now_unix_s()
        if result.refusal is not None and result.refusal.kind is ErrorKind.CRASHES_SERVERS:
            return evolve(result.refusal, run=tries.run)
        if tries.run is RunStatus.UNKNOWN and not self.guard.may_repeat(request.fingerprint):
            return refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, result.detail)
        if not may_retry(tries.states, work.repeatable):
            return refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, result.detail)
        if request.forwarded_by is not None and result.refusal is not None:
            return result.refusal
        # Home-bound work has nowhere else to go. Held here until its deadline it would only keep
        # its caller from an entry VM that reaches home; once home has had it, it is tried on.
        if (
            work.home_bound
            and set(tries.states) == {AttemptState.NOT_SENT}
            and _is_home_lost(result)
        ):
            return result.refusal
        verdict = decide_retry(work, tries.run, len(tries.states), self._budget(work), 0.0, now)
        if verdict is RetryDecision.RETRY:
            await asyncio.sleep(UNRUN_PAUSE_S)
            return None
        if verdict in PATIENT_VERDICTS and work.repeatable:
            return await self._back_off(work, tries)
        return self._given_up(work, result, tries, verdict)

    async def _back_off(self, work: Work, tries: Tries) -> Refusal | None:
        pause_s = min(BACKOFF_CEILING_S, BACKOFF_FLOOR_S * 2 ** len(tries.states))
        pause_s *= self.rng.uniform(0.5, 1.0)
        now = now_unix_s()
        if now + pause_s >= work.deadline_unix_s:
            return self._out_of_time(work, tries)
        await asyncio.sleep(pause_s)
        tries.bad_servers.clear()
        tries.bad_peers.clear()
        tries.bad_regions.clear()
        return None

    def _out_of_time(self, work: Work, tries: Tries) -> Refusal:
        """Name what held the work up and, where nothing ran, when to come back."""
        now = now_unix_s()
        retry_at_unix_s = retry_after_unix_s(self.local.expected_wait_s(work), now, self.rng)
        if tries.run is RunStatus.NO and tries.last_refusal is not None:
            return evolve(tries.last_refusal, retry_at_unix_s=retry_at_unix_s)
        detail = "the retries reached the deadline"
        return refuse(ErrorKind.DEADLINE_PASSED, tries.run, detail, retry_at_unix_s)

    def _given_up(
        self, work: Work, result: AttemptResult, tries: Tries, verdict: RetryDecision
    ) -> Refusal:
        if tries.last_refusal is not None:
            return tries.last_refusal
        if verdict is RetryDecision.DEADLINE:
            return refuse(ErrorKind.DEADLINE_PASSED, tries.run, result.detail)
        now = now_unix_s()
        retry_at_unix_s = retry_after_unix_s(self.local.expected_wait_s(work), now, self.rng)
        kind = ErrorKind.NO_CAPACITY if tries.run is RunStatus.NO else ErrorKind.OUTCOME_UNKNOWN
        return refuse(kind, tries.run, f"{verdict.value}: {result.detail}", retry_at_unix_s)

    def _final(self, refusal: Refusal, tries: Tries) -> Refusal:
        """Never say "not run" where an earlier attempt may have run."""
        if refusal.run is RunStatus.NO and tries.run is RunStatus.UNKNOWN:
            return refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, refusal.detail)
        return refusal

    async def _break_off(self, sink: AnswerSink, result: AttemptResult) -> Refusal:
        refusal = refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, result.detail)
        await sink.abort(refusal)
        return refusal

    def _budget(self, work: Work) -> RetryBudget:
        return self.budgets.setdefault(work.class_name, RetryBudget())


def _is_home_lost(result: AttemptResult) -> bool:
    return result.refusal is not None and result.refusal.kind is ErrorKind.HOME_UNREACHABLE
