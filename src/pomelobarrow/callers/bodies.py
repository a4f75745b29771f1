"""Read a caller's body within bounds of size and time."""

import asyncio

from aiohttp import web
from result import Err, Ok, Result

from pomelobarrow.decision.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.clock import now_unix_s

# A caller that sends a byte now and then would hold its connection and its part of the body for
# as long as it likes, and a planned stop would wait for it.
BODY_TIMEOUT_S = 60.0


async def read_body(request: web.Request, deadline_unix_s: float) -> Result[bytes, Refusal]:
    """Return the body as it was sent; a compressed one stays compressed."""
    if (request.content_length or 0) > request.client_max_size:
        return Err(_too_large(request))
    timeout_s = min(BODY_TIMEOUT_S, deadline_unix_s - now_unix_s())
    try:
        async with asyncio.timeout(max(0.0, timeout_s)):
            return Ok(await request.read())
    except web.HTTPRequestEntityTooLarge:
        return Err(_too_large(request))
    except web.RequestPayloadError:
        return _bad(
            ErrorKind.MALFORMED_REQUEST, "the body's framing is broken", "send valid HTTP/1.1"
        )
    except TimeoutError:
        detail = "the body did not arrive by the deadline or within a minute"
        return _bad(ErrorKind.BODY_TOO_SLOW, detail, "send the body at once, with a later deadline")


def check_uncompressed(request: web.Request) -> Result[None, Refusal]:
    """Refuse a compressed body where the gateway has to read it.

    A few kilobytes can unpack to the memory of the whole VM; requests are too small to gain.
    """
    coding = request.headers.get("Content-Encoding", "identity").strip().lower()
    if coding == "identity":
        return Ok(None)
    return _bad(
        ErrorKind.MALFORMED_BODY, "the body is compressed", "send it without Content-Encoding"
    )


def _too_large(request: web.Request) -> Refusal:
    return refuse(
        ErrorKind.BODY_TOO_LARGE,
        RunStatus.NO,
        f"the body is past {request.client_max_size} bytes",
        remedy="send less, or ask the operator for a higher max_body_bytes",
    )


def _bad(kind: ErrorKind, detail: str, remedy: str) -> Err[Refusal]:
    return Err(refuse(kind, RunStatus.NO, detail, remedy=remedy))
