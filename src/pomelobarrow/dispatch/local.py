"""Queue work, place it on backend servers of this region and run it."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from random import Random

from attrs import define, evolve, field
from mode import Service

from pomelobarrow.decision.admission.admission import refuse_unservable
from pomelobarrow.decision.admission.retries import MAX_RETRY_AFTER_S
from pomelobarrow.decision.admission.work_queue import WorkQueue
from pomelobarrow.decision.common.errors import ErrorKind, RunStatus
from pomelobarrow.decision.placement.next_placement import ServerChooser, next_placement
from pomelobarrow.decision.placement.server_choice import choose_server
from pomelobarrow.decision.prompts.token_estimates import OutputEstimate, prefill_tokens
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.requests.attempt import UNRUN_STATES, Attempt, AttemptState
from pomelobarrow.decision.requests.work import BackendServer, Placement, Work
from pomelobarrow.decision.servers.crash_suspects import RunningRequest
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.dispatch.answers import AnswerSink, AttemptResult
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.dispatch.events import AttemptEnded
from pomelobarrow.dispatch.refusals import RefusedError, refuse
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.background import background_task
from pomelobarrow.kernel.clock import now_unix_s

SWEEP_EVERY_S = 0.05
LOOP_STEPS_BEFORE_SENDING = 2
MIN_DRAIN_PER_S = 1e-6

# Runs one attempt on the chosen server.
AttemptRunner = Callable[
    [GatewayRequest, Placement, Attempt, int, AnswerSink, Callable[[], None]],
    Awaitable[AttemptResult],
]


@define(kw_only=True)
class Waiter:
    """Represent one request that waits for a backend server."""

    excluded: frozenset[str]
    placed: "asyncio.Future[Placement]"


@define(kw_only=True)
class LocalDispatch:
    """Queue the work of each pool and run it on the servers of this region."""

    table: LoadTable
    run_attempt: AttemptRunner
    observe: Callable[[object], None]
    guard: CrashGuard = field(factory=CrashGuard)
    choose: ServerChooser = choose_server
    output_estimate: OutputEstimate = field(factory=OutputEstimate)
    rng: Random = field(factory=Random)
    queues: dict[str, WorkQueue] = field(factory=dict)
    _waiters: dict[str, Waiter] = field(factory=dict)
    _has_waiting: asyncio.Event = field(factory=asyncio.Event)
    _serial: "itertools.count[int]" = field(factory=itertools.count)

    def queue(self, pool: str) -> WorkQueue:
        """Return the pool's queue."""
        if pool not in self.queues:
            self.queues[pool] = WorkQueue(pool)
        return self.queues[pool]

    async def run(
        self,
        request: GatewayRequest,
        attempt: Attempt,
        number: int,
        excluded: frozenset[str],
        sink: AnswerSink,
    ) -> AttemptResult:
        """Wait for a slot on a server, run one attempt there and release the slot."""
        self._refuse_if_unservable(request.work)
        queued = self._with_unique_id(request.work)
        placement = await self._wait_for_placement(queued, excluded)
        work, server = request.work, placement.server
        self.table.prefixes.observe_placement(server.name, work.prefix_hashes)
        try:
            await self._process_pending_cancellations()
            self._refuse_blocked(request)
            started_unix_s = now_unix_s()
            result = await self.run_attempt(
                request, placement, attempt, number, sink, lambda: self._started(queued)
            )
        finally:
            self.table.release(queued.request_id, now_unix_s())
            self.place_waiting(work.pool)
        self._mark_server(server, result)
        await self._record_server_end(request, placement, result, started_unix_s)
        if result.is_finished and result.output_tokens:
            self.output_estimate.observe(work.class_name, result.output_tokens)
        self.observe(
            AttemptEnded(
                work.request_id, work.class_name, server.name, result.state.value, result.detail
            )
        )
        return result

    def _with_unique_id(self, work: Work) -> Work:
        """Return the work under an id that is unique among the runs of the same request.

        A forward that was lost may be sent again before its first run here has ended.
        """
        return evolve(work, request_id=f"{work.request_id}#{next(self._serial)}")

    async def _process_pending_cancellations(self) -> None:
        """Process closed connections before anything is sent.

        A process that resumes after a freeze holds requests whose callers have long left, and would
        run them although the entry VM has answered. The first step of the event loop reads the
        closed connections, the second cancels the tasks that depend on them.
        """
        for _ in range(LOOP_STEPS_BEFORE_SENDING):
            await asyncio.sleep(0)

    async def _record_server_end(
        self,
        request: GatewayRequest,
        placement: Placement,
        result: AttemptResult,
        started_unix_s: float,
    ) -> None:
        """Record whether a server crashed while it ran a request or answered it."""
        if result.is_finished:
            self.guard.note_answered(request.fingerprint)
        # After the deadline there is no retry, so the caller must not wait for the crash check.
        elif result.state is AttemptState.UNKNOWN and now_unix_s() < request.work.deadline_unix_s:
            running = RunningRequest(fingerprint=request.fingerprint, sent_unix_s=started_unix_s)
            await self.guard.note_closed(placement.server, running)

    def _refuse_blocked(self, request: GatewayRequest) -> None:
        """Refuse a request that was found to crash servers while it waited in the queue."""
        work = request.work
        if self.guard.refuses_after_wait(request.fingerprint):
            raise RefusedError(
                self.guard.refusal(work.request_id, work.pool, request.fingerprint, RunStatus.NO)
            )

    def expected_wait_s(self, work: Work) -> float:
        """Return the expected wait of new work for a slot in this region."""
        now = now_unix_s()
        queue = self.queue(work.pool)
        ahead = queue.ahead(work, now)
        next_unix_s = self.table.next_allowed_unix_s(work.pool, (), now)
        if next_unix_s is not None and not ahead:
            return min(MAX_RETRY_AFTER_S, next_unix_s - now)
        if not ahead:
            # The usual case; summing over the servers costs more than the rest of this function.
            return 0.0
        drain_per_s = max(self.table.drain_per_s(work.pool, now), MIN_DRAIN_PER_S)
        return ahead * max(1.0 / drain_per_s, queue.wait_per_request_ahead_s(work.rank, now))

    def _refuse_if_unservable(self, work: Work) -> None:
        refusal = refuse_unservable(
            work,
            queue=self.queue(work.pool),
            expected_wait_s=self.expected_wait_s(work),
            expected_service_s=0.0,
            now_unix_s=now_unix_s(),
            random=self.rng,
        )
        if refusal is not None:
            raise RefusedError(refusal)

    def place_waiting(self, pool: str) -> None:
        """Place waiting work while servers have free slots."""
        queue = self.queue(pool)
        now = now_unix_s()
        while self._waiters and self._place_next(queue, now):
            pass

    async def wait_for_work(self) -> None:
        """Return once a request is waiting for a server."""
        if not self._waiters:
            self._has_waiting.clear()
        await self._has_waiting.wait()

    def sweep(self) -> None:
        """Refuse work that can no longer finish in time, then place waiting work."""
        now = now_unix_s()
        for pool, queue in self.queues.items():
            for work in queue.expired(now, self._min_service_s):
                self._refuse_expired(work)
            if self._waiters:
                self.place_waiting(pool)

    def _min_service_s(self, work: Work) -> float:
        """Return the seconds before the deadline by which work must be placed.

        Trial work that starts too late is cut off at its deadline, which leaves its caller with an
        incomplete answer and wastes the engine's work. Paying work may always start, because the
        expected service time is only a mean.
        """
        return self.table.service_times(work.pool).hold_s if work.rank is Rank.TRIAL else 0.0

    def _place_next(self, queue: WorkQueue, now: float) -> bool:
        placed = next_placement(queue, self.table, self._excluded, now, self.rng, self.choose)
        if placed is None:
            return False
        work, placement = placed.work, placed.placement
        waiter = self._waiters.pop(work.request_id)
        # A cancelled request is removed from the queue only in the next step of the event loop.
        if waiter.placed.done():
            return True
        tokens = prefill_tokens(work, placement.cached_tokens)
        kv_tokens = work.prompt_tokens + work.expected_output_tokens
        self.table.charge(work.request_id, placement.server.name, tokens, now, kv_tokens)
        waiter.placed.set_result(placement)
        return True

    def _excluded(self, work: Work) -> frozenset[str]:
        """Return the servers to exclude; none if no other is usable, or the work would never run.

        The caller of `run` limits the number of attempts and pauses between them.
        """
        excluded = self._waiters[work.request_id].excluded
        if not excluded:
            return excluded
        usable = self.table.usable_servers(work.pool, now_unix_s())
        is_other_left = any(server.name not in excluded for server in usable)
        return excluded if is_other_left else frozenset()

    async def _wait_for_placement(self, work: Work, excluded: frozenset[str]) -> Placement:
        placed: asyncio.Future[Placement] = asyncio.get_running_loop().create_future()
        waiter = Waiter(excluded=excluded, placed=placed)
        self._waiters[work.request_id] = waiter
        self._has_waiting.set()
        self.queue(work.pool).push(work, now_unix_s())
        self.place_waiting(work.pool)
        try:
            return await placed
        except asyncio.CancelledError:
            self._withdraw(work, placed)
            raise

    def _withdraw(self, work: Work, placed: "asyncio.Future[Placement]") -> None:
        """Leave the queue; a slot assigned in the same loop step goes to the next request."""
        self._waiters.pop(work.request_id, None)
        self.queue(work.pool).remove(work.request_id)
        if placed.done() and not placed.cancelled():
            self.table.release(work.request_id, now_unix_s())
            self.place_waiting(work.pool)

    def _refuse_expired(self, work: Work) -> None:
        waiter = self._waiters.pop(work.request_id, None)
        if waiter is None or waiter.placed.done():
            return
        wait_s, detail = self.expected_wait_s(work), "it can no longer finish by its deadline"
        queue = self.queue(work.pool)
        retry_at_unix_s = queue.retry_at_unix_s(work.rank, wait_s, now_unix_s(), self.rng)
        refusal = refuse(ErrorKind.DEADLINE_PASSED, RunStatus.NO, detail, retry_at_unix_s)
        waiter.placed.set_exception(RefusedError(refusal))

    def _started(self, work: Work) -> None:
        self.table.started(work.request_id, now_unix_s())

    def _mark_server(self, server: BackendServer, result: AttemptResult) -> None:
        # Failures of this VM's own links must not count against the servers.
        if not self.table.reachability.is_reachable(server.pool):
            return
        # A server that leaves or asked for a pause is not failing.
        if result.state in UNRUN_STATES and not self.table.takes_requests(server, now_unix_s()):
            return
        mark = {
            AttemptState.FINISHED: self.table.mark_ok,
            AttemptState.NOT_SENT: self.table.mark_failed,
            AttemptState.UNKNOWN: self.table.mark_failed,
            AttemptState.REFUSED_UNRUN: self.table.mark_failed,
        }.get(result.state)
        if mark is not None:
            mark(result.server, now_unix_s())


class QueueSweeper(Service):
    """Run the sweep periodically while work is waiting."""

    def __init__(self, local: LocalDispatch) -> None:
        super().__init__()
        self._local = local

    @background_task
    async def _sweep(self) -> None:
        while not self.should_stop:
            # Waiting here avoids twenty idle wake-ups a second, a sixth of an idle VM's CPU budget.
            await self._local.wait_for_work()
            self._local.sweep()
            await asyncio.sleep(SWEEP_EVERY_S)
