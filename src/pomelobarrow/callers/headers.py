"""Check a caller's headers and select those that are forwarded to a backend server."""

import re
from collections.abc import Mapping
from itertools import chain

from result import Err, Ok, Result

from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.dispatch.answers import Headers
from pomelobarrow.dispatch.refusals import refuse

TRACEPARENT_HEADER = "traceparent"
CONNECTION_HEADER = "Connection"
# Not forwarded to a plain service: the caller's credentials and headers that the gateway sets
# itself. A caller's own X-Request-Id would precede the gateway's, and the service could take two
# requests for one.
PRIVATE_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "proxy-authorization",
        "proxy-connection",
        "traceparent",
        "x-attempt",
        "x-priority",
        "x-request-id",
        "x-resumable",
    }
)
PRIVATE_PREFIX = "pomelobarrow-"
# Bytes that aren't UTF-8 are decoded as lone surrogates, which can't be encoded again. A control
# character would end the header early on the way to the backend server.
_UNSAFE_PATTERN = re.compile("[\x00-\x08\x0a-\x1f\x7f\ud800-\udfff]")
_TRACEPARENT_PATTERN = re.compile(r"(?!ff)[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")


def check_text(path: str, headers: Mapping[str, str]) -> Result[None, Refusal]:
    """Refuse a path or header that can't be forwarded unchanged."""
    if not path.isascii():
        return _malformed("the path contains non-ASCII bytes", "percent-encode the path")
    # One search over all headers; nearly all requests pass it.
    if not _UNSAFE_PATTERN.search("".join(chain.from_iterable(headers.items()))):
        return Ok(None)
    for name, value in headers.items():
        if _UNSAFE_PATTERN.search(value) or _UNSAFE_PATTERN.search(name):
            remedy = "send header values as UTF-8 without control characters"
            return _malformed(f"header {name[:64]!r}: invalid characters", remedy)
    return Ok(None)


def public_headers(headers: Mapping[str, str]) -> Headers:
    """Return the headers that are forwarded to a plain service."""
    named = {each.strip().lower() for each in headers.get(CONNECTION_HEADER, "").split(",")}
    return tuple(
        (name, value) for name, value in headers.items() if _is_public(name.lower(), named)
    )


def read_traceparent(headers: Mapping[str, str]) -> str:
    """Return the caller's traceparent header, or an empty string if it is invalid."""
    given = headers.get(TRACEPARENT_HEADER, "")
    return given if _TRACEPARENT_PATTERN.fullmatch(given) else ""


def _is_public(name: str, named_by_connection: set[str]) -> bool:
    is_private = name in PRIVATE_HEADERS or name.startswith(PRIVATE_PREFIX)
    return not is_private and name not in named_by_connection


def _malformed(detail: str, remedy: str) -> Err[Refusal]:
    return Err(refuse(ErrorKind.MALFORMED_REQUEST, RunStatus.NO, detail, remedy=remedy))
