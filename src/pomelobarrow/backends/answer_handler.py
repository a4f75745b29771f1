"""Parse answers, and end the connection of those that have no end."""

import asyncio
import fcntl
import struct
import termios
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import EMPTY_BODY_STATUS_CODES
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD

from pomelobarrow.backends.answer_limits import (
    FRAMING_PER_CONTENT,
    MAX_FRAMING_BYTES,
    RECEIVE_BYTES,
    AnswerTooLargeError,
)

HEAD_END = b"\r\n\r\n"
STATUSES = range(100, 600)
INT = struct.Struct("i")
HEAD = "head"
FRAMING = "framing"


class AnswerHandler(ResponseHandler):
    """Raise an error if an answer is reset, malformed, or brings too many bytes of no content.

    A body without a length ends when its connection closes, and aiohttp treats a reset as that end
    too. The caller would receive a truncated answer that looks complete.

    A malformed chunk closes the connection, but aiohttp reports it only to readers of a head. The
    reader of the body would wait until its deadline.

    aiohttp limits the lines of a head, but not what it skips: interim answers, empty lines, spaces,
    chunk sizes and extensions. A server could keep the parser busy until the deadline.

    Of bytes that are parsed at once, aiohttp drops a whole answer if what follows it is malformed.
    A head is therefore parsed before what comes after it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._received_bytes = 0
        # The bytes before those that are received next, as far as they may begin the end of a head.
        self._head_end_part = b""
        self._has_head = False
        self._error: aiohttp.ClientPayloadError | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the bytes that are received at once, which asyncio has no public way to do."""
        transport.max_size = RECEIVE_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to the next request."""
        self._received_bytes = 0
        self._head_end_part, self._has_head = b"", False
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse the bytes; fail the answer if too few of them are content."""
        self._received_bytes += len(data)
        super().data_received(data if self._has_head else self._parse_heads(data))
        content = self._payload
        content_bytes = content.total_bytes if content is not None else 0
        framing_bytes = self._received_bytes - content_bytes
        # While reading is paused, some of the received bytes have not been parsed yet.
        if (
            framing_bytes > MAX_FRAMING_BYTES + FRAMING_PER_CONTENT * content_bytes
            and not self._reading_paused
        ):
            part = HEAD if content in (None, EMPTY_PAYLOAD) else FRAMING
            self._fail(AnswerTooLargeError(part, f"{MAX_FRAMING_BYTES} bytes"))

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on if reading was paused; aiohttp also resumes where it was not."""
        if self._reading_paused or self._buffer_paused:
            super().resume_reading(resume_parser)

    def feed_data(
        self, data: tuple[RawResponseMessage, aiohttp.StreamReader], size: int = 0
    ) -> None:
        """Add an answer; fail one that HTTP does not have, which aiohttp's parser lets pass."""
        if fault := self._fault(*data):
            self._fail(aiohttp.ClientPayloadError(fault))
        else:
            super().feed_data(data, size)

    def _fault(self, message: RawResponseMessage, content: aiohttp.StreamReader) -> str:
        """Return why an answer can't be one; empty if it can.

        The parser in C takes 2**64 - 1 for no length. Servers state that if they print -1 unsigned.
        """
        if message.code not in STATUSES:
            return f"the answer has the status {message.code}"
        is_bodiless = self._skip_payload or message.code in EMPTY_BODY_STATUS_CODES
        if is_bodiless or content is not EMPTY_PAYLOAD:
            return ""
        is_length_wrong = message.headers.get("Content-Length", "").strip("0")
        return "the answer states a length that can't be" if is_length_wrong else ""

    def _parse_heads(self, data: bytes) -> bytes:
        """Parse bytes up to the end of the head of the final answer; return the others."""
        while (end := (self._head_end_part + data).find(HEAD_END)) >= 0 and not self._has_head:
            size = end + len(HEAD_END) - len(self._head_end_part)
            super().data_received(data[:size])
            self._head_end_part, data = b"", data[size:]
            # Interim answers have no body.
            self._has_head = self._payload not in (None, EMPTY_PAYLOAD)
        self._head_end_part = (self._head_end_part + data)[1 - len(HEAD_END) :]
        return data

    def is_connected(self) -> bool:
        """Return whether a request may be sent; not if an answer to none is waiting to be read.

        Servers may answer a request twice. aiohttp closes the connection if the second answer comes
        with the first one, but takes one that comes later for the answer to the next request.
        """
        return super().is_connected() and not len(self)

    def set_exception(self, exc: BaseException, exc_cause: BaseException | None = None) -> None:
        """Fail the body that is being read together with the connection."""
        if exc_cause is None:
            super().set_exception(exc)
        else:
            super().set_exception(exc, exc_cause)
        body = self._payload
        if body is None or body.is_eof() or body.exception() is not None:
            return
        is_known = isinstance(exc, aiohttp.ClientError)
        body.set_exception(
            exc if is_known else aiohttp.ClientPayloadError("the framing of the body is malformed")
        )

    def eof_received(self) -> None:
        """Fail a body that ends before the server has received the whole request.

        A server that gives up on the rest of a request ends the connection like one that has sent
        its whole answer.
        """
        super().eof_received()
        body = self._payload
        if body is not None and not body.is_eof() and self._has_unreceived_bytes():
            self._fail(aiohttp.ClientPayloadError("the answer ended before its request was sent"))

    def _has_unreceived_bytes(self) -> bool:
        """Return whether bytes of the request are unsent or unacknowledged."""
        assert self.transport is not None
        if self.transport.get_write_buffer_size():
            return True
        opened = self.transport.get_extra_info("socket")
        queued = fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, bytes(INT.size))
        return bool(INT.unpack(queued)[0])

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read if the connection was reset, and drop a part of a head.

        Asked for the rest at the end of a connection, aiohttp's parser completes a truncated head.
        """
        body = self._payload
        if body is None or body.is_eof():
            self._parser = None
        elif exc is not None:
            body.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
        super().connection_lost(self._error or exc)

    def _fail(self, error: aiohttp.ClientPayloadError) -> None:
        self._error = error
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        self._payload = self._parser = None
        if self.transport is not None:
            self.transport.abort()
