"""Combine a streamed answer into one JSON body for a caller that did not ask for a stream."""

from collections.abc import Iterable
from typing import Any

import orjson

from pomelobarrow.decision.streams.event_counter import END_DATA
from pomelobarrow.decision.streams.server_sent_events import event_data

COPIED_FIELDS = ("id", "created", "model")


class WholeAnswer:
    """Merge a stream's events into one chat completion.

    Only its parts are kept: the parsed events would take many times the size of the stream.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._copied: dict[str, Any] | None = None
        self._usage: Any = None
        self._texts: dict[int, bytearray] = {}
        self._finish_reasons: dict[int, str] = {}

    def feed(self, events: Iterable[bytes]) -> None:
        """Add complete events."""
        for event in events:
            self.size_bytes += len(event)
            content = event_data(event)
            if content is not None and content != END_DATA:
                self._add(orjson.loads(content))

    def body(self) -> bytes:
        """Return the answer as JSON."""
        merged = {
            **(self._copied or {}),
            "object": "chat.completion",
            "choices": [self._choice(index) for index in sorted(self._texts)],
        }
        if self._usage:
            merged["usage"] = self._usage
        return orjson.dumps(merged)

    def _add(self, chunk: dict[str, Any]) -> None:
        if self._copied is None:
            self._copied = {key: chunk[key] for key in COPIED_FIELDS if key in chunk}
        self._usage = chunk.get("usage") or self._usage
        for choice in chunk.get("choices", ()):
            index = choice["index"]
            text = self._texts.setdefault(index, bytearray())
            if content := choice.get("delta", {}).get("content"):
                text += content.encode()
            if reason := choice.get("finish_reason"):
                self._finish_reasons[index] = reason

    def _choice(self, index: int) -> dict[str, Any]:
        return {
            "index": index,
            "message": {"role": "assistant", "content": self._texts[index].decode()},
            "finish_reason": self._finish_reasons.get(index, "stop"),
        }
