"""Fetch the rest of a forwarded stream through any live peer of the region that runs it."""

import asyncio
from collections.abc import Callable
from random import Random

from attrs import define, field
from grpclib.client import Channel

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.streams.event_counter import EventCounter
from pomelobarrow.decision.streams.server_sent_events import EventTooLargeError
from pomelobarrow.dispatch.answers import SERVER_SENT_EVENTS, AnswerSink
from pomelobarrow.dispatch.background import wait_or_detach
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.operators.traces import Traces
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import CONNECTION_ERRORS, start_call, undo_grpclib_cancellations
from pomelobarrow.peers.forward_cancel import cancel_forward
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.peers_grpc import PeerStub
from pomelobarrow.peers.table import PeerTable

RESUME_PATH = "/pomelobarrow.peers.v1.Peer/Resume"
# Three tries with each of two peers, including the time to detect a lost link, end well within the
# 30 s for which an engine keeps the work.
MAX_TRIES_WITHOUT_PROGRESS = 6
TRY_PAUSE_S = 0.3


@define
class RelayProgress:
    """Track how much of one forwarded stream has been sent to the caller."""

    # The server that runs the request; empty if the answer isn't an event stream.
    server: str = ""
    # The id under which that server holds the request; empty if it is the id of the forward.
    request_id: str = ""
    counter: EventCounter = field(factory=EventCounter)
    # Held back until the answer is known to be complete.
    last_events: bytes = b""

    def observe_head(self, head: pb.Head, is_streamed: bool) -> None:
        """Record whether the answer is a stream that can be resumed."""
        content_types = {h.value for h in head.headers if h.name.lower() == "content-type"}
        is_stream = is_streamed and head.status == 200 and SERVER_SENT_EVENTS in content_types
        self.server = head.server if is_stream else ""
        self.request_id = head.request_id

    async def pass_on(self, data: bytes, sink: AnswerSink) -> None:
        """Send bytes to the caller, and count the events if they are of a stream."""
        if not self.is_resumable:
            await sink.chunk(data)
            return
        try:
            events = b"".join(self.counter.feed(data))
        except EventTooLargeError as error:
            raise ConnectionError(str(error)) from error
        if not events:
            return
        if self.counter.is_ended:
            self.last_events = events
        else:
            await sink.chunk(events)

    @property
    def is_resumable(self) -> bool:
        """Return whether the rest of the stream can be fetched."""
        return bool(self.server)

    @property
    def may_be_complete(self) -> bool:
        """Return whether a peer may state now that the answer is complete."""
        return self.counter.is_ended or not self.is_resumable


@define(kw_only=True)
class ForwardResumption:
    """Fetch the rest of a stream from one peer after another until one delivers it."""

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
    progress: RelayProgress
    _tried: set[str] = field(factory=set)

    async def fetch(self) -> bool:
        """Relay the rest of the stream; return False if no peer delivered it."""
        tries_without_progress = 0
        counter = self.progress.counter
        while not counter.is_ended and tries_without_progress < MAX_TRIES_WITHOUT_PROGRESS:
            events_before = counter.complete_events
            if await self._try_next():
                return True
            tries_without_progress = (
                tries_without_progress + 1 if counter.complete_events == events_before else 0
            )
            await asyncio.sleep(TRY_PAUSE_S)
        # If the last event was received, only the message that confirms the end was lost.
        return counter.is_ended

    async def _try_next(self) -> bool:
        members = self.view.usable_entries(self.region, now_unix_s())
        if not members:
            return False
        if self._tried.issuperset(each.vm for each in members):
            self._tried.clear()
        member = min(members, key=self._order)
        self._tried.add(member.vm)
        with self.traces.span("resume", self.message.traceparent, peer=member.vm) as span:
            is_complete = await self._try(member)
            span.set("outcome", "whole" if is_complete else "lost")
            return is_complete

    def _order(self, member: Member) -> tuple[bool, bool, float]:
        return member.vm in self._tried, not self.table.is_linked(member.vm), self.rng.random()

    async def _try(self, member: Member) -> bool:
        link = await self.table.link_to(member)
        self.message.serial = self.next_serial()
        try:
            with link.in_use(), undo_grpclib_cancellations():
                return await self._relay(await link.up_channel())
        except CONNECTION_ERRORS:
            await self.release(member, self.message.serial)
            return False

    async def release(self, member: Member, serial: int) -> None:
        """Have a peer end a relay that was lost, without cancelling the server's work.

        On a connection that stopped responding, the peer would otherwise hold its partly sent
        answer until the deadline, which would delay its own planned stop.
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
        self.progress.counter.drop_partial()
        request = pb.ResumeRequest(
            request=self.message,
            server=self.progress.server,
            from_event=self.progress.counter.complete_events,
        )
        async with PeerStub(channel).Resume.open(metadata=metadata) as stream:
            await start_call(stream)
            await stream.send_message(request, end=True)
            while (event := await stream.recv_message()) is not None:
                kind = event.WhichOneof("kind")
                if kind == "chunk":
                    await self.progress.pass_on(event.chunk, self.sink)
                elif kind != "head":
                    is_complete = kind == "end" and event.end.complete
                    return is_complete and self.progress.may_be_complete
        return False
