"""Write an answer to the caller's connection."""

import asyncio
import socket
import struct

from aiohttp import HttpVersion11, web
from multidict import CIMultiDict

from pomelobarrow.callers.problems import problem_event
from pomelobarrow.callers.server import flush
from pomelobarrow.decision.common.errors import Refusal
from pomelobarrow.dispatch.answers import (
    SERVER_SENT_EVENTS,
    AnswerHead,
    CallerGoneError,
)
from pomelobarrow.kernel.clock import now_unix_s

REQUEST_ID_HEADER = "Pomelobarrow-Request-Id"
SERVER_HEADER = "Pomelobarrow-Backend-Server"
# Linger for no time.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
FLUSH_ON_CLOSE = struct.pack("ii", 0, 0)


class LateHeadResponse(web.StreamResponse):
    """Send the headers together with the first bytes of the body.

    An answer's head is passed on only once its first bytes are available, so nothing is delayed.
    A separate write for the headers takes a fourteenth of a request's CPU time. With an aiohttp
    that lacks this attribute, the headers are sent separately again.
    """

    _send_headers_immediately = False


def close_incomplete(request: web.BaseRequest) -> None:
    """Close a client's connection so that the answer on it is visibly incomplete.

    An answer in chunks lacks its last one then. Clients of HTTP/1.0 get none, and take a regular
    close for the end of the answer, so their connection is reset.
    """
    transport = request.transport
    if transport is None:
        return
    if request.version >= HttpVersion11:
        transport.close()
        return
    _set_linger(transport, RESET_ON_CLOSE)
    transport.abort()


def begin_answer(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Have the connection reset when it closes, if only its close is to mark the answer's end.

    If this process is killed, the connection closes in the middle of the answer.
    """
    transport = request.transport
    if transport is not None and _ends_by_close(request, response):
        _set_linger(transport, RESET_ON_CLOSE)


async def end_answer(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Let the connection close regularly once its socket has taken the complete answer."""
    if request.transport is None or not _ends_by_close(request, response):
        return
    await flush([request.transport])
    transport = request.transport
    if transport is not None and not transport.get_write_buffer_size():
        _set_linger(transport, FLUSH_ON_CLOSE)


def _ends_by_close(request: web.BaseRequest, response: web.StreamResponse) -> bool:
    return request.version < HttpVersion11 and response.content_length is None


def _set_linger(transport: asyncio.Transport, option: bytes) -> None:
    connected = transport.get_extra_info("socket")
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)


class HttpSink:
    """Write an answer to one caller and record its timing."""

    def __init__(self, request: web.Request, request_id: str) -> None:
        self._request = request
        self._request_id = request_id
        self.response: web.StreamResponse | None = None
        self.first_byte_unix_s: float | None = None
        self.max_gap_s = 0.0
        self.chunks = 0
        self.server = ""
        self._last_unix_s = 0.0

    async def head(self, head: AnswerHead) -> None:
        """Send status and headers."""
        self.server = head.server
        response = LateHeadResponse(status=head.status, headers=CIMultiDict(head.headers))
        response.headers[REQUEST_ID_HEADER] = self._request_id
        response.headers[SERVER_HEADER] = head.server
        self.response = response
        begin_answer(self._request, response)
        try:
            await response.prepare(self._request)
        except (ConnectionError, RuntimeError) as error:
            raise CallerGoneError("the caller closed its connection") from error

    async def chunk(self, data: bytes) -> None:
        """Send the next bytes."""
        assert self.response is not None
        self._record_timing()
        try:
            await self.response.write(data)
        except (ConnectionError, RuntimeError) as error:
            raise CallerGoneError("the caller closed its connection") from error

    async def end(self, last: bytes = b"") -> None:
        """Finish a complete answer; one write less than sending its last bytes before."""
        assert self.response is not None
        if last:
            self._record_timing()
        try:
            await self.response.write_eof(last)
        except (ConnectionError, RuntimeError) as error:
            raise CallerGoneError("the caller closed its connection") from error
        await end_answer(self._request, self.response)

    async def abort(self, refusal: Refusal) -> None:
        """Send an error event, then close the connection without the end marker.

        A lenient client treats a closed connection alone as a complete answer, and a client that
        collects the whole answer misses an error event. Together they are unambiguous to both.
        """
        assert self.response is not None
        if self.response.headers.get("Content-Type", "").startswith(SERVER_SENT_EVENTS):
            await self.chunk(problem_event(refusal, self._request_id))
        close_incomplete(self._request)

    def _record_timing(self) -> None:
        now = now_unix_s()
        if self.first_byte_unix_s is None:
            self.first_byte_unix_s = now
        else:
            self.max_gap_s = max(self.max_gap_s, now - self._last_unix_s)
        self._last_unix_s = now
        self.chunks += 1
