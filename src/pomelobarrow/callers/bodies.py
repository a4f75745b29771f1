"""Read request bodies with limits on size and time."""

import asyncio

from aiohttp import web
from result import Err, Ok, Result

from pomelobarrow.callers.body_waits import BodyWait
from pomelobarrow.callers.client_connection import ClientConnection, ClientStalledError
from pomelobarrow.decision.admission.client_budget import UNCOUNTED_BYTES
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.dispatch.refusals import refuse, refuse_stopping
from pomelobarrow.kernel.clock import now_unix_s

# Without this limit a slow sender could hold its connection and the part of the body already in
# memory indefinitely, and a planned stop would wait for it.
BODY_TIMEOUT_S = 60.0


async def read_body(request: web.BaseRequest, deadline_unix_s: float) -> Result[bytes, Refusal]:
    """Return the body as it was sent, without decompressing it."""
    stated_bytes = request.content_length or 0
    wait: BodyWait | None = None
    if stated_bytes > request.client_max_size:
        return Err(_too_large(request))
    try:
        # Most bodies arrive together with their heads.
        if request.content.is_eof() and stated_bytes <= UNCOUNTED_BYTES:
            return Ok(await request.read())
        timeout_s = min(BODY_TIMEOUT_S, deadline_unix_s - now_unix_s())
        async with asyncio.timeout(max(0.0, timeout_s)) as timeout:
            wait = BodyWait(deadline_unix_s, timeout)
            try:
                return await _read_counted(request, stated_bytes, wait)
            finally:
                wait.timeout = None
    except ClientStalledError:
        detail = "the body made no progress, and its memory was needed for other requests"
        return _refusal(ErrorKind.BODY_TOO_SLOW, detail, "send the body without pauses")
    except web.HTTPRequestEntityTooLarge:
        return Err(_too_large(request))
    except web.RequestPayloadError:
        return _refusal(
            ErrorKind.MALFORMED_REQUEST, "the body's framing is broken", "send valid HTTP/1.1"
        )
    except TimeoutError:
        if wait is not None and wait.is_refused:
            return Err(refuse_stopping("this VM is stopping and the body has not arrived"))
        detail = "the body did not arrive by the deadline or within a minute"
        return _refusal(
            ErrorKind.BODY_TOO_SLOW, detail, "send the body without pauses, with a later deadline"
        )


async def _read_counted(
    request: web.BaseRequest, stated_bytes: int, wait: BodyWait
) -> Result[bytes, Refusal]:
    """Return the body if there is memory for it beside what other clients have sent."""
    connection, hold = request.protocol, _hold_any
    if isinstance(connection, ClientConnection):
        hold, connection.body_wait = connection.hold_body, wait
    if stated_bytes > UNCOUNTED_BYTES and not hold(stated_bytes):
        return Err(_no_room())
    parts, size_bytes = [], 0
    while data := await request.content.readany():
        size_bytes += len(data)
        if size_bytes > request.client_max_size:
            return Err(_too_large(request))
        if size_bytes > max(stated_bytes, UNCOUNTED_BYTES) and not hold(size_bytes):
            return Err(_no_room())
        parts.append(data)
    return Ok(b"".join(parts))


def _hold_any(size_bytes: int) -> bool:
    return True


def check_uncompressed(request: web.Request) -> Result[None, Refusal]:
    """Refuse a compressed body that the gateway would have to read.

    A few kilobytes can decompress to more than the VM's memory, and requests are too small to
    benefit from compression.
    """
    coding = request.headers.get("Content-Encoding", "identity").strip().lower()
    if coding == "identity":
        return Ok(None)
    return _refusal(
        ErrorKind.MALFORMED_BODY, "the body is compressed", "send it without Content-Encoding"
    )


def _too_large(request: web.BaseRequest) -> Refusal:
    return refuse(
        ErrorKind.BODY_TOO_LARGE,
        RunStatus.NO,
        f"the body is larger than {request.client_max_size} bytes",
        remedy="send a smaller body, or ask the operator for a higher max_body_bytes",
    )


def _no_room() -> Refusal:
    detail = "this VM holds as much of other requests as it has memory for"
    return refuse(ErrorKind.OVERLOADED, RunStatus.NO, detail)


def _refusal(kind: ErrorKind, detail: str, remedy: str) -> Err[Refusal]:
    return Err(refuse(kind, RunStatus.NO, detail, remedy=remedy))
