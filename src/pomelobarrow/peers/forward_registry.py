"""Track which forwards were received and which were cancelled before they arrived."""

import heapq

from attrs import define, field, frozen

SEEN_KEPT_S = 60.0
# A message that arrives after its deadline is refused anyway; this margin covers a change of the
# clock offset.
CANCELLED_KEPT_PAST_DEADLINE_S = 600.0
MAX_CANCELLED = 50_000


@frozen
class ForwardKey:
    """Identify one forward by the entry VM, its incarnation and its forward counter.

    The request id isn't sufficient, because a retry has the same one: it would be taken for the
    cancelled forward and refused as "not run" although the first forward ran.
    """

    vm: str
    incarnation: int
    serial: int


@define
class ForwardRegistry:
    """Record forwards by key; the size is bounded by their rate and the retention times above."""

    _seen: set[ForwardKey] = field(factory=set)
    _seen_expiries: list[tuple[float, int, ForwardKey]] = field(factory=list)
    _cancelled_until_unix_s: dict[ForwardKey, float] = field(factory=dict)
    _cancelled_expiries: list[tuple[float, int, ForwardKey]] = field(factory=list)
    # A forward whose entry has expired may have run, and so may any with a lower serial.
    _expired_through: dict[tuple[str, int], int] = field(factory=dict)
    _push_count: int = 0

    def __len__(self) -> int:
        return len(self._seen) + len(self._cancelled_until_unix_s)

    def note_seen(self, key: ForwardKey, now_unix_s: float) -> None:
        """Record that a forward arrived; from now on it may have run."""
        self.drop_expired(now_unix_s)
        self._seen.add(key)
        self._push(self._seen_expiries, now_unix_s + SEEN_KEPT_S, key)

    def note_unrun(self, key: ForwardKey, deadline_unix_s: float, now_unix_s: float) -> None:
        """Record that a forward ended here without having run, and block it.

        An entry VM that gives up resets the stream before it sends the cancel call. The reset ends
        the forward; without this record the answer would be "unknown" although nothing ran.
        """
        self._seen.discard(key)
        self.cancel(key, deadline_unix_s, now_unix_s)

    def cancel(self, key: ForwardKey, deadline_unix_s: float, now_unix_s: float) -> bool:
        """Block a forward; return True if it never arrived, so that it is certain not to run."""
        self.drop_expired(now_unix_s)
        if key in self._seen or self._may_have_expired(key):
            return False
        if len(self._cancelled_until_unix_s) >= MAX_CANCELLED:
            return False
        until_unix_s = max(deadline_unix_s, now_unix_s) + CANCELLED_KEPT_PAST_DEADLINE_S
        self._cancelled_until_unix_s[key] = until_unix_s
        self._push(self._cancelled_expiries, until_unix_s, key)
        return True

    def is_cancelled(self, key: ForwardKey) -> bool:
        """Return whether a forward was blocked before it arrived."""
        return key in self._cancelled_until_unix_s

    def drop_expired(self, now_unix_s: float) -> None:
        """Drop the entries whose retention time has passed."""
        while self._seen_expiries and self._seen_expiries[0][0] < now_unix_s:
            key = heapq.heappop(self._seen_expiries)[2]
            self._seen.discard(key)
            sender = (key.vm, key.incarnation)
            latest = max(key.serial, self._expired_through.get(sender, -1))
            self._expired_through[sender] = latest
        while self._cancelled_expiries and self._cancelled_expiries[0][0] < now_unix_s:
            self._cancelled_until_unix_s.pop(heapq.heappop(self._cancelled_expiries)[2], None)

    def _may_have_expired(self, key: ForwardKey) -> bool:
        return key.serial <= self._expired_through.get((key.vm, key.incarnation), -1)

    def _push(
        self, heap: list[tuple[float, int, ForwardKey]], until_unix_s: float, key: ForwardKey
    ) -> None:
        self._push_count += 1
        heapq.heappush(heap, (until_unix_s, self._push_count, key))
