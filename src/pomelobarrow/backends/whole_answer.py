"""Combine a streamed answer into one JSON body for a caller that did not ask for a stream."""

from typing import Any

import orjson

from pomelobarrow.decision.streams.event_counter import END_DATA
from pomelobarrow.decision.streams.server_sent_events import event_data


class TooLargeError(ValueError):
    """Raised if an answer is too large to buffer."""


class WholeAnswer:
    """Buffer a stream's events and build one chat completion in JSON from them."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size_bytes = 0
        self._contents: list[bytes] = []

    def feed(self, events: list[bytes]) -> None:
        """Add complete events."""
        self._size_bytes += sum(map(len, events))
        if self._size_bytes > self._max_bytes:
            raise TooLargeError(f"answer larger than {self._max_bytes} bytes: ask for a stream")
        self._contents += [
            content for each in events if (content := event_data(each)) not in (None, END_DATA)
        ]

    def body(self) -> bytes:
        """Return the answer as JSON."""
        return orjson.dumps(_merge([orjson.loads(each) for each in self._contents]))


def _merge(chunks: list[dict[str, Any]]) -> dict[str, Any]:
    first = chunks[0] if chunks else {}
    merged: dict[str, Any] = {key: first[key] for key in ("id", "created", "model") if key in first}
    usage = [chunk["usage"] for chunk in chunks if chunk.get("usage")]
    merged["object"] = "chat.completion"
    merged["choices"] = [_choice(index, chunks) for index in _indexes(chunks)]
    if usage:
        merged["usage"] = usage[-1]
    return merged


def _indexes(chunks: list[dict[str, Any]]) -> list[int]:
    return sorted({each["index"] for chunk in chunks for each in chunk.get("choices", ())})


def _choice(index: int, chunks: list[dict[str, Any]]) -> dict[str, Any]:
    parts = [
        each for chunk in chunks for each in chunk.get("choices", ()) if each["index"] == index
    ]
    content = "".join(each.get("delta", {}).get("content") or "" for each in parts)
    reasons = [each["finish_reason"] for each in parts if each.get("finish_reason")]
    return {
        "index": index,
        "message": {"role": "assistant", "content": content},
        "finish_reason": reasons[-1] if reasons else "stop",
    }
