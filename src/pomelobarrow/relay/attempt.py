"""Send a request once, to a backend server or a peer, and return its answer."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from attrs import define, evolve, field, frozen

from pomelobarrow.backends.answer_buffers import AnswerBuffer
from pomelobarrow.backends.answer_limits import UNRESERVED_ANSWER_BYTES, AnswerTooLargeError
from pomelobarrow.backends.engine import CONNECTION_ERRORS
from pomelobarrow.backends.sessions import (
    BackendSessions,
    WithheldError,
    describe_error,
    is_connection_refused,
)
from pomelobarrow.backends.single_use import (
    CUT_BY_ITS_END,
    END_UNCONFIRMED,
    BodyEnd,
    ResponseHead,
    SingleExchange,
    SingleRequest,
)
from pomelobarrow.decision.published.announcements import ServerAnnouncement
from pomelobarrow.decision.requests.attempt import AttemptEvent, AttemptState
from pomelobarrow.decision.requests.attempt_states import AttemptEnd, AttemptRecord
from pomelobarrow.decision.servers.process_state import ProcessState
from pomelobarrow.decision.streams.server_sent_events import EventSplitter, EventTooLargeError
from pomelobarrow.decision.streams.stream_position import JoinError, StreamPosition
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.messages import (
    AttemptReport,
    Headers,
    RelayRequest,
    ServerAnswerHead,
    WholeAnswer,
)

STATUS_OK = 200
EVENT = "event"


@frozen(kw_only=True)
class Target:
    """Describe where to send a request, with which headers, and how to parse the answer's head."""

    name: str
    address: str
    headers: Callable[[], Headers]
    read_answer: Callable[[ResponseHead], ServerAnswerHead]
    connect_timeout_s: float


@frozen(kw_only=True)
class FirstAnswerTimeout:
    """Limit the wait for a server's first answer where another server may be tried.

    `may_give_up` is called only when the limit has passed. Many requests may wait for one server at
    a time, and the retry budget that each found free when it was sent covers only a few of them. A
    request given up without a retry left fails, although waiting may still bring an answer.
    """

    limit_s: float
    may_give_up: Callable[[], bool]


@define(kw_only=True)
class RelayAttempt:
    """Send a request to one target and track the state of the answer."""

    record: AttemptRecord
    sessions: BackendSessions
    request: RelayRequest
    target: Target
    sink: ClientAnswer
    position: StreamPosition
    buffer: AnswerBuffer
    on_first_answer: Callable[[ServerAnswerHead], None]
    on_pause: Callable[[float], None] = lambda pause_s: None
    on_head: Callable[[ServerAnswerHead], None] = lambda head: None
    first_answer_timeout: FirstAnswerTimeout | None = None
    # Returns why events of this answer don't fit the stream; empty if they do.
    join_fault: Callable[[ServerAnswerHead], str] = lambda head: ""
    # Called before the client gets the first event of this answer.
    on_first_event: Callable[[ServerAnswerHead], None] = lambda head: None
    # Returns whether the target still takes requests, asked when the connection is open.
    may_send: Callable[[], bool] = lambda: True
    # Probes the target's process; None if the target marks the end of each answer.
    check_server: Callable[[], Awaitable[ProcessState]] | None = None
    first_answer_unix_s: float | None = None
    # The longest time between two events; for logs.
    longest_pause_s: float = 0.0
    _last_events_unix_s: float | None = field(default=None, init=False)
    _timeout_scope: asyncio.Timeout | None = field(default=None, init=False)
    _timer: asyncio.TimerHandle | None = field(default=None, init=False)
    _head: ServerAnswerHead | None = field(default=None, init=False)
    _body_end: BodyEnd = field(default=BodyEnd.UNKNOWN, init=False)
    _is_join_rejected: bool = field(default=False, init=False)

    async def run(self) -> AttemptReport:
        """Send the request once; no lower layer retries it."""
        self.position.begin_run()
        try:
            async with asyncio.timeout(None) as self._timeout_scope:
                self._start_timer()
                return await self._exchange()
        except WithheldError as error:
            return self._report(AttemptEnd.WITHHELD, str(error))
        except JoinError as error:
            self._is_join_rejected = True
            return self._lost(str(error))
        except AnswerTooLargeError as error:
            return self._lost(str(error), over_limit=error.part)
        except EventTooLargeError as error:
            return self._lost(str(error), over_limit=EVENT)
        except CONNECTION_ERRORS as error:
            return self._lost(
                describe_error(error),
                is_closed=not isinstance(error, TimeoutError),
                is_connection_refused=is_connection_refused(error),
            )
        finally:
            self._cancel_timer()

    def give_up(self) -> AttemptReport:
        """Report an attempt that was cancelled."""
        return self._report(self.record.end, "given up")

    def _start_timer(self) -> None:
        if self.first_answer_timeout is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self.first_answer_timeout.limit_s, self._on_time_limit)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _keep_waiting(self) -> None:
        """Cancel the limit, also if it has just passed, in the step in which the answer came."""
        self._cancel_timer()
        # An HTTP client whose own time limit ends in the same step takes the cancellation for that.
        if self._timeout_scope is not None and not self._timeout_scope.expired():
            self._timeout_scope.reschedule(None)

    def _on_time_limit(self) -> None:
        """Give up on a silent server if another may be tried now; otherwise keep waiting."""
        assert self.first_answer_timeout is not None
        assert self._timeout_scope is not None
        if self.first_answer_timeout.may_give_up():
            self._timeout_scope.reschedule(asyncio.get_running_loop().time())
        else:
            self._start_timer()

    async def _exchange(self) -> AttemptReport:
        # A pooled connection may have been dropped by the other end, or may still carry a late
        # answer to an earlier request. A new one costs one round trip and avoids both.
        exchange = SingleExchange(
            request=self._outgoing(),
            connect_timeout_s=self.target.connect_timeout_s,
            on_send=self._begin_sending,
        )
        try:
            return await self._read_answer(await exchange.start())
        finally:
            exchange.close()

    def _outgoing(self) -> SingleRequest:
        request = self.request
        return SingleRequest(
            method=request.method,
            address=self.sessions.dialled(self.target.address),
            target=request.target,
            headers=self.target.headers(),
            body=request.body,
        )

    async def _read_answer(self, response: ResponseHead) -> AttemptReport:
        head = self.target.read_answer(response)
        self._body_end = response.body_end
        is_unrun = head.is_not_run and head.request_id in ("", self.request.head.request_id)
        fault = "" if is_unrun else self._fault(head)
        # Of an answer that belongs to another request or is spoiled, any number may be wrong.
        self._head = evolve(head, counts=None) if fault else head
        self.on_head(self._head)
        if is_unrun:
            self.record.progress.apply(AttemptEvent.REFUSE_UNRUN)
            return self._report(_unrun_end(head), _unrun_detail(head))
        if fault:
            return self._lost(fault)
        is_stream = self.request.route.is_stream and head.status == STATUS_OK
        if is_stream and response.body_end is not BodyEnd.HEAD:
            if fault := self.join_fault(head):
                return self._lost(fault)
            return await self._forward_events(response, head)
        return await self._read_complete(response, head)

    def _begin_sending(self) -> None:
        if not self.may_send():
            raise WithheldError
        self.record.progress.apply(AttemptEvent.SEND)

    def _fault(self, head: ServerAnswerHead) -> str:
        """Return why an answer can't belong to this request; empty if it can."""
        if head.lost_detail:
            return head.lost_detail
        # A faulty server may send the answer to another request, or bytes that only resemble one.
        if head.request_id != self.request.head.request_id:
            return "the answer carries the id of another request"
        if head.is_success and not head.is_sealed:
            return "the successful answer carries no seal of the backend server"
        return ""

    async def _read_complete(self, response: ResponseHead, head: ServerAnswerHead) -> AttemptReport:
        body_parts = await self.buffer.read(response.content, response.stated_bytes)
        if cut := await self._cut(response):
            return cut
        self._note_first_answer(head)
        self.record.progress.apply(AttemptEvent.END)
        return self._report(
            AttemptEnd.ANSWERED, answer=WholeAnswer(head=head, body_parts=body_parts)
        )

    async def _forward_events(
        self, response: ResponseHead, head: ServerAnswerHead
    ) -> AttemptReport:
        splitter = EventSplitter()
        # An attempt before may have ended within a large event.
        was_large = True
        while data := await response.content.readany():
            events: Sequence[bytes] = splitter.feed(data)
            if events and not self.position.is_join_checked:
                self._keep_waiting()
                events = self.position.select_new(events)
            if events:
                await self._pass_on(events, head)
            is_large = splitter.held_bytes > UNRESERVED_ANSWER_BYTES
            # Until there is memory for more of a large event, its server is held back.
            if is_large:
                await self.buffer.reserve(splitter.held_bytes)
            elif was_large:
                self.buffer.release()
            was_large = is_large
        return await self._end_stream(response, head, splitter)

    async def _end_stream(
        self, response: ResponseHead, head: ServerAnswerHead, splitter: EventSplitter
    ) -> AttemptReport:
        """Complete the client's answer if the connection ended behind the last event."""
        if not splitter.is_between_events:
            return self._lost("the stream ended in the middle of an event", is_closed=True)
        if not self.sink.is_started and not self.position.last_id:
            return self._lost("the stream ended before its first event", is_closed=True)
        # If nothing was missing, the server that the stream goes on at adds nothing.
        if cut := await self._cut(response):
            return cut
        if held := self.position.release_held():
            await self._pass_on(held, head)
        # The client had all events before it took the stream up.
        if not self.sink.is_started:
            self._note_first_answer(head)
            await self.sink.open(head.status, head.headers)
        await self.sink.finish(splitter.rest)
        self.record.progress.apply(AttemptEvent.END)
        return self._report(AttemptEnd.PASSED_ON)

    async def _pass_on(self, events: Sequence[bytes], head: ServerAnswerHead) -> None:
        """Send events to the client."""
        if self.first_answer_unix_s is None:
            self.on_first_event(head)
        self._note_first_answer(head)
        self._note_pause()
        # The client already has the head of a resumed stream.
        if not self.sink.is_started:
            await self.sink.open(head.status, head.headers)
        # Recorded first, since a cancelled write has given the events to the connection already.
        self.position.note_sent(events)
        await self.sink.send(events[0] if len(events) == 1 else b"".join(events))

    async def _cut(self, response: ResponseHead) -> AttemptReport | None:
        """Report an answer as lost unless its end is marked or its server is known to run.

        The connections of a process that is killed close like that of a complete answer.
        """
        if response.body_end is not BodyEnd.CONNECTION:
            return None
        state = await self.check_server() if self.check_server else ProcessState.UNKNOWN
        if state is ProcessState.RUNNING:
            return None
        if state is ProcessState.ENDED:
            return self._lost(CUT_BY_ITS_END, is_closed=True)
        return self._lost(END_UNCONFIRMED)

    def _note_first_answer(self, head: ServerAnswerHead) -> None:
        if self.first_answer_unix_s is None:
            self.first_answer_unix_s = now_unix_s()
            self._keep_waiting()
            self.record.progress.apply(AttemptEvent.FIRST_BYTE)
            self.on_first_answer(head)

    def _note_pause(self) -> None:
        now = now_unix_s()
        if self._last_events_unix_s is not None:
            pause_s = now - self._last_events_unix_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
            self.on_pause(pause_s)
        self._last_events_unix_s = now

    def _lost(
        self,
        detail: str,
        is_closed: bool = False,
        is_connection_refused: bool = False,
        over_limit: str = "",
    ) -> AttemptReport:
        self.record.progress.apply(AttemptEvent.LOSE)
        if self.record.progress.state is AttemptState.NOT_SENT:
            return self._report(
                AttemptEnd.NOT_SENT, detail, is_connection_refused=is_connection_refused
            )
        return self._report(AttemptEnd.LOST, detail, is_closed=is_closed, over_limit=over_limit)

    def _report(
        self,
        end: AttemptEnd,
        detail: str = "",
        answer: WholeAnswer | None = None,
        is_closed: bool = False,
        is_connection_refused: bool = False,
        over_limit: str = "",
    ) -> AttemptReport:
        head = self._head
        self.record.final_end = end
        return AttemptReport(
            end=end,
            detail=detail,
            is_closed=is_closed,
            is_connection_refused=is_connection_refused,
            over_limit=over_limit,
            answer=answer,
            has_head=head is not None,
            is_pool_unreachable=head is not None and head.is_pool_unreachable,
            first_answer_unix_s=self.first_answer_unix_s,
            longest_pause_s=self.longest_pause_s,
            stream=self.position.run,
            body_end=self._body_end,
            is_join_rejected=self._is_join_rejected,
            announced=head.announced if head is not None else ServerAnnouncement(),
        )


def _unrun_end(head: ServerAnswerHead) -> AttemptEnd:
    if head.is_blocked:
        return AttemptEnd.BLOCKED
    return AttemptEnd.REFUSED_UNSENT if head.is_unsent else AttemptEnd.REFUSED


def _unrun_detail(head: ServerAnswerHead) -> str:
    reason = ": the peer reaches no server of the pool" if head.is_pool_unreachable else ""
    return f"status {head.status}{reason}"
