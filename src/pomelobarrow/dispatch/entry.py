"""Admit requests of callers and peers and count them until they end."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

from attrs import define, field
from result import Err

from pomelobarrow.decision.admission.admission import admit_account
from pomelobarrow.decision.admission.limits import AccountLimits
from pomelobarrow.decision.common.errors import Refusal
from pomelobarrow.decision.published.configuration import Account
from pomelobarrow.dispatch.answers import AnswerSink
from pomelobarrow.dispatch.claims import ClaimedDispatch
from pomelobarrow.dispatch.dispatcher import Dispatcher
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.dispatch.resumed import ResumedDispatch
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.operators.traces import Traces

Runner = Callable[[GatewayRequest], Awaitable[Refusal | None]]


@define(kw_only=True)
class EntryDispatch:
    """Admit requests, trace them and count those in progress."""

    dispatcher: Dispatcher
    claims: ClaimedDispatch
    resumed: ResumedDispatch
    limits: AccountLimits
    traces: Traces
    in_progress: int = 0
    _idle: asyncio.Event = field(factory=asyncio.Event)

    async def dispatch(
        self, request: GatewayRequest, account: Account, sink: AnswerSink
    ) -> Refusal | None:
        """Dispatch a caller's request within the limits of its account."""
        admitted = admit_account(request.work, account, self.limits, now_unix_s())
        if isinstance(admitted, Err):
            return await self._over_limit(request, admitted.err_value, sink)
        try:
            return await self._run_counted("entry", request, partial(self._dispatch, sink=sink))
        finally:
            release = partial(self.limits.release, account.name)
            self.claims.call_after_run(request.work.request_id, release)

    async def _over_limit(
        self, request: GatewayRequest, refusal: Refusal, sink: AnswerSink
    ) -> Refusal | None:
        if request.is_claimed:
            return await self.claims.refuse(request, refusal, sink)
        return refusal

    async def dispatch_forwarded(self, request: GatewayRequest, sink: AnswerSink) -> Refusal | None:
        """Dispatch a forwarded request; its entry VM has counted it against the account."""
        return await self._run_counted("forwarded", request, partial(self._dispatch, sink=sink))

    async def resume_forwarded(
        self, request: GatewayRequest, server: str, from_event: int, sink: AnswerSink
    ) -> Refusal | None:
        """Fetch the rest of a stream for a peer without running the request."""
        fetch = partial(self.resumed.fetch, server_name=server, from_event=from_event, sink=sink)
        return await self._run_counted("resumed", request, fetch)

    async def wait_until_idle(self) -> None:
        """Return once nothing is in progress on this VM."""
        while self.in_progress:
            self._idle.clear()
            await self._idle.wait()
        await self.claims.wait_until_idle()

    async def _run_counted(self, hop: str, request: GatewayRequest, run: Runner) -> Refusal | None:
        self.in_progress += 1
        try:
            return await self._run_traced(hop, request, run)
        finally:
            self.in_progress -= 1
            if not self.in_progress:
                self._idle.set()

    async def _run_traced(self, hop: str, request: GatewayRequest, run: Runner) -> Refusal | None:
        work = request.work
        with self.traces.span(
            hop, request.traceparent, request_id=work.request_id, class_name=work.class_name
        ) as span:
            refusal = await run(request.with_traceparent(span.traceparent))
            span.set("outcome", refusal.kind.label if refusal else "answered")
            return refusal

    async def _dispatch(self, request: GatewayRequest, sink: AnswerSink) -> Refusal | None:
        if request.is_claimed:
            return await self.claims.dispatch(request, sink)
        return await self.dispatcher.dispatch(request, sink)
