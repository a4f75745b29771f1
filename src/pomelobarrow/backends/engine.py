"""Run one attempt on an engine: send, relay the stream, resume it, cancel it."""

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping

import aiohttp
import orjson
from attrs import define, field

from pomelobarrow.backends.answer_buffers import AnswerBuffer, read_limited
from pomelobarrow.backends.answer_limits import AnswerTooLargeError
from pomelobarrow.backends.end_check import RunningCheck, is_maybe_cut
from pomelobarrow.backends.sessions import (
    CONNECT_TIMEOUT_S,
    BackendSessions,
    WithheldError,
    describe_error,
)
from pomelobarrow.backends.single_use import END_UNCONFIRMED
from pomelobarrow.backends.whole_answer import WholeAnswer
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.requests.attempt import Attempt, AttemptEvent, AttemptState
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.streams.event_counter import EventCounter
from pomelobarrow.decision.streams.server_sent_events import EventTooLargeError
from pomelobarrow.dispatch.answers import (
    SERVER_SENT_EVENTS,
    AnswerHead,
    AnswerSink,
    AttemptResult,
    CallerGoneError,
)
from pomelobarrow.dispatch.background import wait_or_detach
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s

CHAT_PATH = "/v1/chat/completions"
PRIORITY_BY_RANK = {Rank.PAYING: "0", Rank.TRIAL: "1"}
# A connection whose state a network device has dropped delivers neither bytes nor an error.
# Engines step every few milliseconds, so a silence this long means a lost connection or a failed
# engine, never a slow token.
NEXT_BYTE_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 1.0
# Past the deadline, the caller waits at most this long for the engine to confirm a cancellation.
LATE_CANCEL_TIMEOUT_S = 0.2
MAX_RESUMES = 3
RESUME_DELAY_S = 0.2
NOT_RUN = "not_run"
UNKNOWN = "unknown"
# Allows for a step of this VM's clock between sending the request and cancelling it.
UPTIME_MARGIN_S = 1.0
STREAM_HEADERS = (("Content-Type", SERVER_SENT_EVENTS), ("Cache-Control", "no-cache"))
JSON_HEADERS = (("Content-Type", "application/json"),)
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@define(kw_only=True)
class EngineAttempt:
    """Run one attempt on one engine and track its progress."""

    sessions: BackendSessions
    request: GatewayRequest
    server: BackendServer
    attempt: Attempt
    number: int
    sink: AnswerSink
    on_first_byte: Callable[[], None]
    # Takes the status and the headers of the answer.
    on_head: Callable[[int, Mapping[str, str]], None] = lambda status, headers: None
    # Returns whether the server still takes requests, asked when the connection is open.
    may_send: Callable[[], bool] = lambda: True
    # Returns whether the process of a server runs; None if only a whole answer ends unmarked.
    is_running: RunningCheck | None = None
    counter: EventCounter = field(factory=EventCounter)
    whole: WholeAnswer | None = None
    head_passed: bool = False
    sent_unix_s: float = 0.0
    # Held back until the answer is known to be complete.
    _last_events: bytes = field(default=b"", init=False)
    # True if another VM has sent the request and only the remaining events are fetched here.
    is_continuation: bool = False
    _buffer: AnswerBuffer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._buffer = AnswerBuffer(buffers=self.sessions.buffers)

    async def run(self) -> AttemptResult:
        """Run the attempt to its end; cancel the engine's work if the caller disconnects."""
        if not self.request.is_streamed:
            self.whole = WholeAnswer()
        try:
            async with asyncio.timeout(self._remaining_s()):
                if self.is_continuation:
                    return await self._resume_until_ended()
                return await self._send_and_relay()
        except TimeoutError:
            return await self._give_up("the deadline passed", LATE_CANCEL_TIMEOUT_S)
        except AnswerTooLargeError as error:
            return await self._give_up(f"{error}: ask for a stream")
        except EventTooLargeError as error:
            return await self._give_up(str(error))
        except (CallerGoneError, asyncio.CancelledError):
            if not self._may_be_resumed():
                await asyncio.shield(self._give_up("the caller disconnected"))
            raise
        finally:
            self._buffer.release()

    def _may_be_resumed(self) -> bool:
        """Return whether the entry VM may fetch the remaining events through another VM.

        If the link to the entry VM is lost, its caller may still be connected. Cancelling here
        would make the engine send an error to the other VM in the middle of the answer. The
        engine drops a request that nobody reads for 30 s, and unlike a single VM it sees all
        readers.
        """
        is_begun = self.is_continuation or (self.head_passed and self.request.is_streamed)
        return is_begun and self.request.is_link_lost()

    async def _send_and_relay(self) -> AttemptResult:
        try:
            refused = await self._send()
            if refused is not None:
                return refused
        except WithheldError as error:
            return self._result(str(error))
        except AnswerTooLargeError:
            raise
        except CONNECTION_ERRORS as error:
            if self.attempt.state is AttemptState.NOT_SENT:
                return self._result(f"connection failed: {describe_error(error)}")
        return await self._resume_until_ended()

    async def _send(self) -> AttemptResult | None:
        session = self.sessions.for_request(self.request.work.repeatable)
        async with session.post(
            self.sessions.url(self.server.address, CHAT_PATH),
            data=_streaming_body(self.request),
            headers=self._headers(),
            timeout=_timeout(),
            allow_redirects=False,
            trace_request_ctx=self._begin_sending,
        ) as response:
            self.on_head(response.status, response.headers)
            if response.status != 200:
                return await self._handle_error_status(response)
            self.attempt.apply(AttemptEvent.FIRST_BYTE)
            await self._relay(response.content.iter_any())
        return None

    async def _handle_error_status(self, response: aiohttp.ClientResponse) -> AttemptResult:
        """End the attempt on an error status.

        A 4xx answer is passed on. For any other status the outcome is unknown, unless the engine
        states that the request did not run.
        """
        body = b"".join(await self._buffer.read(response.content))
        if states_not_run(response.status, body):
            self.attempt.apply(AttemptEvent.REFUSE_UNRUN)
            return self._result(f"refused with {response.status}")
        if not 400 <= response.status < 500:
            return self._unknown_result(f"answered {response.status}")
        if self.is_running and await is_maybe_cut(response, self.server, self.is_running):
            return self._unknown_result(END_UNCONFIRMED)
        self.attempt.apply(AttemptEvent.FIRST_BYTE)
        await self._pass_head(response.status, JSON_HEADERS)
        await self.sink.chunk(body)
        return await self._finish()

    async def _relay(self, chunks: AsyncIterator[bytes]) -> None:
        counter = self.counter
        async for data in chunks:
            events = counter.feed(data)
            if not events:
                continue
            if self.whole is not None:
                await self._buffer.reserve(self.whole.size_bytes + sum(map(len, events)))
                self.whole.feed(events)
                continue
            if not self.head_passed:
                await self._pass_head(200, STREAM_HEADERS)
            passed = b"".join(events)
            if counter.is_ended:
                self._last_events = passed
            else:
                await self.sink.chunk(passed)

    async def _resume_until_ended(self) -> AttemptResult:
        """Fetch the remaining events from the same engine, which never runs the request again."""
        # Only resumes without new events count, as a long stream may be interrupted many times.
        empty_resumes = 0
        while not self.counter.is_ended and empty_resumes < MAX_RESUMES:
            events_before = self.counter.complete_events
            if not await self._resume():
                break
            empty_resumes = 0 if self.counter.complete_events > events_before else empty_resumes + 1
        if self.counter.is_ended:
            return await self._finish()
        reason = "the stream broke off and could not be resumed"
        # Another VM may still reach the engine and resume, so its work isn't cancelled then.
        return self._unknown_result(reason) if self.is_continuation else await self._give_up(reason)

    async def _resume(self) -> bool:
        self.counter.drop_partial()
        path = f"/v1/requests/{self.request.work.request_id}/events"
        params = {"offset": str(self.counter.complete_events)}
        try:
            async with self.sessions.fresh.get(
                self.sessions.url(self.server.address, path), params=params, timeout=_timeout()
            ) as response:
                if response.status != 200:
                    return False
                if self.attempt.state is AttemptState.SENT:
                    self.attempt.apply(AttemptEvent.FIRST_BYTE)
                await self._relay(response.content.iter_any())
                return True
        except AnswerTooLargeError:
            raise
        except CONNECTION_ERRORS:
            await asyncio.sleep(RESUME_DELAY_S)
            return True

    async def _give_up(self, reason: str, timeout_s: float = CANCEL_TIMEOUT_S) -> AttemptResult:
        """Cancel the engine's work; report "not run" only if the engine confirms it."""
        outcome = await wait_or_detach(self._cancel(), timeout_s, UNKNOWN)
        if outcome == NOT_RUN and self.attempt.state is AttemptState.SENT:
            self.attempt.apply(AttemptEvent.CONFIRM_CANCELLED_UNRUN)
            return self._result(f"{reason}; cancelled before it ran")
        return self._unknown_result(reason)

    async def _finish(self) -> AttemptResult:
        last = self._last_events
        if self.whole is not None and not self.head_passed:
            last = self.whole.body()
            await self._pass_head(200, (*JSON_HEADERS, ("Content-Length", str(len(last)))))
        await self.sink.end(last)
        self.attempt.apply(AttemptEvent.END)
        return self._result("")

    async def _pass_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        self.head_passed = True
        self.on_first_byte()
        request_id = self.request.work.request_id
        await self.sink.head(AnswerHead(status, headers, self.server.name, request_id))

    async def _cancel(self) -> str:
        if self.attempt.state is AttemptState.NOT_SENT:
            return NOT_RUN
        path = f"/v1/requests/{self.request.work.request_id}"
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with self.sessions.fresh.delete(
                self.sessions.url(self.server.address, path),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = orjson.loads(await read_limited(response.content))
        except (*CONNECTION_ERRORS, ValueError):
            return UNKNOWN
        return self._verified_outcome(body) if isinstance(body, dict) else UNKNOWN

    def _verified_outcome(self, body: dict[str, object]) -> str:
        """Accept "not_run" only from a process that was running when the request was sent.

        A restarted engine has no record of the id and answers "not_run" for a request that its
        predecessor ran. Its uptime is measured by its own clock and compared with the time since
        sending by this VM's clock, so the two clocks need not agree.
        """
        outcome, uptime_s = str(body.get("outcome", UNKNOWN)), body.get("uptime_s")
        if outcome != NOT_RUN:
            return outcome
        sent_for_s = now_unix_s() - self.sent_unix_s
        was_running_when_sent = (
            isinstance(uptime_s, (int, float)) and uptime_s > sent_for_s + UPTIME_MARGIN_S
        )
        return NOT_RUN if was_running_when_sent else UNKNOWN

    def _unknown_result(self, detail: str) -> AttemptResult:
        self.attempt.apply(AttemptEvent.LOSE)
        return self._result(detail)

    def _result(self, detail: str) -> AttemptResult:
        return AttemptResult(
            state=self.attempt.state,
            head_passed=self.head_passed,
            detail=detail,
            server=self.server.name,
            # Each event carries one token, except the last, which is the end event.
            output_tokens=max(0, self.counter.complete_events - 1),
        )

    def _begin_sending(self) -> None:
        if not self.may_send():
            raise WithheldError
        self.sent_unix_s = now_unix_s()
        self.attempt.apply(AttemptEvent.SEND)

    def _headers(self) -> dict[str, str]:
        headers = {
            "Content-Type": "application/json",
            "X-Request-Id": self.request.work.request_id,
            "X-Attempt": str(self.number),
            "X-Priority": PRIORITY_BY_RANK[self.request.work.rank],
            "X-Resumable": "1",
        }
        if self.request.traceparent:
            headers["traceparent"] = self.request.traceparent
        return headers

    def _remaining_s(self) -> float:
        return max(0.0, self.request.work.deadline_unix_s - now_unix_s())


def _timeout() -> aiohttp.ClientTimeout:
    return aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S, sock_read=NEXT_BYTE_TIMEOUT_S)


def _streaming_body(request: GatewayRequest) -> bytes:
    """Return a body that asks for a stream.

    Only a stream can be resumed, and its silence reveals a lost connection.
    """
    if request.is_streamed:
        return request.body
    body = orjson.loads(request.body)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    return orjson.dumps(body)


def states_not_run(status: int, body: bytes) -> bool:
    """Return whether a backend server's answer states that the request did not run."""
    if status != 503:
        return False
    try:
        answer = orjson.loads(body)
    except ValueError:
        return False
    return isinstance(answer, dict) and answer.get("run") == "no"
