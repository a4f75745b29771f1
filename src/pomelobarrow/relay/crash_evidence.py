"""Collect from relayed requests which of them, or which parts of prompts, crash servers."""

import math
from collections.abc import Callable, Iterable

from attrs import define

from pomelobarrow.decision.requests.attempt_states import AttemptEnd
from pomelobarrow.decision.requests.short_key import server_key, short_key
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.crash_suspects import RunningRequest
from pomelobarrow.decision.servers.crashing_parts import ANSWER_SURVIVED_S
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.messages import AttemptReport, RelayRequest
from pomelobarrow.relay.progress import RequestProgress

ANSWERED_ENDS = frozenset({AttemptEnd.PASSED_ON, AttemptEnd.ANSWERED})


@define(kw_only=True)
class CrashEvidence:
    """Record the attempts of relayed requests that clear or incriminate them."""

    guard: CrashGuard

    def refuses(self, request: RelayRequest) -> bool:
        """Return whether to refuse a request because such requests crash servers."""
        return self.guard.refuses(request.fingerprint, request.parts_by_fingerprint)

    def may_repeat(self, request: RelayRequest) -> bool:
        """Return whether a request that a server has lost may be sent to another one."""
        return self.guard.may_repeat(request.fingerprint, request.parts_by_fingerprint)

    def pause_observer(self, request: RelayRequest) -> Callable[[float], None]:
        """Return a function that takes the pauses of a stream, and clears its prompt's parts."""
        age_s = 0.0

        def observe(pause_s: float) -> None:
            nonlocal age_s
            was_cleared = age_s >= ANSWER_SURVIVED_S
            age_s += pause_s
            if age_s >= ANSWER_SURVIVED_S and not was_cleared:
                self._clear_parts(request)

        return observe

    async def note_end(
        self,
        progress: RequestProgress,
        server: BackendServer,
        report: AttemptReport,
        started_unix_s: float,
    ) -> None:
        """Record how an attempt at a server ended; return once a crash is confirmed."""
        request = progress.request
        if report.is_closed:
            running = running_request(request, _suspect_parts(request, report), started_unix_s)
            await self.guard.note_closed(server, running)
            if self.guard.has_ended(server, request.fingerprint):
                progress.history.ended_server_key = server_key(server)
        elif report.end in ANSWERED_ENDS:
            self.guard.note_answered(request.fingerprint)
            self.note_answer(request, report)

    def note_answer(self, request: RelayRequest, report: AttemptReport) -> None:
        """Clear the parts of a prompt that a server or a peer's server has answered."""
        is_failure = report.answer is not None and not report.answer.head.is_success
        if report.end in ANSWERED_ENDS and not is_failure:
            self._clear_parts(request)

    def _clear_parts(self, request: RelayRequest) -> None:
        if request.parts_by_fingerprint:
            self.guard.note_parts_answered(request.work.pool, request.parts_by_fingerprint)


def running_request(
    request: RelayRequest, parts: Iterable[int], sent_unix_s: float = -math.inf
) -> RunningRequest:
    """Return a request as evidence of a crash, with its parts that may be at fault."""
    return RunningRequest(
        fingerprint=request.fingerprint,
        parts=tuple(parts),
        key=short_key(request.work.request_id),
        sent_unix_s=sent_unix_s,
    )


def _suspect_parts(request: RelayRequest, report: AttemptReport) -> Iterable[int]:
    """Return the parts that may be at fault: none once the server had answered for a while."""
    first_unix_s = report.first_answer_unix_s
    if first_unix_s is not None and now_unix_s() - first_unix_s >= ANSWER_SURVIVED_S:
        return ()
    return request.parts_by_fingerprint
