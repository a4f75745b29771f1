"""Build engine answers as a function of the request, so that tests can verify the text."""

import hashlib
from collections.abc import Mapping
from typing import Any

import orjson

DEFAULT_MAX_TOKENS = 64
DIGEST_FIELDS = ("messages", "max_tokens", "metadata")
DONE_EVENT = b"data: [DONE]\n\n"


def max_tokens(body: Mapping[str, Any]) -> int:
    """Return the number of output tokens that the request asks for."""
    return max(1, int(body.get("max_tokens") or DEFAULT_MAX_TOKENS))


def body_digest(body: Mapping[str, Any]) -> str:
    """Return a short digest of the fields that a gateway forwards unchanged."""
    selected = {name: body[name] for name in DIGEST_FIELDS if name in body}
    return hashlib.sha256(orjson.dumps(selected, option=orjson.OPT_SORT_KEYS)).hexdigest()[:8]


def token(digest: str, index: int) -> str:
    """Return the text of the token at an index."""
    return f"{digest}-{index} "


def expected_answer(body: Mapping[str, Any]) -> str:
    """Return the complete text that an engine answers to a request body."""
    digest = body_digest(body)
    return "".join(token(digest, index) for index in range(max_tokens(body)))


def usage(prompt_tokens: int, cached_tokens: int, output_tokens: int) -> dict[str, Any]:
    """Build the usage object of an answer."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": output_tokens,
        "total_tokens": prompt_tokens + output_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }


def event(payload: Any) -> bytes:
    """Encode a payload as a server-sent event."""
    return b"data: " + orjson.dumps(payload) + b"\n\n"


def token_event(
    request_id: str, model: str, text: str, last_usage: Mapping[str, Any] | None
) -> bytes:
    """Encode one token as an event; the last one carries the finish reason and the usage."""
    choice = {
        "index": 0,
        "delta": {"content": text},
        "finish_reason": "stop" if last_usage else None,
    }
    payload: dict[str, Any] = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [choice],
    }
    if last_usage:
        payload["usage"] = last_usage
    return event(payload)


def completion(request_id: str, model: str, text: str, tokens: Mapping[str, Any]) -> dict[str, Any]:
    """Build the response body of a request without streaming."""
    message = {"role": "assistant", "content": text}
    return {
        "id": request_id,
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": tokens,
    }
