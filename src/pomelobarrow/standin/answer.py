"""Make the engine's answers, deterministic so that a test can verify them whole."""

import hashlib
from collections.abc import Mapping
from typing import Any

import orjson

DEFAULT_MAX_TOKENS = 64
DIGEST_FIELDS = ("messages", "max_tokens", "metadata")
DONE_EVENT = b"data: [DONE]\n\n"


def max_tokens(body: Mapping[str, Any]) -> int:
    """Return the number of tokens to answer with."""
    return max(1, int(body.get("max_tokens") or DEFAULT_MAX_TOKENS))


def digest8(body: Mapping[str, Any]) -> str:
    """Digest the fields that a gateway passes on unchanged."""
    picked = {name: body[name] for name in DIGEST_FIELDS if name in body}
    return hashlib.sha256(orjson.dumps(picked, option=orjson.OPT_SORT_KEYS)).hexdigest()[:8]


def token(digest: str, index: int) -> str:
    """Return one token's text."""
    return f"{digest}-{index} "


def expected_answer(body: Mapping[str, Any]) -> str:
    """Return the whole text that an engine answers to this body."""
    digest = digest8(body)
    return "".join(token(digest, index) for index in range(max_tokens(body)))


def usage(prompt_tokens: int, cached_tokens: int, output_tokens: int) -> dict[str, Any]:
    """Count the tokens of an answer."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": output_tokens,
        "total_tokens": prompt_tokens + output_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }


def event(payload: Any) -> bytes:
    """Frame one server-sent event."""
    return b"data: " + orjson.dumps(payload) + b"\n\n"


def token_event(
    request_id: str, model: str, text: str, last_usage: Mapping[str, Any] | None
) -> bytes:
    """Frame one token; the last one carries the finish reason and the usage."""
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


def whole_answer(
    request_id: str, model: str, text: str, tokens: Mapping[str, Any]
) -> dict[str, Any]:
    """Build the answer to a request that isn't streamed."""
    message = {"role": "assistant", "content": text}
    return {
        "id": request_id,
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
        "usage": tokens,
    }
