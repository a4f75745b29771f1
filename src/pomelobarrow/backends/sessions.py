"""HTTP sessions towards backend servers."""

import asyncio
import functools
import socket
from collections.abc import Mapping
from typing import Any

import aiohttp
from aiohttp import ClientHandlerType
from aiohttp.tracing import TraceConfig

from pomelobarrow.backends.answer_buffers import AnswerBuffers
from pomelobarrow.backends.answer_handler import AnswerHandler
from pomelobarrow.backends.answer_limits import (
    MAX_HEADER_LINE_BYTES,
    MAX_HEADER_LINES,
    READ_BUFFER_BYTES,
)

CONNECT_TIMEOUT_S = 1.0
# Requests per second that a server accepts from all VMs together, as stated by its answers.
SERVER_LIMIT_HEADER = "X-Server-Limit"
# "1" in all answers of a server that leaves.
SERVER_BRITTLE_HEADER = "X-Server-Brittle"
SERVER_LEAVING_HEADER = "X-Server-Leaving"
# With a rejection: the seconds for which the server wants nothing from this VM.
RETRY_AFTER_HEADER = "Retry-After"
REJECTED_STATUS = 503
SWITCHING_PROTOCOLS = 101
KEEPALIVE_S = 15.0
MAX_CONNECTIONS = 4096
# A silent connection is closed after about 3 s: one second of silence, then two probes.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2
UNACKNOWLEDGED_MS = 3_000
# A parser's error quotes what it could not read, which may be all that was received at once.
MAX_ERROR_CHARACTERS = 300


class BrokenConnectionError(aiohttp.ClientConnectionError):
    """Raised if a connection is lost after the request may have been sent; it was not resent."""


class UnaskedUpgradeError(aiohttp.ClientPayloadError):
    """Raised if a server switches protocols, which no request asks for."""

    def __init__(self) -> None:
        super().__init__("the server switched protocols unasked")


class WithheldError(Exception):
    """Raised instead of sending a request whose server announced meanwhile that it takes none."""

    def __init__(self) -> None:
        super().__init__("the server leaves or asked for a pause after it was chosen")


def describe_error(error: BaseException) -> str:
    """Return the text of an error, without the request's headers, which may contain secrets."""
    if isinstance(error, aiohttp.ClientResponseError):
        text = f"{type(error).__name__}({error.message!r})"
    else:
        text = repr(error)
    return text if len(text) <= MAX_ERROR_CHARACTERS else f"{text[:MAX_ERROR_CHARACTERS]}..."


def is_connection_refused(error: BaseException) -> bool:
    """Return whether an address refused the connection, as that of an ended process does."""
    os_error = getattr(error, "os_error", error)
    return isinstance(os_error, ConnectionRefusedError)


class BackendSessions:
    """Provide a pooled session and one that opens a new connection for every request."""

    def __init__(self, dial: Mapping[str, str]) -> None:
        self._dial = dial
        self.buffers = AnswerBuffers()
        self.pooled = _session(force_close=False)
        # A network device may have dropped a pooled connection silently. A request sent on it is
        # lost without an error, and its outcome is unknown. A new connection can't be stale.
        self.fresh = _session(force_close=True)

    def url(self, address: str, path: str) -> str:
        """Return the URL of a path at a published address, with configured overrides applied."""
        return f"http://{self.dialled(address)}{path}"

    def dialled(self, address: str) -> str:
        """Return the address to connect to in place of a published one."""
        return self._dial.get(address, address)

    def for_request(self, repeatable: bool) -> aiohttp.ClientSession:
        """Return the pooled session only for requests that may be repeated."""
        return self.pooled if repeatable else self.fresh

    async def close(self) -> None:
        """Close both sessions."""
        await asyncio.gather(self.pooled.close(), self.fresh.close())


def bounded_connector(**options: Any) -> aiohttp.TCPConnector:
    """Return a connector whose answers have bounded heads and framing."""
    connector = aiohttp.TCPConnector(**options)
    loop = asyncio.get_running_loop()
    # aiohttp has no public way to choose the protocol's class.
    connector._factory = functools.partial(AnswerHandler, loop=loop)  # type: ignore[assignment]
    return connector


def _session(force_close: bool) -> aiohttp.ClientSession:
    options: dict[str, float] = {} if force_close else {"keepalive_timeout": KEEPALIVE_S}
    connector = bounded_connector(
        limit=MAX_CONNECTIONS, force_close=force_close, socket_factory=probed_socket, **options
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=MAX_HEADER_LINE_BYTES,
        max_field_size=MAX_HEADER_LINE_BYTES,
        max_headers=MAX_HEADER_LINES,
        trace_configs=[_send_tracing()],
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(_never_resend,),
    )


def probed_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that detects a dead connection by TCP keepalive probes.

    A connection stays silent forever if a network device drops its state or the other end loses
    power. Without the probes its request would wait until its deadline.
    """
    family, kind, protocol, _, _ = address
    probed = socket.socket(family=family, type=kind, proto=protocol)
    probed.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    probed.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    probed.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    probed.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    probed.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return probed


async def _never_resend(
    request: aiohttp.ClientRequest, handler: ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from resending a GET, PUT or DELETE by raising an error that it won't retry.

    The first request may have arrived, so a PUT that must not be repeated could run twice. Retries
    are up to the dispatcher, which has the request's class and the progress of the attempt.
    """
    try:
        response = await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenConnectionError(repr(error)) from error
    if response.status == SWITCHING_PROTOCOLS:
        response.close()
        raise UnaskedUpgradeError
    return response


def _send_tracing() -> TraceConfig:
    """Return tracing that notifies the attempt just before bytes are passed to the transport.

    The attempt may raise an error then: the connection is closed and nothing is sent.
    """
    tracing = TraceConfig()

    async def about_to_send(session: object, context: object, params: object) -> None:
        on_send = getattr(context, "trace_request_ctx", None)
        if on_send is not None:
            on_send()

    tracing.on_request_headers_sent.append(about_to_send)
    return tracing
