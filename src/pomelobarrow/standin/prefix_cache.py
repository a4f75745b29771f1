"""Cache prompt prefixes with LRU eviction and publish delayed, incomplete cache events."""

from collections import OrderedDict, deque
from itertools import islice, takewhile
from typing import Any

from attrs import define, field, frozen

MAX_KEPT_EVENTS = 20_000


@frozen
class CacheEvent:
    """Event that one block was stored or evicted."""

    sequence: int
    kind: str
    block: int
    visible_at_unix_s: float


@define(kw_only=True)
class PrefixCache:
    """LRU cache of prompt blocks with a log of its events."""

    max_blocks: int
    event_lag_s: float = 0.0
    # Every nth event is lost; 0 loses none.
    event_loss_every: int = 0
    _blocks: OrderedDict[int, None] = field(factory=OrderedDict)
    _events: deque[CacheEvent] = field(factory=lambda: deque(maxlen=MAX_KEPT_EVENTS))
    _sequence: int = 0

    def match(self, blocks: tuple[int, ...]) -> int:
        """Return the number of leading blocks that are cached and mark these as used."""
        count = 0
        while count < len(blocks) and blocks[count] in self._blocks:
            count += 1
        self._mark_used(blocks[:count])
        return count

    def store(self, blocks: tuple[int, ...], now_unix_s: float) -> None:
        """Store a prompt's blocks; a block is evicted after the blocks that follow it."""
        kept = blocks[: self.max_blocks]
        for block in kept:
            if block not in self._blocks:
                self._blocks[block] = None
                self._publish("stored", block, now_unix_s)
        self._mark_used(kept)
        while len(self._blocks) > self.max_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted, now_unix_s)

    def events_after(self, after: int, now_unix_s: float) -> dict[str, Any]:
        """Build the response body of `GET /v1/cache/events`."""
        first = self._events[0].sequence if self._events else 1
        newer = islice(self._events, max(0, after + 1 - first), None)
        visible = list(takewhile(lambda event: event.visible_at_unix_s <= now_unix_s, newer))
        return {
            "next": visible[-1].sequence if visible else min(after, self._sequence),
            "events": [
                {"sequence": event.sequence, "kind": event.kind, "block": event.block}
                for event in visible
                if not self._is_lost(event)
            ],
        }

    def _mark_used(self, blocks: tuple[int, ...]) -> None:
        for block in reversed(blocks):
            self._blocks.move_to_end(block)

    def _publish(self, kind: str, block: int, now_unix_s: float) -> None:
        self._sequence += 1
        visible_at_unix_s = now_unix_s + self.event_lag_s
        self._events.append(CacheEvent(self._sequence, kind, block, visible_at_unix_s))

    def _is_lost(self, event: CacheEvent) -> bool:
        return bool(self.event_loss_every) and event.sequence % self.event_loss_every == 0
