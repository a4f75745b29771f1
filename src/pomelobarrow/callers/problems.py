"""Convert refusals to problem documents."""

import math
from typing import Any

import orjson
from aiohttp import web

from pomelobarrow.decision.common.errors import Refusal
from pomelobarrow.kernel.clock import now_unix_s

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:pomelobarrow:problem:"


def problem_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the problem document."""
    body = {
        "type": TYPE_PREFIX + refusal.kind.label,
        "title": refusal.kind.label.replace("_", " "),
        "status": refusal.kind.status,
        "kind": refusal.kind.label,
        "run": refusal.run.value,
        "detail": refusal.detail,
        "remedy": refusal.remedy,
        "request_id": request_id,
    }
    if refusal.retry_at_unix_s is not None:
        body["retry_at_unix_s"] = refusal.retry_at_unix_s
    return body


def problem_response(refusal: Refusal, request_id: str = "") -> web.Response:
    """Return the HTTP response to a refused request."""
    headers = {}
    if refusal.retry_at_unix_s is not None:
        headers["Retry-After"] = str(retry_after_s(refusal.retry_at_unix_s))
    return web.Response(
        status=refusal.kind.status,
        headers=headers,
        content_type=CONTENT_TYPE,
        body=orjson.dumps(problem_body(refusal, request_id)),
    )


def problem_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the event that ends an interrupted stream."""
    return b"event: error\ndata: " + orjson.dumps(problem_body(refusal, request_id)) + b"\n\n"


def retry_after_s(retry_at_unix_s: float) -> int:
    """Return the value of the Retry-After header, at least one second."""
    return max(1, math.ceil(retry_at_unix_s - now_unix_s()))
