"""Relay a request: place it, send it, retry or refuse."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from attrs import define, field

from pomelobarrow.backends.answer_buffers import AnswerBuffer
from pomelobarrow.backends.reach_monitor import SERVER_CONNECT_TIMEOUT_S, ReachMonitor
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.admission.retry_share import RetryShare
from pomelobarrow.decision.common.errors import RunStatus
from pomelobarrow.decision.placement.placement import Placer
from pomelobarrow.decision.prompts.token_estimates import prefill_tokens
from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.decision.requests.attempt_states import AttemptEnd, AttemptRecord
from pomelobarrow.decision.requests.placement_request import (
    SOFTWARE_GONE,
    LocalPlacement,
    NoPlacement,
    PeerPlacement,
)
from pomelobarrow.decision.requests.work import BackendServer, Placement
from pomelobarrow.decision.servers.process_state import ProcessState
from pomelobarrow.decision.streams.software_history import software_key
from pomelobarrow.dispatch.answers import CallerGoneError
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.answer_records import AnswerRecords
from pomelobarrow.relay.attempt import FirstAnswerTimeout, RelayAttempt, Target
from pomelobarrow.relay.crash_evidence import CrashEvidence
from pomelobarrow.relay.health_monitor import FirstAnswerTimes, ServerHealthMonitor
from pomelobarrow.relay.hop import AnswerReader, describing_server, peer_target
from pomelobarrow.relay.messages import AttemptReport, RelayRequest, ServerAnswerHead
from pomelobarrow.relay.next_step import (
    UNSENT_ENDS,
    AttemptHistory,
    Step,
    last_step,
    may_be_passed_on,
    should_retry,
)
from pomelobarrow.relay.progress import RequestProgress, first_position
from pomelobarrow.relay.refusal_answer import send_refusal
from pomelobarrow.relay.refusal_policy import RefusalPolicy
from pomelobarrow.relay.relay_log import RelayLog
from pomelobarrow.relay.stream_joins import StreamJoins
from pomelobarrow.relay.timeouts import RequestTimeouts
from pomelobarrow.relay.waits import RequestWaits
from pomelobarrow.relay.wire import RelayWire, ServerCallOptions

NO_PLACE_TO_RESUME = "no server can go on after the event that the client has, which has no id"
KEY_UNCONFIRMED = "the key may have been revoked while the request waited"


@define(kw_only=True)
class Relay:
    """Relay the requests of this VM to backend servers and peers."""

    own_vm: str
    own_region: str
    hop_port: int
    placer: Placer
    sessions: BackendSessions
    wire: RelayWire
    retries: RetryShare
    observe: Callable[[object], None]
    rng: Random = field(factory=Random)
    monitor: ServerHealthMonitor
    reach: ReachMonitor
    guard: CrashGuard = field(factory=CrashGuard)
    joins: StreamJoins = field(factory=StreamJoins)
    # Returns whether the key of an admitted request is still known to be valid.
    may_still_run: Callable[[RelayRequest], bool] = lambda request: True
    evidence: CrashEvidence = field(init=False)
    log: RelayLog = field(init=False)
    records: AnswerRecords = field(init=False)
    refusals: RefusalPolicy = field(init=False)
    timeouts: RequestTimeouts = field(factory=RequestTimeouts)
    first_answer_times: FirstAnswerTimes = field(factory=FirstAnswerTimes)
    waits: RequestWaits = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.log = RelayLog(
            own_region=self.own_region,
            table=self.placer.table,
            members=self.placer.members,
            region_loads=self.placer.region_loads,
            observe=lambda event: self.observe(event),
        )
        self.records = AnswerRecords(
            table=self.placer.table, guard=self.guard, observe=lambda event: self.observe(event)
        )
        self.evidence = CrashEvidence(guard=self.guard)
        self.waits = RequestWaits(table=self.placer.table, reach=self.reach)
        self.refusals = RefusalPolicy(
            own_region=self.own_region, placer=self.placer, guard=self.guard, rng=self.rng
        )

    async def answer(self, request: RelayRequest, routing: Routing, sink: ClientAnswer) -> bool:
        """Answer a request completely, or refuse it and state whether it ran.

        Return whether it was sent to any server.
        """
        progress = RequestProgress(
            request=request,
            sink=sink,
            routing=routing,
            history=AttemptHistory(request=request),
            position=first_position(request),
            buffer=AnswerBuffer(buffers=self.sessions.buffers),
            software_key=request.software_key,
        )
        timeout = self.timeouts.begin(request.work.deadline_unix_s)
        outcome = "client gone"
        try:
            outcome = await self._answer(progress, timeout)
        except CallerGoneError:
            pass
        finally:
            del self.timeouts.in_progress[timeout]
            progress.buffer.release()
            self.log.end(progress, outcome)
        return progress.history.was_sent

    async def _answer(self, progress: RequestProgress, timeout: asyncio.Timeout) -> str:
        try:
            async with timeout:
                step = await self._run_attempts(progress)
        except TimeoutError:
            progress.note_timeout(self.timeouts.end_unix_s)
            step = last_step(progress.history, progress.sink.is_started)
        return await self._conclude(progress, step)

    async def _run_attempts(self, progress: RequestProgress) -> Step:
        while True:
            if self.evidence.refuses(progress.request):
                progress.history.is_blocked = True
                return last_step(progress.history, progress.sink.is_started)
            if not self.may_still_run(progress.request):
                progress.history.last_detail = KEY_UNCONFIRMED
                return last_step(progress.history, progress.sink.is_started)
            await self.waits.before_placement(progress)
            decision = self.placer.place(
                progress.for_placement, progress.routing, progress.excluded, now_unix_s()
            )
            if isinstance(decision, NoPlacement):
                if await self.waits.without_placement(progress, decision):
                    continue
                progress.is_software_gone = decision.reason == SOFTWARE_GONE
                progress.history.last_detail = progress.history.last_detail or decision.reason
                progress.unplaced_wait_s = progress.unplaced_wait_s or decision.wait_s
                self.log.not_placed(progress, decision)
                return last_step(progress.history, progress.sink.is_started)
            report = await self._send(progress, decision)
            progress.longest_pause_s = max(progress.longest_pause_s, report.longest_pause_s)
            if report.end is AttemptEnd.PASSED_ON:
                self.joins.note_complete(progress)
                return Step.DONE
            if should_retry(progress.history, report) and self._may_retry(progress, report):
                # Its answer may be large.
                del report
                continue
            if self._may_pass_on(progress, report):
                assert report.answer is not None
                await progress.sink.pass_on(report.answer, self.sessions.buffers.is_short)
                return Step.DONE
            return last_step(progress.history, progress.sink.is_started)

    @staticmethod
    def _may_pass_on(progress: RequestProgress, report: AttemptReport) -> bool:
        # Once a stream has begun, a separate answer would be read as a part of its body.
        if report.answer is None or progress.sink.is_started:
            return False
        return may_be_passed_on(progress.history, report.answer)

    def _may_retry(self, progress: RequestProgress, report: AttemptReport) -> bool:
        if not progress.position.is_resumable:
            progress.history.last_detail = NO_PLACE_TO_RESUME
            return False
        if report.end in UNSENT_ENDS:
            return True
        if progress.history.may_have_run and not self.evidence.may_repeat(progress.request):
            return False
        was_reserved, progress.is_retry_reserved = progress.is_retry_reserved, False
        return was_reserved or self._take_retry(progress)

    def _take_retry(self, progress: RequestProgress) -> bool:
        members = self.placer.members
        live_vms = len(members.live) if members.are_known else None
        return self.retries.try_take_retry(progress.request.work.pool, live_vms, now_unix_s())

    async def _send(
        self, progress: RequestProgress, decision: LocalPlacement | PeerPlacement
    ) -> AttemptReport:
        record = progress.history.begin_attempt()
        self.log.placed(progress, decision)
        if isinstance(decision, LocalPlacement):
            return await self._send_to_server(progress, record, decision.placement)
        return await self._send_to_peer(progress, record, decision)

    async def _send_to_server(
        self, progress: RequestProgress, record: AttemptRecord, placement: Placement
    ) -> AttemptReport:
        request, server, table = progress.request, placement.server, self.placer.table
        work, now = request.work, now_unix_s()
        tokens = prefill_tokens(work, placement.cached_tokens + placement.copied_tokens)
        kv_tokens = tokens + work.expected_output_tokens
        if not progress.is_arrival_recorded:
            progress.is_arrival_recorded = True
            self.retries.record_first_arrival(work.pool, now)
        self.placer.record_placement(server, now)
        if placement.copy_from:
            self.placer.record_copy(placement, work, progress.routing, now)
        table.prefixes.observe_placement(server.name, work.prefix_hashes)
        table.charge(work.request_id, server.name, tokens, now, kv_tokens)

        def on_head(head: ServerAnswerHead) -> None:
            self.records.of_server(server, head)
            self.reach.note_answer(server, now)

        options = ServerCallOptions(
            server=server.name,
            deadline_unix_s=work.deadline_unix_s,
            resume_after=progress.resume_after,
            copy_from=placement.copy_from,
        )
        target = Target(
            name=server.name,
            address=server.address,
            headers=lambda: self.wire.server_headers(request, options),
            read_answer=self._answer_reader(request, server),
            connect_timeout_s=SERVER_CONNECT_TIMEOUT_S,
        )
        try:
            report = await self._run(
                progress,
                record,
                target,
                software_of=lambda head: software_key(server),
                first_answer_timeout=self._first_answer_timeout(progress, record, placement),
                on_pause=self._pause_observer(progress, server.name),
                on_head=on_head,
                on_first_answer=lambda: self.placer.record_first_answer(work, server, now_unix_s()),
                may_send=lambda: table.takes_requests(server, now_unix_s()),
                check_server=lambda: self.reach.check_server(server),
            )
        finally:
            table.release(work.request_id, now_unix_s())
            self.waits.places.wake_next(work.pool)
        if report.end is AttemptEnd.NOT_SENT:
            progress.unopened_connections += 1
            progress.unopened_unix_s = now
            if not report.is_connection_refused:
                progress.unopened_in_time.add(server.name)
        if report.end in (AttemptEnd.NOT_SENT, AttemptEnd.LOST) and not report.has_head:
            self.reach.note_silence(server)
        # Failures of this VM's own links must not count against the servers.
        if table.reachability.is_reachable(work.pool):
            self.monitor.monitor(server, report, placement.expected_wait_s, now)
        await self.evidence.note_end(progress, server, report, now)
        if report.end is not AttemptEnd.PASSED_ON:
            progress.excluded.servers.add(server.name)
        return report

    def _answer_reader(self, request: RelayRequest, server: BackendServer) -> AnswerReader:
        read_answer = self.wire.read_answer
        return describing_server(read_answer, server) if request.forwarded_by else read_answer

    async def _send_to_peer(
        self, progress: RequestProgress, record: AttemptRecord, decision: PeerPlacement
    ) -> AttemptReport:
        target = peer_target(
            decision.member,
            self.hop_port,
            self.own_vm,
            progress.request,
            progress.resume_after,
            progress.software_key,
            self.wire,
        )
        pool = progress.request.work.pool
        report = await self._run(
            progress,
            record,
            target,
            software_of=self.joins.software_of_peer,
            on_head=lambda head: self.records.of_peer(progress.request, head),
        )
        self.evidence.note_answer(progress.request, report)
        if report.end is AttemptEnd.NOT_SENT:
            self.placer.members.note_connect_failure(decision.member.vm, now_unix_s())
        elif report.end is not AttemptEnd.LOST:
            self.placer.members.connect_backoff.note_connected(decision.member.vm)
        if report.end is not AttemptEnd.PASSED_ON:
            progress.excluded.peers.add(decision.member.vm)
        if report.is_pool_unreachable:
            self.placer.peer_reachability.note_refusal(decision.member.vm, pool, now_unix_s())
        elif report.end in (AttemptEnd.REFUSED, AttemptEnd.REFUSED_UNSENT):
            progress.exclude_refusing_target(decision)
        return report

    def _first_answer_timeout(
        self, progress: RequestProgress, record: AttemptRecord, placement: Placement
    ) -> FirstAnswerTimeout:
        """Return the limit after which a silent server's pool is probed, and another one tried."""
        request, history = progress.request, progress.history

        def may_give_up() -> bool:
            self.reach.note_silence(placement.server)
            may_retry = request.route.is_repeatable and history.attempts_left_beside(record) > 0
            may_retry = may_retry and self.evidence.may_repeat(request)
            progress.is_retry_reserved = may_retry and self._take_retry(progress)
            return progress.is_retry_reserved

        wait_s = placement.expected_wait_s
        time_limit_s = self.first_answer_times.time_limit_s(request.route.name, wait_s)
        return FirstAnswerTimeout(limit_s=time_limit_s, may_give_up=may_give_up)

    def _pause_observer(self, progress: RequestProgress, server: str) -> Callable[[float], None]:
        gap_target_s, pauses = progress.request.work.gap_target_s, self.placer.table.pauses
        note_survival = self.evidence.pause_observer(progress.request)

        def observe(pause_s: float) -> None:
            note_survival(pause_s)
            if gap_target_s:
                pauses.observe(server, pause_s, gap_target_s, now_unix_s())

        return observe

    async def _run(
        self,
        progress: RequestProgress,
        record: AttemptRecord,
        target: Target,
        software_of: Callable[[ServerAnswerHead], int],
        first_answer_timeout: FirstAnswerTimeout | None = None,
        on_pause: Callable[[float], None] = lambda pause_s: None,
        on_head: Callable[[ServerAnswerHead], None] = lambda head: None,
        may_send: Callable[[], bool] = lambda: True,
        check_server: Callable[[], Awaitable[ProcessState]] | None = None,
        on_first_answer: Callable[[], None] = lambda: None,
    ) -> AttemptReport:
        started_unix_s = now_unix_s()

        def note_first_answer(head: ServerAnswerHead) -> None:
            progress.first_answer_unix_s = progress.first_answer_unix_s or now_unix_s()
            took_s = now_unix_s() - started_unix_s
            self.first_answer_times.observe(progress.request.route.name, took_s)
            self.placer.table.started(progress.request.work.request_id, now_unix_s())
            if head.is_success:
                on_first_answer()

        attempt = RelayAttempt(
            record=record,
            sessions=self.sessions,
            request=progress.request,
            target=target,
            sink=progress.sink,
            position=progress.position,
            buffer=progress.buffer,
            on_first_answer=note_first_answer,
            on_pause=on_pause,
            on_head=on_head,
            join_fault=lambda head: self.joins.fault(progress, software_of(head)),
            on_first_event=lambda head: self.joins.bind(progress, software_of(head)),
            first_answer_timeout=first_answer_timeout,
            may_send=may_send,
            check_server=check_server,
        )
        try:
            report = await attempt.run()
        except BaseException:
            self.log.attempt(progress, target, attempt.give_up(), started_unix_s)
            raise
        progress.history.note(report)
        self.log.attempt(progress, target, report, started_unix_s)
        return report

    async def _conclude(self, progress: RequestProgress, step: Step) -> str:
        """Send the final answer or refusal to the client; return the name of the outcome."""
        if step is Step.DONE:
            return "answered"
        if step is Step.BREAK_OFF:
            progress.sink.break_off()
            return "broken off"
        if step is Step.PASS_ON:
            assert progress.history.failure is not None
            await progress.sink.pass_on(progress.history.failure, self.sessions.buffers.is_short)
            return "answered"
        refusal = self.refusals.refusal(progress, step)
        request_id = progress.request.work.request_id
        reachability = self.placer.table.reachability
        is_unreachable = not reachability.is_reachable(progress.request.work.pool)
        await send_refusal(refusal, request_id, progress.sink, progress.history, is_unreachable)
        return "refused" if refusal.run is RunStatus.NO else "failed"
