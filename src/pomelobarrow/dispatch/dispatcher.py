"""Dispatch a request: choose a region, make attempts, retry or refuse."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, evolve, field

from pomelobarrow.decision.admission.retries import (
    RetryBudget,
    RetryDecision,
    decide_retry,
    retry_after_unix_s,
)
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.placement.region_choice import (
    RegionChoice,
    RegionLoad,
    RegionReason,
    ShareOutsideHome,
    choose_region,
)
from pomelobarrow.decision.requests.attempt import Attempt, AttemptState, may_retry, run_status
from pomelobarrow.decision.requests.placement_request import (
    PLACE_AT_PEER,
    POOL_UNREACHABLE,
    REACHED_BY_PEER,
)
from pomelobarrow.decision.requests.work import Work
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
# Another VM of the region may run what one refused for these reasons. If the region were excluded,
# home-bound work would be refused although it could run there.
REFUSALS_OF_ONE_VM = frozenset({ErrorKind.DRAINING, ErrorKind.POOL_UNREACHABLE})
UNREACHABLE_REGION = "no VM of this region reaches a server of the pool or has a place there"
# After these decisions, repeatable work is retried with backoff until its deadline instead of being
# refused. The backoff keeps such retries from amplifying an overload.
BACKOFF_DECISIONS = frozenset({RetryDecision.BUDGET, RetryDecision.ATTEMPTS})


@define(kw_only=True)
class AttemptHistory:
    """Summarise the attempts of one request so far."""

    states: list[AttemptState] = field(factory=list)
    excluded_servers: set[str] = field(factory=set)
    excluded_peers: set[str] = field(factory=set)
    excluded_regions: set[str] = field(factory=set)
    last_refusal: Refusal | None = None

    @property
    def run(self) -> RunStatus:
        """Return whether any attempt may have run."""
        return run_status(self.states)

    def observe(self, region: str, result: AttemptResult) -> None:
        """Record an attempt and the targets to exclude from the next one."""
        self.states.append(result.state)
        self.last_refusal = result.refusal or self.last_refusal
        if result.peer:
            self.excluded_peers.add(result.peer)
            if result.refusal is None or result.refusal.kind not in REFUSALS_OF_ONE_VM:
                self.excluded_regions.add(region)
        elif result.server:
            self.excluded_servers.add(result.server)


@define(kw_only=True)
class Dispatcher:
    """Dispatch the requests of this VM to local servers or to peers in other regions."""

    own_region: str
    local: LocalDispatch
    forwarder: Forwarder
    share: ShareOutsideHome
    observe: Callable[[object], None]
    budgets: dict[str, RetryBudget] = field(factory=dict)
    rng: Random = field(factory=Random)
    guard: CrashGuard = field(factory=CrashGuard)

    async def dispatch(self, request: GatewayRequest, sink: AnswerSink) -> Refusal | None:
        """Send the complete answer to the sink, or return a refusal."""
        history = AttemptHistory()
        while True:
            if self.guard.refuses(request.fingerprint):
                return self._blocked_refusal(request, history)
            try:
                region, result = await self._attempt(request, sink, history)
            except RefusedError as error:
                return self._final_refusal(error.refusal, history)
            history.observe(region, result)
            if result.is_finished:
                self._budget(request.work).observe_success()
                return None
            if result.head_passed:
                return await self._abort(sink, result)
            refusal = await self._pause_or_refuse(request, result, history)
            if refusal is not None:
                return self._final_refusal(refusal, history)

    def _blocked_refusal(self, request: GatewayRequest, history: AttemptHistory) -> Refusal:
        work = request.work
        return self.guard.refusal(work.request_id, work.pool, request.fingerprint, history.run)

    def choose(self, work: Work, excluded_regions: set[str]) -> RegionChoice:
        """Return the region that such work would be sent to now."""
        now = now_unix_s()
        loads = dict(self.forwarder.region_loads(work))
        loads[self.own_region] = self.own_load(work, now)
        for region in excluded_regions:
            loads.pop(region, None)
        return choose_region(work, self.own_region, loads, self.share, now, self.rng)

    def own_load(self, work: Work, now: float) -> RegionLoad:
        """Return the load of this region for such work."""
        table = self.local.table
        cold_tokens = work.prompt_tokens * table.service_times(work.pool).s_per_prefill_token
        return RegionLoad(
            region=self.own_region,
            pool=work.pool,
            expected_wait_s=self.local.expected_wait_s(work),
            round_trip_s=0.0,
            measured_unix_s=now,
            servers=len(table.usable(work.pool, now)) if self._is_reachable(work.pool) else 0,
            cold_prefill_s=cold_tokens,
        )

    def _is_reachable(self, pool: str) -> bool:
        """Return whether any VM of this region may reach a server of a pool."""
        if self.local.table.reachability.is_reachable(pool):
            return True
        return self.forwarder.has_peer(self.own_region, pool, frozenset())

    async def _attempt(
        self, request: GatewayRequest, sink: AnswerSink, history: AttemptHistory
    ) -> tuple[str, AttemptResult]:
        region = self._region(request, history)
        attempt = Attempt()
        request.attempts.append(attempt)
        number = len(history.states) + 1
        request = request.for_attempt(number)
        excluded_peers = frozenset(history.excluded_peers)
        if region == self.own_region:
            excluded_peers |= self._vms_without_places(request.work.pool)
            if self._sends_itself(request, excluded_peers):
                excluded = frozenset(history.excluded_servers)
                return region, await self.local.run(request, attempt, number, excluded, sink)
        result = await self.forwarder.forward_to_region(
            region, request, attempt, sink, excluded_peers
        )
        return region, result

    def _vms_without_places(self, pool: str) -> frozenset[str]:
        """Return the VMs of this region that may send to no server of a brittle pool."""
        table, now = self.local.table, now_unix_s()
        return table.limits.brittle.vms_without_places(table.usable_servers(pool, now), now)

    def _sends_itself(self, request: GatewayRequest, excluded_peers: frozenset[str]) -> bool:
        """Return whether this VM sends a request to servers of its region, not through a peer."""
        work, table = request.work, self.local.table
        is_reachable = table.reachability.is_reachable(work.pool)
        if is_reachable and table.limits.brittle.own_vm not in excluded_peers:
            return True
        if request.forwarded_by is not None:
            raise RefusedError(refuse(ErrorKind.POOL_UNREACHABLE, RunStatus.NO, POOL_UNREACHABLE))
        if not self.forwarder.has_peer(self.own_region, work.pool, excluded_peers):
            raise RefusedError(refuse(ErrorKind.NO_CAPACITY, RunStatus.NO, UNREACHABLE_REGION))
        reason = PLACE_AT_PEER if is_reachable else REACHED_BY_PEER
        self.observe(Forwarded(work.request_id, work.class_name, self.own_region, reason))
        return False

    def _region(self, request: GatewayRequest, history: AttemptHistory) -> str:
        """Return the region for the next attempt; a forwarded request always stays here."""
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
        choice = self.choose(work, history.excluded_regions)
        if choice.region is None and self._is_home_load_unknown(work, history):
            choice = RegionChoice(region=work.home_region, reason=RegionReason.HOME_IS_FASTEST)
        if choice.region is None:
            raise RefusedError(self._no_region_refusal(work, choice))
        if not history.states:
            self.share.record(work.class_name, choice.region != work.home_region)
        if choice.region != self.own_region:
            self.observe(
                Forwarded(work.request_id, work.class_name, choice.region, choice.reason.value)
            )
        return choice.region

    def _is_home_load_unknown(self, work: Work, history: AttemptHistory) -> bool:
        """Return whether no load of the home region has been received, as just after a start.

        Such a region must not be treated as unreachable, or its work would be refused although the
        region would run it. A forward shows at once whether an entry VM there can be reached.
        """
        if work.home_region == self.own_region or work.home_region in history.excluded_regions:
            return False
        return work.home_region not in self.forwarder.region_loads(work)

    def _no_region_refusal(self, work: Work, choice: RegionChoice) -> Refusal:
        now = now_unix_s()
        retry_at_unix_s = retry_after_unix_s(self.local.expected_wait_s(work), now, self.rng)
        kind = ErrorKind.NO_CAPACITY
        if choice.reason is RegionReason.HOME_LOST:
            kind = ErrorKind.HOME_UNREACHABLE
        return refuse(kind, RunStatus.NO, choice.reason.value, retry_at_unix_s)

    async def _pause_or_refuse(
        self, request: GatewayRequest, result: AttemptResult, history: AttemptHistory
    ) -> Refusal | None:
        work, now = request.work, now_unix_s()
        if result.refusal is not None and result.refusal.kind is ErrorKind.CRASHES_SERVERS:
            return evolve(result.refusal, run=history.run)
        if history.run is RunStatus.UNKNOWN and not self.guard.may_repeat(request.fingerprint):
            return refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, result.detail)
        if not may_retry(history.states, work.repeatable):
            return refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, result.detail)
        if request.forwarded_by is not None and result.refusal is not None:
            return result.refusal
        # Home-bound work can't run elsewhere. Retrying here until its deadline would only keep its
        # caller from an entry VM that reaches the home region. Once that region has received the
        # request, it is retried.
        if (
            work.home_bound
            and set(history.states) == {AttemptState.NOT_SENT}
            and _is_home_unreachable(result)
        ):
            return result.refusal
        decision = decide_retry(
            work, history.run, len(history.states), self._budget(work), 0.0, now
        )
        if decision is RetryDecision.RETRY:
            await asyncio.sleep(UNRUN_PAUSE_S)
            return None
        if decision in BACKOFF_DECISIONS and work.repeatable:
            return await self._back_off(work, history)
        return self._exhausted_refusal(work, result, history, decision)

    async def _back_off(self, work: Work, history: AttemptHistory) -> Refusal | None:
        pause_s = min(BACKOFF_CEILING_S, BACKOFF_FLOOR_S * 2 ** len(history.states))
        pause_s *= self.rng.uniform(0.5, 1.0)
        now = now_unix_s()
        if now + pause_s >= work.deadline_unix_s:
            return self._deadline_refusal(work, history)
        await asyncio.sleep(pause_s)
        history.excluded_servers.clear()
        history.excluded_peers.clear()
        history.excluded_regions.clear()
        return None

    def _deadline_refusal(self, work: Work, history: AttemptHistory) -> Refusal:
        """Return the last refusal with a new retry time if nothing ran, else a missed deadline."""
        now = now_unix_s()
        retry_at_unix_s = retry_after_unix_s(self.local.expected_wait_s(work), now, self.rng)
        if history.run is RunStatus.NO and history.last_refusal is not None:
            return evolve(history.last_refusal, retry_at_unix_s=retry_at_unix_s)
        detail = "the deadline passed before another attempt"
        return refuse(ErrorKind.DEADLINE_PASSED, history.run, detail, retry_at_unix_s)

    def _exhausted_refusal(
        self, work: Work, result: AttemptResult, history: AttemptHistory, decision: RetryDecision
    ) -> Refusal:
        if history.last_refusal is not None:
            return history.last_refusal
        if decision is RetryDecision.DEADLINE:
            return refuse(ErrorKind.DEADLINE_PASSED, history.run, result.detail)
        now = now_unix_s()
        retry_at_unix_s = retry_after_unix_s(self.local.expected_wait_s(work), now, self.rng)
        kind = ErrorKind.NO_CAPACITY if history.run is RunStatus.NO else ErrorKind.OUTCOME_UNKNOWN
        return refuse(kind, history.run, f"{decision.value}: {result.detail}", retry_at_unix_s)

    def _final_refusal(self, refusal: Refusal, history: AttemptHistory) -> Refusal:
        """Return the refusal without "not run" if an earlier attempt may have run."""
        if refusal.run is RunStatus.NO and history.run is RunStatus.UNKNOWN:
            return refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, refusal.detail)
        return refusal

    async def _abort(self, sink: AnswerSink, result: AttemptResult) -> Refusal:
        refusal = refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, result.detail)
        await sink.abort(refusal)
        return refusal

    def _budget(self, work: Work) -> RetryBudget:
        return self.budgets.setdefault(work.class_name, RetryBudget())


def _is_home_unreachable(result: AttemptResult) -> bool:
    return result.refusal is not None and result.refusal.kind is ErrorKind.HOME_UNREACHABLE
