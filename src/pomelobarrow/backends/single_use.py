"""Send a request on a connection of its own and read the head of the answer.

aiohttp's protocol and parser are used without its session. The relay needs none of the URLs,
cookies, proxies, redirects and traces of a session, which take most of the time of a request.
"""

import asyncio
import enum
import socket
from collections.abc import Callable

import aiohttp
from aiohttp import RequestInfo
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawResponseMessage
from aiohttp.http_writer import StreamWriter
from attrs import define, field, frozen
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from pomelobarrow.backends.answer_handler import HEAD, AnswerHandler
from pomelobarrow.backends.answer_limits import (
    MAX_HEADER_LINE_BYTES,
    MAX_HEADER_LINES,
    MAX_INTERIM_ANSWERS,
    READ_BUFFER_BYTES,
    AnswerTooLargeError,
)
from pomelobarrow.backends.sessions import (
    SWITCHING_PROTOCOLS,
    BrokenConnectionError,
    UnaskedUpgradeError,
    probed_socket,
)

# Requests of other methods state the length of their body even if they have none.
METHODS_WITHOUT_BODY = frozenset({"GET", "HEAD", "OPTIONS", "TRACE"})
FIRST_FINAL_STATUS = 200
SEND_STEP_BYTES = 64 << 10
BODILESS_STATUSES = frozenset({204, 304})
CUT_BY_ITS_END = "the answer ended together with its server, without a mark of its end"
END_UNCONFIRMED = "the answer has no mark of its end, and its server was not confirmed to run"
BROKEN_CONNECTION_ERRORS = (
    aiohttp.ClientOSError,
    aiohttp.ClientConnectionResetError,
    aiohttp.ServerDisconnectedError,
)


@frozen(kw_only=True)
class SingleRequest:
    """Describe a request; `target` is its path and query, sent byte for byte."""

    method: str
    # The host and port to connect to.
    address: str
    target: str
    # `Host` is among them.
    headers: tuple[tuple[str, str], ...]
    body: bytes = field(default=b"", repr=False)

    @property
    def url(self) -> URL:
        """Return the URL for error messages."""
        return URL(f"http://{self.address}{self.target}", encoded=True)


class BodyEnd(enum.Enum):
    """Enumerate what marks the end of an answer's body."""

    UNKNOWN = "unknown"
    # There is no body.
    HEAD = "head"
    LENGTH = "length"
    CHUNKS = "chunks"
    # Neither a length nor chunks: whatever closes the connection also ends the body.
    CONNECTION = "connection"


@frozen(kw_only=True)
class ResponseHead:
    """Hold the head of an answer and the reader of its body."""

    status: int
    headers: CIMultiDictProxy[str]
    content: aiohttp.StreamReader
    body_end: BodyEnd

    @property
    def stated_bytes(self) -> int:
        """Return the size of the body that the server states; 0 if it states none."""
        return int(self.headers["Content-Length"]) if self.body_end is BodyEnd.LENGTH else 0


@define(kw_only=True)
class SingleExchange:
    """A request and its answer on a new connection, closed once the answer is received."""

    request: SingleRequest
    connect_timeout_s: float
    # Called when the connection is open; if it raises an error, nothing is sent.
    on_send: Callable[[], None] = lambda: None
    _protocol: AnswerHandler | None = field(default=None, init=False)

    async def start(self) -> ResponseHead:
        """Connect, send the request and return the head of the answer.

        Raises `aiohttp.ClientError`; a request that may have been sent is never sent again.
        """
        protocol = self._protocol = await self._connect()
        try:
            await self._send(protocol)
            message, content = await self._read_head(protocol)
        except BROKEN_CONNECTION_ERRORS as error:
            raise BrokenConnectionError(repr(error)) from error
        content.on_eof(self.close)
        return ResponseHead(
            status=message.code,
            headers=message.headers,
            content=content,
            body_end=body_end(self.request.method, message.code, message.headers),
        )

    @property
    def is_closed(self) -> bool:
        """Return whether no connection is open."""
        return self._protocol is None or not self._protocol.is_connected()

    def close(self) -> None:
        """Close the connection, also in the middle of an answer."""
        if self._protocol is not None:
            self._protocol.close()

    async def _connect(self) -> AnswerHandler:
        try:
            async with asyncio.timeout(self.connect_timeout_s):
                return await self._open()
        except OSError as error:
            if isinstance(error, TimeoutError) and error.errno is None:
                detail = f"Connection timeout to host {self.request.url}"
                raise aiohttp.ConnectionTimeoutError(detail) from error
            raise aiohttp.ClientConnectorError(self._connection_key(), error) from error

    async def _open(self) -> AnswerHandler:
        loop = asyncio.get_running_loop()
        host, port = _host_and_port(self.request.address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        opened = probed_socket((family, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", (host, port)))
        try:
            opened.setblocking(False)
            await loop.sock_connect(opened, (host, port))
            _, protocol = await loop.create_connection(
                lambda: AnswerHandler(loop=loop), sock=opened
            )
        except BaseException:
            opened.close()
            raise
        return protocol

    async def _send(self, protocol: AnswerHandler) -> None:
        request = self.request
        protocol.set_response_params(
            skip_payload=request.method == "HEAD",
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            max_headers=MAX_HEADER_LINES,
        )
        writer = StreamWriter(protocol, asyncio.get_running_loop())
        line = f"{request.method} {request.target} HTTP/1.1"
        await writer.write_headers(line, _sent_headers(request))
        self.on_send()
        await _write_body(writer, request.body)

    async def _read_head(
        self, protocol: AnswerHandler
    ) -> tuple[RawResponseMessage, aiohttp.StreamReader]:
        try:
            for _ in range(MAX_INTERIM_ANSWERS + 1):
                message, content = await protocol.read()
                if message.code >= FIRST_FINAL_STATUS:
                    return message, content
                if message.code == SWITCHING_PROTOCOLS:
                    raise UnaskedUpgradeError
            raise AnswerTooLargeError(HEAD, f"{MAX_INTERIM_ANSWERS} interim answers")
        except HttpProcessingError as error:
            raise aiohttp.ClientResponseError(
                self._request_info(),
                (),
                status=error.code,
                message=error.message,
                headers=error.headers,
            ) from error

    def _connection_key(self) -> ConnectionKey:
        host, port = _host_and_port(self.request.address)
        return ConnectionKey(host, port, False, True, None, None, None)

    def _request_info(self) -> RequestInfo:
        request = self.request
        headers = CIMultiDictProxy(_sent_headers(request))
        return RequestInfo(request.url, request.method, headers, request.url)


async def _write_body(writer: StreamWriter, body: bytes) -> None:
    """Send a body in parts, since the transport copies what its socket does not take at once."""
    view, sent_bytes = memoryview(body), 0
    while len(body) - sent_bytes > SEND_STEP_BYTES:
        await writer.write(view[sent_bytes : sent_bytes + SEND_STEP_BYTES])
        sent_bytes += SEND_STEP_BYTES
    await writer.write_eof(bytes(view[sent_bytes:]) if sent_bytes else body)


def body_end(method: str, status: int, headers: CIMultiDictProxy[str]) -> BodyEnd:
    """Return what marks the end of an answer's body."""
    if method == "HEAD" or status in BODILESS_STATUSES:
        return BodyEnd.HEAD
    codings = headers.getall("Transfer-Encoding", ())
    if not codings:
        return BodyEnd.LENGTH if "Content-Length" in headers else BodyEnd.CONNECTION
    # Other codings than chunks mark no end. Of several fields the parsers heed different ones.
    is_chunked = len(codings) == 1 and codings[0].lower().split(",")[-1].strip() == "chunked"
    return BodyEnd.CHUNKS if is_chunked else BodyEnd.CONNECTION


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def _sent_headers(request: SingleRequest) -> CIMultiDict[str]:
    """Return the request's headers with those that describe its body and connection."""
    headers = CIMultiDict(request.headers)
    if request.body or request.method not in METHODS_WITHOUT_BODY:
        headers["Content-Length"] = str(len(request.body))
    headers["Connection"] = "close"
    return headers
