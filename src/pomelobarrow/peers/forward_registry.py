"""Remember which forwards were seen and which were cancelled before they came."""

import heapq

from attrs import define, field, frozen

SEEN_KEPT_S = 60.0
# Past the deadline a late message is refused for that; this covers a changed clock offset.
CANCELLED_KEPT_PAST_DEADLINE_S = 600.0
MAX_CANCELLED = 50_000


@frozen
class ForwardKey:
    """Name one forward: the entry VM, its incarnation and its count of forwards.

    The request's id isn't enough: a repeat has the same one, and taken for a cancelled forward it
    would be refused as "not run" although the first one ran.
    """

    vm: str
    incarnation: int
    serial: int


@define
class ForwardRegistry:
    """Hold the forwards by key; its size is bounded by their rate and the times above."""

    _seen: set[ForwardKey] = field(factory=set)
    _seen_until: list[tuple[float, int, ForwardKey]] = field(factory=list)
    _cancelled_until_unix_s: dict[ForwardKey, float] = field(factory=dict)
    _cancelled_expiries: list[tuple[float, int, ForwardKey]] = field(factory=list)
    # A forgotten forward may have run, and so may any sent before it.
    _forgotten_through: dict[tuple[str, int], int] = field(factory=dict)
    _pushes: int = 0

    def __len__(self) -> int:
        return len(self._seen) + len(self._cancelled_until_unix_s)

    def note_seen(self, key: ForwardKey, now_unix_s: float) -> None:
        """Note that a forward came; from now on it may have run."""
        self.forget(now_unix_s)
        self._seen.add(key)
        self._push(self._seen_until, now_unix_s + SEEN_KEPT_S, key)

    def note_unrun(self, key: ForwardKey, deadline_unix_s: float, now_unix_s: float) -> None:
        """Note that a forward ended here without having run, and bar it.

        An entry VM that gives up resets the stream and then asks. The reset comes first and ends
        the forward; taken as merely seen, it would be "unknown" though nothing ran.
        """
        self._seen.discard(key)
        self.cancel(key, deadline_unix_s, now_unix_s)

    def cancel(self, key: ForwardKey, deadline_unix_s: float, now_unix_s: float) -> bool:
        """Bar a forward; True where it never came, so that it is certain not to run."""
        self.forget(now_unix_s)
        if key in self._seen or self._may_be_forgotten(key):
            return False
        if len(self._cancelled_until_unix_s) >= MAX_CANCELLED:
            return False
        until_unix_s = max(deadline_unix_s, now_unix_s) + CANCELLED_KEPT_PAST_DEADLINE_S
        self._cancelled_until_unix_s[key] = until_unix_s
        self._push(self._cancelled_expiries, until_unix_s, key)
        return True

    def is_cancelled(self, key: ForwardKey) -> bool:
        """Tell whether a forward was barred before it came."""
        return key in self._cancelled_until_unix_s

    def forget(self, now_unix_s: float) -> None:
        """Drop what is old."""
        while self._seen_until and self._seen_until[0][0] < now_unix_s:
            key = heapq.heappop(self._seen_until)[2]
            self._seen.discard(key)
            sender = (key.vm, key.incarnation)
            latest = max(key.serial, self._forgotten_through.get(sender, -1))
            self._forgotten_through[sender] = latest
        while self._cancelled_expiries and self._cancelled_expiries[0][0] < now_unix_s:
            self._cancelled_until_unix_s.pop(heapq.heappop(self._cancelled_expiries)[2], None)

    def _may_be_forgotten(self, key: ForwardKey) -> bool:
        return key.serial <= self._forgotten_through.get((key.vm, key.incarnation), -1)

    def _push(
        self, heap: list[tuple[float, int, ForwardKey]], until_unix_s: float, key: ForwardKey
    ) -> None:
        self._pushes += 1
        heapq.heappush(heap, (until_unix_s, self._pushes, key))
