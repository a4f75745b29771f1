"""Fetch the rest of a forwarded stream through any live peer of the region that runs it."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, field
from grpclib.client import Channel

from pomelobarrow.decision.member import Member
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.dispatch.answers import END_EVENT, SERVER_SENT_EVENTS, AnswerSink
from pomelobarrow.dispatch.background import wait_or_detach
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.operators.traces import Traces
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import LOST, start_call, take_back_cancels
from pomelobarrow.peers.forward_cancel import cancel_forward
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.peers_grpc import PeerStub
from pomelobarrow.peers.table import PeerTable

RESUME_PATH = "/pomelobarrow.peers.v1.Peer/Resume"
EVENT_SEPARATOR = b"\n\n"
# Two peers tried three times each, a lost link's silence included, end well within the 30 s for
# which an engine keeps the work.
MAX_FRUITLESS_TRIES = 6
TRY_PAUSE_S = 0.3


@define
class Relayed:
    """Count what has gone to the caller of one forwarded stream."""

    # The server that runs it; empty where the answer is no stream of events.
    server: str = ""
    # The id under which that server holds it; empty where it is the forward's.
    request_id: str = ""
    whole_events: int = 0
    is_ended: bool = False

    def observe_head(self, head: pb.Head, is_streamed: bool) -> None:
        """Note whether the answer is a stream that can be resumed."""
        content_types = {h.value for h in head.headers if h.name.lower() == "content-type"}
        is_stream = is_streamed and head.status == 200 and SERVER_SENT_EVENTS in content_types
        self.server = head.server if is_stream else ""
        self.request_id = head.request_id

    def observe_chunk(self, data: bytes) -> None:
        """Count the events; the executing VM sends whole ones only."""
        self.whole_events += data.count(EVENT_SEPARATOR)
        self.is_ended = data.endswith(END_EVENT)

    @property
    def is_resumable(self) -> bool:
        """Tell whether the rest can be asked for."""
        return bool(self.server)


@define(kw_only=True)
class RestOfForward:
    """Hold the search for a peer that brings the rest; one relay at a time."""

    own: Member
    view: MembershipView
    table: PeerTable
    keys: PeerKeys
    traces: Traces
    rng: Random
    next_serial: Callable[[], int]
    region: str
    message: pb.ForwardRequest
    sink: AnswerSink
    relayed: Relayed
    _tried: set[str] = field(factory=set)

    async def fetch(self) -> bool:
        """Relay the rest; False where no peer brought it."""
        fruitless = 0
        while not self.relayed.is_ended and fruitless < MAX_FRUITLESS_TRIES:
            events_before = self.relayed.whole_events
            if await self._try_next():
                return True
            fruitless = fruitless + 1 if self.relayed.whole_events == events_before else 0
            await asyncio.sleep(TRY_PAUSE_S)
        # Only the word that it is whole was lost.
        return self.relayed.is_ended

    async def _try_next(self) -> bool:
        members = self.view.usable_entries(self.region, now_unix_s())
        if not members:
            return False
        if self._tried.issuperset(each.vm for each in members):
            self._tried.clear()
        member = min(members, key=self._order)
        self._tried.add(member.vm)
        with self.traces.span("resume", self.message.traceparent, peer=member.vm) as span:
            is_whole = await self._try(member)
            span.set("outcome", "whole" if is_whole else "lost")
            return is_whole

    def _order(self, member: Member) -> tuple[bool, bool, float]:
        return member.vm in self._tried, not self.table.is_linked(member.vm), self.rng.random()

    async def _try(self, member: Member) -> bool:
        link = await self.table.link_to(member)
        self.message.serial = self.next_serial()
        try:
            with link.in_use(), take_back_cancels():
                return await self._relay(await link.up_channel())
        except LOST:
            await self.release(member, self.message.serial)
            return False

    async def release(self, member: Member, serial: int) -> None:
        """Let a peer whose relay was lost end it without cancelling the server's work.

        On a silent connection it would wait with its half-sent answer until the deadline, and
        hold up its own planned stop.
        """
        link = await self.table.link_to(member)
        message = pb.CancelRequest(
            request_id=self.message.request_id,
            forwarded_by=self.own.vm,
            executor_incarnation=member.incarnation,
            forwarded_by_incarnation=self.own.incarnation,
            serial=serial,
            deadline_unix_s=self.message.deadline_unix_s,
            keeps_work=True,
        )
        await wait_or_detach(cancel_forward(link, self.keys, message), 0.0, "")

    async def _relay(self, channel: Channel) -> bool:
        metadata = self.keys.metadata(self.own.vm, RESUME_PATH)
        request = pb.ResumeRequest(
            request=self.message,
            server=self.relayed.server,
            from_event=self.relayed.whole_events,
        )
        async with PeerStub(channel).Resume.open(metadata=metadata) as stream:
            await start_call(stream)
            await stream.send_message(request, end=True)
            while (event := await stream.recv_message()) is not None:
                kind = event.WhichOneof("kind")
                if kind == "chunk":
                    self.relayed.observe_chunk(event.chunk)
                    await self.sink.chunk(event.chunk)
                elif kind != "head":
                    return kind == "end" and event.end.complete
        return False
