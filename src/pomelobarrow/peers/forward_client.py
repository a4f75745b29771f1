"""Forward a request to one peer and relay its answer."""

import asyncio
import itertools
from collections.abc import Mapping
from random import Random

from attrs import define, field
from grpclib.client import Channel

from pomelobarrow.decision.common.bounded import number_or_none
from pomelobarrow.decision.common.errors import KIND_BY_LABEL, ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.requests.attempt import Attempt, AttemptEvent, AttemptState
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.decision.servers.reachability import PeerReachability
from pomelobarrow.dispatch.answers import AnswerHead, AnswerSink, AttemptResult, CallerGoneError
from pomelobarrow.dispatch.background import wait_or_detach
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.operators.traces import Traces
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import CONNECTION_ERRORS, start_call, undo_grpclib_cancellations
from pomelobarrow.peers.forward_cancel import CANCEL_TIMEOUT_S, cancel_forward
from pomelobarrow.peers.forward_resume import ForwardResumption, RelayProgress
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import PeerLink
from pomelobarrow.peers.peers_grpc import PeerStub
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.peers.table import PeerTable

FORWARD_PATH = "/pomelobarrow.peers.v1.Peer/Forward"
# Past the deadline, the caller waits at most this long for the peer to confirm a cancellation: two
# round trips between regions.
LATE_CANCEL_TIMEOUT_S = 0.3
# Callers grant a request seven days at most.
MAX_RETRY_AHEAD_S = 7 * 86_400.0


@define(kw_only=True)
class PeerForwarder:
    """Choose peers and forward requests to them."""

    view: MembershipView
    table: PeerTable
    loads: RegionLoads
    keys: PeerKeys
    traces: Traces
    reachability: PeerReachability = field(factory=PeerReachability)
    rng: Random = field(factory=Random)
    _serials: "itertools.count[int]" = field(factory=itertools.count)

    @property
    def own(self) -> Member:
        """Return this VM's own description."""
        return self.view.own

    def next_serial(self) -> int:
        """Return the serial of the next forward."""
        return next(self._serials)

    def region_loads(self, work: Work) -> Mapping[str, RegionLoad]:
        """Return the last known load of a request's pool in each other region."""
        return self.loads.for_pool(work.pool)

    async def forward_to_region(
        self,
        region: str,
        request: GatewayRequest,
        attempt: Attempt,
        sink: AnswerSink,
        excluded: frozenset[str],
    ) -> AttemptResult:
        """Send to a live peer of a region, preferably to a linked one."""
        pool = request.work.pool
        candidates = self._candidates(region, pool, excluded)
        if not candidates:
            has_members = bool(self.view.usable_entries(region, now_unix_s()))
            refusal = _no_peer_refusal(region, has_refused=has_members)
            return AttemptResult(state=attempt.state, detail=refusal.detail, refusal=refusal)
        member = min(candidates, key=self._order)
        # The id is claimed here or needs no claim, so that the peer only runs the request.
        result = await self._forward(member, request, attempt, sink, is_claim=False)
        if result.refusal is not None and result.refusal.kind is ErrorKind.POOL_UNREACHABLE:
            self.reachability.note_refusal(member.vm, pool, now_unix_s())
        return result

    def has_peer(self, region: str, pool: str, excluded: frozenset[str]) -> bool:
        """Return whether a live peer of a region may reach a server of a pool."""
        return bool(self._candidates(region, pool, excluded))

    def _candidates(self, region: str, pool: str, excluded: frozenset[str]) -> list[Member]:
        now = now_unix_s()
        left_out = {self.own.vm, *excluded, *self.reachability.unreachable_vms(pool, now)}
        return [each for each in self.view.usable_entries(region, now) if each.vm not in left_out]

    async def forward_to_issuer(
        self, vm: str, incarnation: int, request: GatewayRequest, attempt: Attempt, sink: AnswerSink
    ) -> AttemptResult:
        """Send to the VM that issued the request's id, or to its successor."""
        successor = self.view.successor_of(vm, incarnation)
        member = self.view.get(successor or vm)
        if member is None or (successor is None and member.incarnation != incarnation):
            return AttemptResult(
                state=attempt.state, detail=f"{vm} is not known under this incarnation"
            )
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
        forward = Forward(
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
                with forward.link.in_use():
                    return await forward.run()
        except TimeoutError:
            return await forward.resolve_lost("the deadline passed", LATE_CANCEL_TIMEOUT_S)
        except (CallerGoneError, asyncio.CancelledError):
            await asyncio.shield(forward.cancel())
            raise


def _no_peer_refusal(region: str, has_refused: bool) -> Refusal:
    retry_at_unix_s = now_unix_s() + 1.0
    if has_refused:
        detail = f"every entry VM of {region} has refused the request"
        return refuse(ErrorKind.NO_CAPACITY, RunStatus.NO, detail, retry_at_unix_s)
    detail = f"no entry VM of {region} can be reached"
    return refuse(ErrorKind.HOME_UNREACHABLE, RunStatus.NO, detail, retry_at_unix_s)


@define(kw_only=True)
class Forward:
    """Run one forward and track its progress."""

    forwarder: PeerForwarder
    member: Member
    link: PeerLink
    request: GatewayRequest
    attempt: Attempt
    sink: AnswerSink
    is_claim: bool
    serial: int
    head_passed: bool = False
    progress: RelayProgress = field(factory=RelayProgress)
    # The result that the peer reported; a later loss of the connection doesn't change it.
    _final_result: AttemptResult | None = None

    async def run(self) -> AttemptResult:
        """Send the request, relay the answer and return the result."""
        try:
            with undo_grpclib_cancellations():
                await self._send_and_receive(await self.link.up_channel())
        except CONNECTION_ERRORS as error:
            if self._final_result is None:
                return await self._resume_or_resolve_lost(repr(error))
        assert self._final_result is not None
        return self._final_result

    async def _resume_or_resolve_lost(self, detail: str) -> AttemptResult:
        """Fetch the rest through any peer of the region, if the stream can be resumed."""
        if not self.progress.is_resumable:
            return await self.resolve_lost(detail)
        rest = self._resumption()
        await rest.release(self.member, self.serial)
        if not await rest.fetch():
            return await self.resolve_lost(detail)
        return await self._finish()

    def _resumption(self) -> ForwardResumption:
        message = self._message()
        message.request_id = self.progress.request_id or message.request_id
        message.ClearField("headers")
        message.ClearField("body")
        forwarder = self.forwarder
        return ForwardResumption(
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
            progress=self.progress,
        )

    async def resolve_lost(self, detail: str, within_s: float = CANCEL_TIMEOUT_S) -> AttemptResult:
        """Cancel the lost forward; without a definite answer of the peer it may have run."""
        if self.attempt.state is AttemptState.NOT_SENT:
            return self._result(detail)
        self.attempt.apply(AttemptEvent.LOSE)
        outcome = await wait_or_detach(self.cancel(), within_s, "unknown")
        if outcome == "not_run" and not self.head_passed:
            self.attempt.apply(AttemptEvent.CONFIRM_CANCELLED_UNRUN)
        return self._result(detail)

    async def cancel(self) -> str:
        """Cancel the request at the peer; return the outcome that the peer reports."""
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

    async def _send_and_receive(self, channel: Channel) -> None:
        metadata = self.forwarder.keys.metadata(self.forwarder.own.vm, FORWARD_PATH)
        message = self._message()
        async with PeerStub(channel).Forward.open(metadata=metadata) as stream:
            # The headers alone start nothing: the peer acts on the message that follows.
            await start_call(stream)
            self.attempt.apply(AttemptEvent.SEND)
            await stream.send_message(message, end=True)
            while self._final_result is None:
                event = await stream.recv_message()
                if event is None:
                    raise ConnectionError("the peer closed the stream before the end event")
                self._final_result = await self._handle_event(event)

    async def _handle_event(self, event: pb.ForwardEvent) -> AttemptResult | None:
        kind = event.WhichOneof("kind")
        if kind == "chunk":
            await self.progress.pass_on(event.chunk, self.sink)
            return None
        if kind == "head":
            await self._handle_head(event.head)
            return None
        if kind == "refusal":
            return self._handle_refusal(event.refusal)
        return await self._handle_end(event.end)

    async def _handle_head(self, head: pb.Head) -> None:
        self.attempt.apply(AttemptEvent.FIRST_BYTE)
        self.head_passed = True
        self.progress.observe_head(head, self.request.is_streamed)
        headers = tuple((each.name, each.value) for each in head.headers)
        await self.sink.head(AnswerHead(head.status, headers, head.server))

    async def _handle_end(self, end: pb.End) -> AttemptResult:
        if not end.complete:
            self.attempt.apply(AttemptEvent.LOSE)
            return self._result(end.detail)
        if not self.progress.may_be_complete:
            raise ConnectionError("the peer ended the stream before its end event")
        return await self._finish()

    async def _finish(self) -> AttemptResult:
        await self.sink.end(self.progress.last_events)
        self.attempt.apply(AttemptEvent.END)
        return self._result("")

    def _handle_refusal(self, message: pb.Refusal) -> AttemptResult:
        refusal = self._refusal(message)
        is_unrun = refusal.run is RunStatus.NO
        self.attempt.apply(AttemptEvent.REFUSE_UNRUN if is_unrun else AttemptEvent.LOSE)
        return self._result(refusal.detail, refusal)

    def _refusal(self, message: pb.Refusal) -> Refusal:
        offset_s = self.forwarder.table.clock_offset_s(self.member.vm)
        retry_at_unix_s = number_or_none(
            message.retry_at_unix_s - offset_s, now_unix_s() + MAX_RETRY_AHEAD_S
        )
        return Refusal(
            kind=KIND_BY_LABEL.get(message.kind, ErrorKind.OUTCOME_UNKNOWN),
            run=RunStatus(message.run),
            detail=message.detail,
            remedy=message.remedy,
            retry_at_unix_s=retry_at_unix_s if message.retry_at_unix_s else None,
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
