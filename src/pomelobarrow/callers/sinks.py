"""Write an answer to the caller's connection."""

from aiohttp import web
from multidict import CIMultiDict

from pomelobarrow.callers.problems import problem_event
from pomelobarrow.decision.errors import Refusal
from pomelobarrow.dispatch.answers import (
    END_EVENT,
    SERVER_SENT_EVENTS,
    AnswerHead,
    CallerGoneError,
)
from pomelobarrow.kernel.clock import now_unix_s

REQUEST_ID_HEADER = "Pomelobarrow-Request-Id"
SERVER_HEADER = "Pomelobarrow-Backend-Server"


class LateHeadResponse(web.StreamResponse):
    """Send the headers together with the first bytes of the body.

    An answer's head is passed on only when its first bytes are there, so nothing comes later; a
    write of its own for the headers cost a fourteenth of a request's CPU. Where a later aiohttp
    has no such switch, the headers go out at once again.
    """

    _send_headers_immediately = False


class HttpSink:
    """Pass an answer on to one caller and note its timing."""

    def __init__(self, request: web.Request, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self.response: web.StreamResponse | None = None
        self.first_byte_unix_s: float | None = None
        self.max_gap_s = 0.0
        self.chunks = 0
        self.server = ""
        self._last_unix_s = 0.0
        self._end_event = b""

    async def head(self, head: AnswerHead) -> None:
        """Send status and headers."""
        self.server = head.server
        response = LateHeadResponse(status=head.status, headers=CIMultiDict(head.headers))
        response.headers[REQUEST_ID_HEADER] = self._request_id
        response.headers[SERVER_HEADER] = head.server
        self.response = response
        try:
            await response.prepare(self._request)
        except (ConnectionError, RuntimeError) as error:
            raise CallerGoneError("the caller closed its connection") from error

    async def chunk(self, data: bytes) -> None:
        """Send the next bytes."""
        assert self.response is not None
        self._note_time()
        if data.endswith(END_EVENT):
            # Held until the answer is known to be whole; it then leaves together with the end
            # of the body, which saves a write a request.
            self._end_event = data
            return
        try:
            await self.response.write(data)
        except (ConnectionError, RuntimeError) as error:
            raise CallerGoneError("the caller closed its connection") from error

    async def end(self) -> None:
        """Close the answer as whole."""
        assert self.response is not None
        try:
            await self.response.write_eof(self._end_event)
        except (ConnectionError, RuntimeError) as error:
            raise CallerGoneError("the caller closed its connection") from error

    async def abort(self, refusal: Refusal) -> None:
        """Say that the answer stops short, then close the connection without an end mark.

        A closed connection alone reads as a whole answer to a lenient client, and an error event
        alone is lost on one that reads whole answers; together neither can mistake it.
        """
        assert self.response is not None
        if self.response.headers.get("Content-Type", "").startswith(SERVER_SENT_EVENTS):
            await self.chunk(problem_event(refusal, self._request_id))
        if self._request.transport is not None:
            self._request.transport.close()

    def _note_time(self) -> None:
        now = now_unix_s()
        if self.first_byte_unix_s is None:
            self.first_byte_unix_s = now
        else:
            self.max_gap_s = max(self.max_gap_s, now - self._last_unix_s)
        self._last_unix_s = now
        self.chunks += 1
