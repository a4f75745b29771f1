"""Run the requests that peers forward, or refuse them; none is forwarded again."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import define, evolve, field
from grpclib.exceptions import StreamTerminatedError

from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.members.clocks import ClockOffsets
from pomelobarrow.decision.published.configuration import Configuration, Rank, WorkClass
from pomelobarrow.decision.requests.attempt import run_status
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.dispatch.answers import AnswerHead, CallerGoneError
from pomelobarrow.dispatch.entry import EntryDispatch
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.forward_registry import ForwardKey, ForwardRegistry
from pomelobarrow.peers.peer_limits import MAX_RUNNING_BODY_BYTES

NOT_RUN = "not_run"
UNKNOWN = "unknown"
# Shorter than the time that the entry VM waits for the answer.
CANCEL_TIMEOUT_S = 1.0


class ForwardSink:
    """Send an answer back to the entry VM."""

    def __init__(self, stream) -> None:  # type: ignore[no-untyped-def]
        self._stream = stream
        self.head_passed = False
        self.is_taken_over = False

    async def head(self, head: AnswerHead) -> None:
        """Send status and headers."""
        self.head_passed = True
        headers = [pb.Header(name=name, value=value) for name, value in head.headers]
        message = pb.Head(
            status=head.status, headers=headers, server=head.server, request_id=head.request_id
        )
        await self.send(pb.ForwardEvent(head=message))

    async def chunk(self, data: bytes) -> None:
        """Send the next bytes."""
        await self.send(pb.ForwardEvent(chunk=data))

    async def end(self, last: bytes = b"") -> None:
        """Send the last bytes and the end of a complete answer."""
        if last:
            await self.chunk(last)
        await self.send(pb.ForwardEvent(end=pb.End(complete=True)))

    async def abort(self, refusal: Refusal) -> None:
        """Send the end of an incomplete answer."""
        await self.send(pb.ForwardEvent(end=pb.End(complete=False, detail=refusal.detail)))

    def is_lost(self) -> bool:
        """Return whether the entry VM may fetch the rest through another peer.

        When a caller disconnects, the entry VM resets the stream and the connection stays open. A
        closed connection therefore doesn't mean that the caller is gone.
        """
        # grpclib has no public way to the transport.
        transport = self._stream.peer._transport if self._stream.peer else None
        return self.is_taken_over or transport is None or transport.is_closing()

    async def send(self, event: pb.ForwardEvent) -> None:
        """Send one event."""
        try:
            await self._stream.send_message(event)
        except (StreamTerminatedError, OSError) as error:
            raise CallerGoneError("the entry VM closed the stream") from error


@define(kw_only=True)
class RunningForward:
    """Track one forwarded request while it runs here."""

    request: GatewayRequest
    task: "asyncio.Task[Refusal | None]"
    sink: ForwardSink

    async def cancel(self) -> str:
        """Cancel it; return "not_run" if every attempt so far is certain not to have run."""
        self.task.cancel()
        await asyncio.wait({self.task}, timeout=CANCEL_TIMEOUT_S)
        # A claimed request continues without its task, so that a retry gets its outcome.
        if not self.task.cancelled() or self.request.is_claimed:
            return UNKNOWN
        states = [attempt.state for attempt in self.request.attempts]
        return NOT_RUN if run_status(states) is RunStatus.NO else UNKNOWN


@define(kw_only=True)
class ForwardServer:
    """Run, resume and cancel the requests that peers forward to this VM."""

    incarnation: int
    configuration: Callable[[], Configuration | None]
    entry: EntryDispatch
    offsets: ClockOffsets
    is_draining: Callable[[], bool] = lambda: False
    registry: ForwardRegistry = field(factory=ForwardRegistry)
    _running: dict[ForwardKey, RunningForward] = field(factory=dict)

    async def forward(self, stream, vm: str) -> None:  # type: ignore[no-untyped-def]
        """Answer one forwarded request."""
        message = await stream.recv_message()
        if message is None:
            return
        sink = ForwardSink(stream)
        refusal = await self._run(message, vm, sink)
        if refusal is not None and not sink.head_passed:
            await sink.send(pb.ForwardEvent(refusal=_refusal_message(refusal)))

    async def resume(self, stream, vm: str) -> None:  # type: ignore[no-untyped-def]
        """Relay the rest of a stream from the server that runs it, or refuse."""
        message = await stream.recv_message()
        if message is None:
            return
        sink = ForwardSink(stream)
        refusal = await self._resume(message, vm, sink)
        if refusal is not None and not sink.head_passed:
            await sink.send(pb.ForwardEvent(refusal=_refusal_message(refusal)))

    async def cancel(self, request: pb.CancelRequest, vm: str) -> str:
        """Cancel a request; return "not_run" only if that is certain and final."""
        if request.executor_incarnation != self.incarnation:
            # An earlier incarnation of this VM may have run it.
            return UNKNOWN
        key = ForwardKey(vm, request.forwarded_by_incarnation, request.serial)
        running = self._running.get(key)
        if running is not None:
            running.sink.is_taken_over = request.keeps_work
            return await running.cancel()
        deadline_unix_s = self.offsets.to_local(vm, request.deadline_unix_s)
        # The block of this forward would keep those of all later ones from expiring.
        if not math.isfinite(deadline_unix_s):
            return UNKNOWN
        is_certain = self.registry.cancel(key, deadline_unix_s, now_unix_s())
        return NOT_RUN if is_certain else UNKNOWN

    async def _run(self, message: pb.ForwardRequest, vm: str, sink: ForwardSink) -> Refusal | None:
        key = ForwardKey(vm, message.forwarded_by_incarnation, message.serial)
        # The entry VM may have received "not_run" while this message was still buffered, for
        # example because this process was paused. The request must not run after that answer.
        if self.registry.is_cancelled(key):
            return refuse(
                ErrorKind.DEADLINE_PASSED,
                _run_before_ledger_check(message),
                "the entry VM has cancelled the request",
            )
        request = self._request(message, vm)
        if isinstance(request, Refusal):
            return request
        if not self._has_room(request):
            return refuse(
                ErrorKind.NO_CAPACITY,
                _run_before_ledger_check(message),
                "the bodies of running requests take all memory for forwarded ones",
            )
        request = evolve(request, is_link_lost=sink.is_lost)
        answer = self.entry.dispatch_forwarded(request, sink)
        try:
            return await self._await_answer(key, request, sink, answer)
        finally:
            self._note_if_unrun(key, request)

    def _has_room(self, request: GatewayRequest) -> bool:
        running_bytes = sum(len(each.request.body) for each in self._running.values())
        return not running_bytes or running_bytes + len(request.body) <= MAX_RUNNING_BODY_BYTES

    def _note_if_unrun(self, key: ForwardKey, request: GatewayRequest) -> None:
        # A claimed request continues without its stream.
        if request.is_claimed or key in self._running:
            return
        if run_status(attempt.state for attempt in request.attempts) is RunStatus.NO:
            self.registry.note_unrun(key, request.work.deadline_unix_s, now_unix_s())

    async def _resume(
        self, message: pb.ResumeRequest, vm: str, sink: ForwardSink
    ) -> Refusal | None:
        request = self._request(message.request, vm)
        if isinstance(request, Refusal):
            return request
        request = evolve(request, is_link_lost=sink.is_lost)
        key = ForwardKey(vm, message.request.forwarded_by_incarnation, message.request.serial)
        answer = self.entry.resume_forwarded(request, message.server, message.from_event, sink)
        return await self._await_answer(key, request, sink, answer)

    async def _await_answer(
        self,
        key: ForwardKey,
        request: GatewayRequest,
        sink: ForwardSink,
        answer: Coroutine[Any, Any, Refusal | None],
    ) -> Refusal | None:
        self.registry.note_seen(key, now_unix_s())
        task = asyncio.ensure_future(answer)
        self._running[key] = RunningForward(request=request, task=task, sink=sink)
        try:
            return await task
        except CallerGoneError:
            return None
        finally:
            # A task that is still ending stays listed, so that a cancel call gets the outcome from
            # it and not from the registry.
            if task.done():
                del self._running[key]
            else:
                task.cancel()
                task.add_done_callback(lambda _: self._running.pop(key, None))

    def _one_way_s(self, vm: str) -> float:
        """Return how long an answer takes to reach the entry VM.

        Without this margin a refusal sent at the deadline arrives after it, and the caller gets
        "unknown".
        """
        best = self.offsets.best(vm)
        return best.round_trip_s / 2 if best is not None else 0.0

    def _request(self, message: pb.ForwardRequest, vm: str) -> GatewayRequest | Refusal:
        # The entry VM sent it before it learned that this VM stops. If it started after the check
        # for idleness, it would be aborted and its outcome lost; a refusal lets it run elsewhere.
        if self.is_draining() and not message.is_claim:
            return refuse(ErrorKind.DRAINING, RunStatus.NO, "this VM is stopping")
        configuration = self.configuration()
        work_class = configuration.classes.get(message.class_name) if configuration else None
        if work_class is None:
            return refuse(
                ErrorKind.NOT_READY,
                _run_before_ledger_check(message),
                "the executing VM hasn't received the class yet",
            )
        is_bound = work_class.home_bound or message.home_bound
        if is_bound and not _is_home(message, configuration):
            return refuse(
                ErrorKind.BAD_HOME_REGION, RunStatus.NO, "the account's home is another region"
            )
        deadline_unix_s = self.offsets.to_local(vm, message.deadline_unix_s) - self._one_way_s(vm)
        if not math.isfinite(deadline_unix_s):
            return refuse(
                ErrorKind.BAD_DEADLINE,
                _run_before_ledger_check(message),
                "the entry VM stated no time as the deadline",
            )
        if deadline_unix_s <= now_unix_s() and not message.is_claim:
            return refuse(ErrorKind.DEADLINE_PASSED, RunStatus.NO, "the deadline passed in transit")
        return GatewayRequest(
            work=_work(message, work_class, deadline_unix_s),
            work_class=work_class,
            is_chat=message.is_chat,
            is_streamed=message.is_streamed,
            is_claimed=message.is_claim,
            method=message.method,
            path=message.path,
            headers=tuple((each.name, each.value) for each in message.headers),
            body=message.body,
            traceparent=message.traceparent,
            forwarded_by=vm,
        )


def _run_before_ledger_check(message: pb.ForwardRequest) -> RunStatus:
    """Return what a refusal sent before the ledger is consulted may state.

    An earlier request under the same issued id may have run here; only the ledger records that.
    """
    return RunStatus.UNKNOWN if message.is_claim else RunStatus.NO


def _is_home(message: pb.ForwardRequest, configuration: Configuration | None) -> bool:
    account = configuration.accounts.get(message.account) if configuration else None
    home_region = account.home_region if account else None
    return home_region in (None, message.home_region)


def _work(message: pb.ForwardRequest, work_class: WorkClass, deadline_unix_s: float) -> Work:
    now = now_unix_s()
    return Work(
        request_id=message.request_id,
        class_name=message.class_name,
        account=message.account,
        rank=Rank.TRIAL if message.is_trial else Rank.PAYING,
        pool=work_class.pool,
        model=message.model or None,
        home_region=message.home_region,
        # Either VM may not have received yet that the class is bound to its home region. The
        # stricter value counts, so that work leaves home only if both VMs allow it.
        home_bound=work_class.home_bound or message.home_bound,
        repeatable=work_class.repeatable,
        prompt_tokens=message.prompt_tokens,
        expected_output_tokens=message.expected_output_tokens,
        prefix_hashes=tuple(message.prefix_hashes),
        accepted_unix_s=now,
        first_token_due_unix_s=now + work_class.first_token_target_s,
        deadline_unix_s=deadline_unix_s,
    )


def _refusal_message(refusal: Refusal) -> pb.Refusal:
    return pb.Refusal(
        kind=refusal.kind.label,
        run=refusal.run.value,
        detail=refusal.detail,
        remedy=refusal.remedy,
        retry_at_unix_s=refusal.retry_at_unix_s or 0.0,
    )
