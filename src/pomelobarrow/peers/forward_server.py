"""Run what a peer passed on, or refuse it; nothing here can pass it on again."""

import asyncio
from collections.abc import Callable

from attrs import define, field
from grpclib.exceptions import StreamTerminatedError

from pomelobarrow.decision.clocks import ClockOffsets
from pomelobarrow.decision.configuration import Configuration, Rank, WorkClass
from pomelobarrow.decision.errors import Kind, Refusal, Run
from pomelobarrow.decision.work import Work
from pomelobarrow.dispatch.answers import AnswerHead, CallerGoneError
from pomelobarrow.dispatch.entry import EntryDispatch
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb

NOT_RUN = "not_run"
UNKNOWN = "unknown"
CANCELLED_KEPT_S = 600.0


class ForwardSink:
    """Pass an answer back to the entry VM."""

    def __init__(self, stream) -> None:  # type: ignore[no-untyped-def]
        self._stream = stream
        self.head_passed = False

    async def head(self, head: AnswerHead) -> None:
        """Send status and headers."""
        self.head_passed = True
        headers = [pb.Header(name=name, value=value) for name, value in head.headers]
        await self.send(
            pb.ForwardEvent(head=pb.Head(status=head.status, headers=headers, server=head.server))
        )

    async def chunk(self, data: bytes) -> None:
        """Send the next bytes."""
        await self.send(pb.ForwardEvent(chunk=data))

    async def end(self) -> None:
        """Say that the answer is whole."""
        await self.send(pb.ForwardEvent(end=pb.End(complete=True)))

    async def broken(self, refusal: Refusal) -> None:
        """Say that the answer stops short."""
        await self.send(pb.ForwardEvent(end=pb.End(complete=False, detail=refusal.detail)))

    async def send(self, event: pb.ForwardEvent) -> None:
        """Send one event."""
        try:
            await self._stream.send_message(event)
        except (StreamTerminatedError, OSError) as error:
            raise CallerGoneError("the entry VM closed the stream") from error


@define(kw_only=True)
class ForwardServer:
    """Hold the forwarded requests that this VM knows of."""

    incarnation: int
    configuration: Callable[[], Configuration | None]
    entry: EntryDispatch
    offsets: ClockOffsets
    is_draining: Callable[[], bool] = lambda: False
    _tasks: dict[tuple[str, str], "asyncio.Task[Refusal | None]"] = field(factory=dict)
    _cancelled_until_unix_s: dict[tuple[str, str], float] = field(factory=dict)
    _seen: dict[tuple[str, str], float] = field(factory=dict)

    async def forward(self, stream, vm: str) -> None:  # type: ignore[no-untyped-def]
        """Answer one forwarded request."""
        message = await stream.recv_message()
        if message is None:
            return
        sink = ForwardSink(stream)
        refusal = await self._run(message, vm, sink)
        if refusal is not None and not sink.head_passed:
            await sink.send(pb.ForwardEvent(refusal=_refusal_message(refusal)))

    def cancel(self, request: pb.CancelRequest, vm: str) -> str:
        """Drop a request; say "not_run" only where that is certain and stays so."""
        if request.executor_incarnation != self.incarnation:
            # Whoever ran under this name before may have run it.
            return UNKNOWN
        key = (vm, request.request_id)
        self._forget_cancelled()
        self._cancelled_until_unix_s[key] = now_unix_s() + CANCELLED_KEPT_S
        task = self._tasks.get(key)
        if task is not None:
            task.cancel()
            return UNKNOWN
        return UNKNOWN if key in self._seen else NOT_RUN

    async def _run(self, message: pb.ForwardRequest, vm: str, sink: ForwardSink) -> Refusal | None:
        key = (vm, message.request_id)
        # The entry VM may have been told "not run" while this message sat in a buffer, say
        # because this process was frozen. Running it now would make that untrue.
        if key in self._cancelled_until_unix_s:
            return refuse(Kind.DEADLINE_PASSED, Run.NO, "the entry VM has cancelled it")
        request = self._request(message, vm)
        if isinstance(request, Refusal):
            return request
        self._note_seen(key, request.work.deadline_unix_s)
        task = asyncio.ensure_future(self.entry.dispatch_forwarded(request, sink))
        self._tasks[key] = task
        try:
            return await task
        except CallerGoneError:
            return None
        finally:
            if not task.done():
                task.cancel()
            if self._tasks.get(key) is task:
                del self._tasks[key]

    def _request(self, message: pb.ForwardRequest, vm: str) -> GatewayRequest | Refusal:
        # The entry VM sent it before it heard of the stop. Begun after everything here was found
        # idle, it would be cut off and its outcome lost; refused unrun, it goes elsewhere.
        if self.is_draining() and not message.is_claim:
            return refuse(Kind.DRAINING, Run.NO, "this VM is stopping")
        configuration = self.configuration()
        work_class = configuration.classes.get(message.class_name) if configuration else None
        if work_class is None:
            return refuse(Kind.NOT_READY, Run.NO, "the class is not known here yet")
        deadline_unix_s = self.offsets.to_local(vm, message.deadline_unix_s)
        if deadline_unix_s <= now_unix_s():
            return refuse(Kind.DEADLINE_PASSED, Run.NO, "the deadline passed on the way")
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

    def _note_seen(self, key: tuple[str, str], deadline_unix_s: float) -> None:
        self._seen[key] = deadline_unix_s + CANCELLED_KEPT_S

    def _forget_cancelled(self) -> None:
        now = now_unix_s()
        for kept in (self._cancelled_until_unix_s, self._seen):
            for key in [key for key, until_unix_s in kept.items() if until_unix_s < now]:
                del kept[key]


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
        home_bound=work_class.home_bound,
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
