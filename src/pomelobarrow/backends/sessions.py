"""HTTP sessions towards backend servers."""

import asyncio
import functools
import socket
from collections.abc import Mapping

import aiohttp
from aiohttp import ClientHandlerType
from aiohttp.client_proto import ResponseHandler
from aiohttp.tracing import TraceConfig

CONNECT_TIMEOUT_S = 1.0
# Requests a second that a server takes from all VMs together, for as long as its answers say so.
SERVER_LIMIT_HEADER = "X-Server-Limit"
KEEPALIVE_S = 15.0
MAX_CONNECTIONS = 4096
READ_BUFFER_BYTES = 1 << 18
# A silent connection is given up after about 3 s: a second of silence, then two probes.
PROBE_AFTER_S = 1
PROBE_EVERY_S = 1
PROBES = 2
UNACKNOWLEDGED_MS = 3_000


class BrokenConnectionError(aiohttp.ClientConnectionError):
    """Report a connection lost after the request may have left; nothing was sent again."""


class BackendSessions:
    """Hold a pooled session and one that opens a new connection for every request."""

    def __init__(self, dial: Mapping[str, str]) -> None:
        self._dial = dial
        self.pooled = _session(force_close=False)
        # A pooled connection that went silent swallows the request: the symptom is a ping that
        # may or may not have run. A new connection can't have been forgotten on its way.
        self.fresh = _session(force_close=True)

    def url(self, address: str, path: str) -> str:
        """Return where to reach a path at a published address."""
        return f"http://{self._dial.get(address, address)}{path}"

    def for_request(self, repeatable: bool) -> aiohttp.ClientSession:
        """Return the session that is safe for such a request."""
        return self.pooled if repeatable else self.fresh

    async def close(self) -> None:
        """Close both sessions."""
        await asyncio.gather(self.pooled.close(), self.fresh.close())


def _session(force_close: bool) -> aiohttp.ClientSession:
    loop = asyncio.get_running_loop()
    options: dict[str, float] = {} if force_close else {"keepalive_timeout": KEEPALIVE_S}
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS,
        force_close=force_close,
        socket_factory=_watched_socket,
        **options,  # type: ignore[arg-type]
    )
    # aiohttp has no public way to choose the protocol's class.
    connector._factory = functools.partial(ResetAwareHandler, loop=loop)  # type: ignore[assignment]
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        trace_configs=[_send_tracing()],
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(_never_resend,),
    )


class ResetAwareHandler(ResponseHandler):
    """Tell a body without a length that was cut off from one that ended.

    Such a body ends with its connection, and aiohttp takes a reset for that end too: the caller
    would get half an answer that looks whole.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body that is being read where the connection was reset."""
        if exc is not None and self._payload is not None:
            self._payload.set_exception(aiohttp.ClientPayloadError("the connection was reset"))
        super().connection_lost(exc)


def _watched_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that notices by itself when nothing comes back.

    A connection that something on its way has forgotten, or whose other end lost power, stays
    silent for good, and its request would wait until its deadline. The probes end it instead.
    """
    family, kind, protocol, _, _ = address
    made = socket.socket(family=family, type=kind, proto=protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    return made


async def _never_resend(
    request: aiohttp.ClientRequest, handler: ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turn the errors on which aiohttp sends a GET, PUT or DELETE again into one on which it won't.

    The first may have arrived: a PUT that may not be repeated would run twice. Whether to try
    again is for the dispatcher to say, which knows the class and how far the attempt got.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenConnectionError(repr(error)) from error


def _send_tracing() -> TraceConfig:
    """Tell the attempt that the next step hands bytes to the transport."""
    tracing = TraceConfig()

    async def about_to_send(session: object, context: object, params: object) -> None:
        on_send = getattr(context, "trace_request_ctx", None)
        if on_send is not None:
            on_send()

    tracing.on_connection_create_end.append(about_to_send)
    tracing.on_connection_reuseconn.append(about_to_send)
    return tracing
