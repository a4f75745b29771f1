"""Pass a request on to one peer and relay its answer."""

import asyncio
import itertools
from collections.abc import Mapping
from random import Random

from attrs import define, field
from grpclib.client import Channel

from pomelobarrow.decision.attempt import Attempt, AttemptEvent, AttemptState
from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.errors import KIND_BY_LABEL, ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.member import Member
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.decision.work import Work
from pomelobarrow.dispatch.answers import AnswerHead, AnswerSink, AttemptResult, CallerGoneError
from pomelobarrow.dispatch.background import wait_or_detach
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.operators.traces import Traces
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import LOST, start_call, take_back_cancels
from pomelobarrow.peers.forward_cancel import CANCEL_TIMEOUT_S, cancel_forward
from pomelobarrow.peers.forward_resume import Relayed, RestOfForward
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import PeerLink
from pomelobarrow.peers.peers_grpc import PeerStub
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.peers.table import PeerTable

FORWARD_PATH = "/pomelobarrow.peers.v1.Peer/Forward"
# Past its deadline the caller waits no longer for the peer's word: two round trips between regions.
LAST_WORD_S = 0.3


@define(kw_only=True)
class PeerForwarder:
    """Hold what forwarding needs of the peers."""

    own: Member
    view: MembershipView
    table: PeerTable
    loads: RegionLoads
    keys: PeerKeys
    traces: Traces
    rng: Random = field(factory=Random)
    _serials: "itertools.count[int]" = field(factory=itertools.count)

    def next_serial(self) -> int:
        """Count one more forward."""
        return next(self._serials)

    def region_loads(self, work: Work) -> Mapping[str, RegionLoad]:
        """Return what is known of the other regions' pools."""
        return self.loads.for_pool(work.pool)

    async def forward_to_region(
        self,
        region: str,
        request: GatewayRequest,
        attempt: Attempt,
        sink: AnswerSink,
        excluded: frozenset[str],
    ) -> AttemptResult:
        """Send to a live peer of a region, a linked one first."""
        members = self.view.usable_entries(region, now_unix_s())
        candidates = [each for each in members if each.vm not in excluded]
        if not candidates:
            refusal = _nobody_left(region, has_refused=bool(members))
            return AttemptResult(state=attempt.state, detail=refusal.detail, refusal=refusal)
        member = min(candidates, key=self._order)
        # The id is claimed here or needs no claim: the peer just runs the request.
        return await self._forward(member, request, attempt, sink, is_claim=False)

    async def forward_to_issuer(
        self, vm: str, incarnation: int, request: GatewayRequest, attempt: Attempt, sink: AnswerSink
    ) -> AttemptResult:
        """Send to the VM that issued the request's id, or to its successor."""
        successor = self.view.successor_of(vm, incarnation)
        member = self.view.get(successor or vm)
        if member is None or (successor is None and member.incarnation != incarnation):
            return AttemptResult(state=attempt.state, detail=f"{vm} is not known in that start")
        return await self._forward(member, request, attempt, sink, is_claim=True)

    def _order(self, member: Member) -> tuple[bool, float]:
        return not self.table.is_linked(member.vm), self.rng.random()

    async def _forward(
        self,
        member: Member,
        request: GatewayRequest,
        attempt: Attempt,
        sink: AnswerSink,
        is_claim: bool,
    ) -> AttemptResult:
        with self.traces.span("forward", request.traceparent, peer=member.vm) as span:
            request = request.with_traceparent(span.traceparent)
            result = await self._forward_once(member, request, attempt, sink, is_claim)
            span.set("state", result.state.value)
            return result

    async def _forward_once(
        self,
        member: Member,
        request: GatewayRequest,
        attempt: Attempt,
        sink: AnswerSink,
        is_claim: bool,
    ) -> AttemptResult:
        run = Forward(
            forwarder=self,
            member=member,
            link=await self.table.link_to(member),
            request=request,
            attempt=attempt,
            sink=sink,
            is_claim=is_claim,
            serial=self.next_serial(),
        )
        try:
            async with asyncio.timeout(max(0.0, request.work.deadline_unix_s - now_unix_s())):
                with run.link.in_use():
                    return await run.run()
        except TimeoutError:
            return await run.lose("the deadline passed", LAST_WORD_S)
        except (CallerGoneError, asyncio.CancelledError):
            await asyncio.shield(run.cancel())
            raise


def _nobody_left(region: str, has_refused: bool) -> Refusal:
    retry_at_unix_s = now_unix_s() + 1.0
    if has_refused:
        detail = f"every entry VM of {region} has refused it"
        return refuse(ErrorKind.NO_CAPACITY, RunStatus.NO, detail, retry_at_unix_s)
    detail = f"no entry VM of {region} can be reached"
    return refuse(ErrorKind.HOME_UNREACHABLE, RunStatus.NO, detail, retry_at_unix_s)


@define(kw_only=True)
class Forward:
    """Hold what one forward has achieved so far."""

    forwarder: PeerForwarder
    member: Member
    link: PeerLink
    request: GatewayRequest
    attempt: Attempt
    sink: AnswerSink
    is_claim: bool
    serial: int
    head_passed: bool = False
    relayed: Relayed = field(factory=Relayed)
    # What the peer said last of all; nothing that happens to the connection changes it.
    _ended: AttemptResult | None = None

    async def run(self) -> AttemptResult:
        """Send, relay the answer, and learn how it ended."""
        try:
            with take_back_cancels():
                await self._converse(await self.link.up_channel())
        except LOST as error:
            if self._ended is None:
                return await self._resume_or_lose(repr(error))
        assert self._ended is not None
        return self._ended

    async def _resume_or_lose(self, detail: str) -> AttemptResult:
        """Fetch the rest through any peer of the region; the engine still holds the work."""
        if not self.relayed.is_resumable:
            return await self.lose(detail)
        rest = self._rest()
        await rest.release(self.member, self.serial)
        if not await rest.fetch():
            return await self.lose(detail)
        return await self._finish()

    def _rest(self) -> RestOfForward:
        message = self._message()
        message.request_id = self.relayed.request_id or message.request_id
        message.ClearField("headers")
        message.ClearField("body")
        forwarder = self.forwarder
        return RestOfForward(
            own=forwarder.own,
            view=forwarder.view,
            table=forwarder.table,
            keys=forwarder.keys,
            traces=forwarder.traces,
            rng=forwarder.rng,
            next_serial=forwarder.next_serial,
            region=self.member.region,
            message=message,
            sink=self.sink,
            relayed=self.relayed,
        )

    async def lose(self, detail: str, within_s: float = CANCEL_TIMEOUT_S) -> AttemptResult:
        """Ask on a new connection whether it ran; without a clear answer it may have."""
        if self.attempt.state is AttemptState.NOT_SENT:
            return self._result(detail)
        self.attempt.apply(AttemptEvent.LOSE)
        outcome = await wait_or_detach(self.cancel(), within_s, "unknown")
        if outcome == "not_run" and not self.head_passed:
            self.attempt.apply(AttemptEvent.CONFIRM_CANCELLED_UNRUN)
        return self._result(detail)

    async def cancel(self) -> str:
        """Tell the peer to drop the request; return what it says became of it."""
        if self.attempt.state is AttemptState.NOT_SENT:
            return "not_run"
        message = pb.CancelRequest(
            request_id=self.request.work.request_id,
            forwarded_by=self.forwarder.own.vm,
            executor_incarnation=self.member.incarnation,
            forwarded_by_incarnation=self.forwarder.own.incarnation,
            serial=self.serial,
            deadline_unix_s=self.request.work.deadline_unix_s,
        )
        return await cancel_forward(self.link, self.forwarder.keys, message)

    async def _converse(self, channel: Channel) -> None:
        metadata = self.forwarder.keys.metadata(self.forwarder.own.vm, FORWARD_PATH)
        message = self._message()
        async with PeerStub(channel).Forward.open(metadata=metadata) as stream:
            # Headers alone start nothing: the peer acts on the message that follows them.
            await start_call(stream)
            self.attempt.apply(AttemptEvent.SEND)
            await stream.send_message(message, end=True)
            while self._ended is None:
                event = await stream.recv_message()
                if event is None:
                    raise ConnectionError("the answer stopped without an end")
                self._ended = await self._take(event)

    async def _take(self, event: pb.ForwardEvent) -> AttemptResult | None:
        kind = event.WhichOneof("kind")
        if kind == "chunk":
            self.relayed.observe_chunk(event.chunk)
            await self.sink.chunk(event.chunk)
            return None
        if kind == "head":
            await self._take_head(event.head)
            return None
        if kind == "refusal":
            return self._take_refusal(event.refusal)
        return await self._take_end(event.end)

    async def _take_head(self, head: pb.Head) -> None:
        self.attempt.apply(AttemptEvent.FIRST_BYTE)
        self.head_passed = True
        self.relayed.observe_head(head, self.request.is_streamed)
        headers = tuple((each.name, each.value) for each in head.headers)
        await self.sink.head(AnswerHead(head.status, headers, head.server))

    async def _take_end(self, end: pb.End) -> AttemptResult:
        if not end.complete:
            self.attempt.apply(AttemptEvent.LOSE)
            return self._result(end.detail)
        return await self._finish()

    async def _finish(self) -> AttemptResult:
        await self.sink.end()
        self.attempt.apply(AttemptEvent.END)
        return self._result("")

    def _take_refusal(self, message: pb.Refusal) -> AttemptResult:
        refusal = self._refusal(message)
        is_unrun = refusal.run is RunStatus.NO
        self.attempt.apply(AttemptEvent.REFUSE_UNRUN if is_unrun else AttemptEvent.LOSE)
        return self._result(refusal.detail, refusal)

    def _refusal(self, message: pb.Refusal) -> Refusal:
        offset_s = self.forwarder.table.clock_offset_s(self.member.vm)
        retry_at_unix_s = message.retry_at_unix_s - offset_s if message.retry_at_unix_s else None
        return Refusal(
            kind=KIND_BY_LABEL.get(message.kind, ErrorKind.OUTCOME_UNKNOWN),
            run=RunStatus(message.run),
            detail=message.detail,
            remedy=message.remedy,
            retry_at_unix_s=retry_at_unix_s,
        )

    def _message(self) -> pb.ForwardRequest:
        work, own = self.request.work, self.forwarder.own
        return pb.ForwardRequest(
            request_id=work.request_id,
            forwarded_by=own.vm,
            forwarded_by_incarnation=own.incarnation,
            deadline_unix_s=work.deadline_unix_s,
            class_name=work.class_name,
            account=work.account,
            home_region=work.home_region,
            method=self.request.method,
            path=self.request.path,
            headers=[pb.Header(name=name, value=value) for name, value in self.request.headers],
            body=self.request.body,
            traceparent=self.request.traceparent,
            is_claim=self.is_claim,
            serial=self.serial,
            is_streamed=self.request.is_streamed,
            is_chat=self.request.is_chat,
            model=work.model or "",
            prompt_tokens=work.prompt_tokens,
            expected_output_tokens=work.expected_output_tokens,
            prefix_hashes=work.prefix_hashes,
            is_trial=work.rank is Rank.TRIAL,
            home_bound=work.home_bound,
        )

    def _result(self, detail: str, refusal: Refusal | None = None) -> AttemptResult:
        return AttemptResult(
            state=self.attempt.state,
            head_passed=self.head_passed,
            detail=detail,
            peer=self.member.vm,
            refusal=refusal,
        )
