"""Run a request under an issued id at most once, even if its repeats reach different VMs."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from attrs import define, evolve, field
from result import Err

from pomelobarrow.decision.admission.retries import retry_after_unix_s
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.requests.attempt import Attempt, AttemptState
from pomelobarrow.decision.requests.request_ids import (
    Claim,
    ClaimKind,
    Issuer,
    Outcome,
    RequestIdLedger,
    parse_issuer,
)
from pomelobarrow.dispatch.answers import AnswerHead, AnswerSink
from pomelobarrow.dispatch.dispatcher import Dispatcher
from pomelobarrow.dispatch.recording import RecordingSink
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s

REMEDY_NEW_ID = "take a request id from GET /v1/entries and send that as Idempotency-Key"
REMEDY_REPEAT = "repeat it under the same Idempotency-Key at the time in Retry-After"
STILL_RUNNING_PAUSE_S = 1.0

ClaimHandler = Callable[[Claim, GatewayRequest, AnswerSink], Coroutine[Any, Any, Refusal | None]]


@define(kw_only=True)
class ClaimedDispatch:
    """Dispatch requests that carry an issued id."""

    ledger: RequestIdLedger
    dispatcher: Dispatcher
    rng: Random = field(factory=Random)
    # Set before the ids are sent to a successor, which may run their requests from then on.
    is_handing_over: bool = False
    _running: set["asyncio.Task[Refusal | None]"] = field(factory=set)
    _abandoned: dict[str, "asyncio.Task[Refusal | None]"] = field(factory=dict)

    async def dispatch(self, request: GatewayRequest, sink: AnswerSink) -> Refusal | None:
        """Claim the id here, or forward the request to the VM that issued it."""
        parsed = parse_issuer(request.work.request_id)
        if isinstance(parsed, Err):
            return _not_issued(parsed.err_value.detail)
        issuer = parsed.ok_value
        if issuer.key in self.ledger.issuers:
            return await self._claim(request, sink)
        if request.forwarded_by is not None:
            return self._issuer_gone()
        return await self._forward_to_issuer(issuer, request, sink)

    async def refuse(
        self, request: GatewayRequest, refusal: Refusal, sink: AnswerSink
    ) -> Refusal | None:
        """Refuse a request before dispatch; a repeat still gets the outcome of the first one."""
        work = request.work
        parsed = parse_issuer(work.request_id)
        if isinstance(parsed, Err):
            return _not_issued(parsed.err_value.detail)
        if parsed.ok_value.key not in self.ledger.issuers:
            return evolve(refusal, run=RunStatus.UNKNOWN, remedy=REMEDY_REPEAT)
        claim = self.ledger.claim(work.request_id, work.account, now_unix_s())
        if claim.kind is ClaimKind.FRESH:
            return self._record_refusal(work.request_id, refusal)
        return await self._handlers()[claim.kind](claim, request, sink)

    def call_after_run(self, request_id: str, callback: Callable[[], None]) -> None:
        """Call back when the abandoned run of this id ends, or immediately if there is none.

        If the limit were released when the caller disconnects, an account could leave any number of
        requests running beyond its limit.
        """
        task = self._abandoned.pop(request_id, None)
        if task is None:
            callback()
        else:
            task.add_done_callback(lambda _: callback())

    async def wait_until_idle(self) -> None:
        """Return once no claimed request is running."""
        while self._running:
            await asyncio.wait(self._running)

    async def _claim(self, request: GatewayRequest, sink: AnswerSink) -> Refusal | None:
        work = request.work
        claim = self.ledger.claim(work.request_id, work.account, now_unix_s())
        return await self._handlers()[claim.kind](claim, request, sink)

    def _handlers(self) -> dict[ClaimKind, ClaimHandler]:
        return {
            ClaimKind.FRESH: self._run_fresh,
            ClaimKind.RUNNING: self._refuse_still_running,
            ClaimKind.FINISHED: self._repeat_outcome,
            ClaimKind.FORGED: self._refuse_forged,
            ClaimKind.EXPIRED: self._refuse_expired,
            ClaimKind.NOT_MINE: self._refuse_not_mine,
            ClaimKind.RETIRED: self._refuse_retired,
        }

    async def _run_fresh(
        self, claim: Claim, request: GatewayRequest, sink: AnswerSink
    ) -> Refusal | None:
        """Run to the end even if the caller disconnects; its repeat gets the outcome."""
        recorder = RecordingSink(sink)
        task = asyncio.create_task(self._run_recorded(request, recorder))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            recorder.detach()
            if not task.done():
                self._abandoned[request.work.request_id] = task
            raise

    async def _run_recorded(
        self, request: GatewayRequest, recorder: RecordingSink
    ) -> Refusal | None:
        request_id = request.work.request_id
        try:
            refusal = await self.dispatcher.dispatch(request, recorder)
        except BaseException:
            self.ledger.lose(request_id)
            raise
        if refusal is None:
            self.ledger.finish(request_id, recorder.outcome())
            return None
        return self._record_refusal(request_id, refusal)

    def _record_refusal(self, request_id: str, refusal: Refusal) -> Refusal:
        """Make a refusal final, as another copy of the request may still be in transit.

        If the id became free again, that copy could run after the caller has received "not run" and
        sent the request again under a new id, so that one order would be placed twice.
        """
        if refusal.run is RunStatus.UNKNOWN:
            self.ledger.lose(request_id)
            return refusal
        self.ledger.finish(request_id, Outcome(status=refusal.kind.status, run=RunStatus.NO.value))
        return evolve(refusal, remedy=f"{refusal.remedy}; {REMEDY_NEW_ID}")

    async def _forward_to_issuer(
        self, issuer: Issuer, request: GatewayRequest, sink: AnswerSink
    ) -> Refusal | None:
        """Forward to the issuer once; only the issuer can state that a request did not run."""
        attempt = Attempt()
        result = await self.dispatcher.forwarder.forward_to_issuer(
            issuer.vm, issuer.incarnation, request, attempt, sink
        )
        if result.is_finished:
            return None
        if result.refusal is not None and not result.head_passed:
            return result.refusal
        refusal = self._issuer_gone(result.detail)
        if result.head_passed:
            await sink.abort(refusal)
        elif result.state is AttemptState.REFUSED_UNRUN:
            return self._issuer_gone("the VM that issued the id refused the forwarded request")
        return refusal

    async def _refuse_still_running(
        self, claim: Claim, request: GatewayRequest, sink: AnswerSink
    ) -> Refusal | None:
        retry_at_unix_s = retry_after_unix_s(STILL_RUNNING_PAUSE_S, now_unix_s(), self.rng)
        return Refusal(
            kind=ErrorKind.STILL_RUNNING,
            run=RunStatus.UNKNOWN,
            detail="the first request with this id is still running",
            remedy=REMEDY_REPEAT,
            retry_at_unix_s=retry_at_unix_s,
        )

    async def _repeat_outcome(
        self, claim: Claim, request: GatewayRequest, sink: AnswerSink
    ) -> Refusal | None:
        outcome = claim.outcome or Outcome(status=502, run="unknown")
        if outcome.run == RunStatus.NO.value:
            return refuse(
                ErrorKind.ID_REFUSED,
                RunStatus.NO,
                "the first request with this id was refused and never ran",
            )
        if outcome.run == "unknown":
            return refuse(
                ErrorKind.OUTCOME_UNKNOWN,
                RunStatus.UNKNOWN,
                "the outcome of the first request with this id is unknown",
            )
        if outcome.body is None:
            return refuse(
                ErrorKind.ANSWER_NOT_KEPT,
                RunStatus.UNKNOWN,
                "the request ran, but its answer was too large to keep",
            )
        await sink.head(AnswerHead(outcome.status, outcome.headers))
        await sink.end(outcome.body)
        return None

    async def _refuse_forged(
        self, claim: Claim, request: GatewayRequest, sink: AnswerSink
    ) -> Refusal | None:
        return _not_issued("the id was not issued to this account")

    async def _refuse_expired(
        self, claim: Claim, request: GatewayRequest, sink: AnswerSink
    ) -> Refusal | None:
        detail = "the id has expired; an earlier request under it may have run"
        return refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, detail)

    async def _refuse_not_mine(
        self, claim: Claim, request: GatewayRequest, sink: AnswerSink
    ) -> Refusal | None:
        return self._issuer_gone()

    async def _refuse_retired(
        self, claim: Claim, request: GatewayRequest, sink: AnswerSink
    ) -> Refusal | None:
        detail = "the VM that issued the id is stopping; this id was not used here"
        run = RunStatus.UNKNOWN if self.is_handing_over else RunStatus.NO
        return refuse(ErrorKind.DRAINING, run, detail, remedy=REMEDY_NEW_ID)

    def _issuer_gone(self, detail: str = "") -> Refusal:
        text = "the VM that issued the id can't be reached, so that the outcome is unknown"
        return refuse(
            ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, f"{text}: {detail}" if detail else text
        )


def _not_issued(detail: str) -> Refusal:
    return refuse(ErrorKind.BAD_IDEMPOTENCY_KEY, RunStatus.NO, detail, remedy=REMEDY_NEW_ID)
