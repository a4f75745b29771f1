"""Send a request once, to a backend server or a peer, and bring its answer back."""

import asyncio
from collections.abc import Callable

import aiohttp
from attrs import define, field, frozen
from yarl import URL

from pomelobarrow.backends.engine import CONNECTION_ERRORS
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.attempt import UNRUN_STATES, Attempt, AttemptEvent, AttemptState
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.event_splitter import EventSplitter
from pomelobarrow.relay.messages import (
    AttemptEnd,
    AttemptReport,
    Headers,
    RelayRequest,
    ServerAnswerHead,
    WholeAnswer,
)

# aiohttp would add these; the server is to see what the client sent.
SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
STATUS_OK = 200


@frozen(kw_only=True)
class Target:
    """Say where a request is sent, with which headers and how the answer's head reads."""

    name: str
    address: str
    headers: Callable[[], Headers]
    read_answer: Callable[[aiohttp.ClientResponse], ServerAnswerHead]
    connect_timeout_s: float


@frozen(kw_only=True)
class Patience:
    """Say how long to wait for a server's first answer, and whether another may be tried then.

    Asked only when the time has passed: many requests wait for one server at a time, and what was
    free for each of them when it was sent is enough for a few. The others, given up with no second
    attempt left to them, would fail where waiting may still bring an answer.
    """

    lasts_s: float
    may_give_up: Callable[[], bool]


@define(kw_only=True)
class RelayAttempt:
    """Hold what one sending of a request has brought so far."""

    sessions: BackendSessions
    request: RelayRequest
    target: Target
    sink: ClientAnswer
    splitter: EventSplitter
    on_first_answer: Callable[[ServerAnswerHead], None]
    on_pause: Callable[[float], None] = lambda pause_s: None
    on_head: Callable[[ServerAnswerHead], None] = lambda head: None
    patience: Patience | None = None
    state: Attempt = field(factory=Attempt)
    first_answer_unix_s: float | None = None
    # The longest time between two events, for logs.
    longest_pause_s: float = 0.0
    _last_events_unix_s: float | None = field(default=None, init=False)
    _giving_up: asyncio.Timeout | None = field(default=None, init=False)
    _alarm: asyncio.TimerHandle | None = field(default=None, init=False)

    @property
    def is_surely_unrun(self) -> bool:
        """Say whether the request can't have run in this attempt."""
        return self.state.state in UNRUN_STATES

    async def run(self) -> AttemptReport:
        """Send once; nothing is sent again below this level."""
        self.splitter.restart()
        try:
            async with asyncio.timeout(None) as self._giving_up:
                self._set_alarm()
                return await self._exchange()
        except CONNECTION_ERRORS as error:
            return self._lost(repr(error), is_closed=not isinstance(error, TimeoutError))
        finally:
            self._stop_alarm()

    def _set_alarm(self) -> None:
        if self.patience is not None:
            loop = asyncio.get_running_loop()
            self._alarm = loop.call_later(self.patience.lasts_s, self._lose_patience)

    def _stop_alarm(self) -> None:
        if self._alarm is not None:
            self._alarm.cancel()
            self._alarm = None

    def _lose_patience(self) -> None:
        """Give up on a silent server where another may be tried now, else wait on."""
        assert self.patience is not None
        assert self._giving_up is not None
        if self.patience.may_give_up():
            self._giving_up.reschedule(asyncio.get_running_loop().time())
        else:
            self._set_alarm()

    async def _exchange(self) -> AttemptReport:
        request = self.request
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=self.target.connect_timeout_s)
        # A kept connection may have been forgotten by the other end, or still hold a late answer
        # to an earlier request. A new one costs a round trip and has neither fault.
        async with self.sessions.fresh.request(
            request.method,
            URL(self.sessions.url(self.target.address, request.target), encoded=True),
            data=request.body or None,
            headers=self.target.headers(),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=lambda: self.state.apply(AttemptEvent.SEND),
        ) as response:
            head = self.target.read_answer(response)
            self.on_head(head)
            if head.is_not_run:
                self.state.apply(AttemptEvent.REFUSE_UNRUN)
                return self._report(_unrun_end(head), f"status {head.status}")
            if fault := self._fault(head):
                return self._lost(fault)
            if request.route.is_stream and head.status == STATUS_OK:
                return await self._pass_events(response, head)
            return await self._read_whole(response, head)

    def _fault(self, head: ServerAnswerHead) -> str:
        """Return why an answer can't be the one to this request, or nothing."""
        if head.lost_detail:
            return head.lost_detail
        # A faulty server may send another request's answer, or bytes that only look like one.
        if head.request_id != self.request.head.request_id:
            return "the answer belongs to another request"
        if head.is_success and not head.is_sealed:
            return "the answer is not the server's own"
        return ""

    async def _read_whole(
        self, response: aiohttp.ClientResponse, head: ServerAnswerHead
    ) -> AttemptReport:
        body = await response.read()
        self._note_first_answer(head)
        self.state.apply(AttemptEvent.END)
        return self._report(AttemptEnd.ANSWERED, answer=WholeAnswer(head=head, body=body))

    async def _pass_events(
        self, response: aiohttp.ClientResponse, head: ServerAnswerHead
    ) -> AttemptReport:
        async for data in response.content.iter_any():
            events = self.splitter.feed(data)
            if not events:
                continue
            self._note_first_answer(head)
            self._note_pause()
            # A resumed stream keeps the head that the client already has.
            if not self.sink.is_started:
                await self.sink.open(head.status, head.headers)
            await self.sink.send(events)
        if not self.splitter.is_between_events:
            return self._lost("the stream ended in the middle of an event")
        if not self.sink.is_started:
            return self._lost("the stream held no event")
        await self.sink.finish()
        self.state.apply(AttemptEvent.END)
        return self._report(AttemptEnd.PASSED_ON)

    def _note_first_answer(self, head: ServerAnswerHead) -> None:
        if self.first_answer_unix_s is None:
            self.first_answer_unix_s = now_unix_s()
            self._stop_alarm()
            self.state.apply(AttemptEvent.FIRST_BYTE)
            self.on_first_answer(head)

    def _note_pause(self) -> None:
        now = now_unix_s()
        if self._last_events_unix_s is not None:
            pause_s = now - self._last_events_unix_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
            self.on_pause(pause_s)
        self._last_events_unix_s = now

    def _lost(self, detail: str, is_closed: bool = False) -> AttemptReport:
        self.state.apply(AttemptEvent.LOSE)
        if self.state.state is AttemptState.NOT_SENT:
            return self._report(AttemptEnd.NOT_SENT, detail)
        return self._report(AttemptEnd.LOST, detail, is_closed=is_closed)

    def _report(
        self,
        end: AttemptEnd,
        detail: str = "",
        answer: WholeAnswer | None = None,
        is_closed: bool = False,
    ) -> AttemptReport:
        return AttemptReport(
            end=end,
            detail=detail,
            is_closed=is_closed,
            answer=answer,
            first_answer_unix_s=self.first_answer_unix_s,
            longest_pause_s=self.longest_pause_s,
        )


def _unrun_end(head: ServerAnswerHead) -> AttemptEnd:
    if head.is_blocked:
        return AttemptEnd.BLOCKED
    return AttemptEnd.TURNED_BACK if head.is_unsent else AttemptEnd.REFUSED
