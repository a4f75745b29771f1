"""Measure the throughput of a queue from the waits of the work that left it."""

import math

from attrs import define, field

DECAY = 0.97
RATE_HALF_LIFE_S = 5.0
# Older measurements do not describe the current servers.
MAX_AGE_S = 10.0


@define
class QueueThroughput:
    """Observed wait per request ahead, and requests dispatched per second.

    Work that arrives later but is due earlier is served first. An estimate from the number of
    requests ahead ignores that and is too low; observed waits include it.
    """

    _waited_s: float = 0.0
    _ahead: float = 0.0
    _updated_unix_s: float = -math.inf
    _taken_per_s: float = 0.0
    _pushed: dict[str, tuple[float, int]] = field(factory=dict)

    def pushed(self, request_id: str, ahead: int, now_unix_s: float) -> None:
        """Record that work was queued behind other work."""
        if ahead:
            self._pushed[request_id] = (now_unix_s, ahead)

    def left(self, request_id: str) -> None:
        """Drop work that was abandoned."""
        self._pushed.pop(request_id, None)

    def taken(self, request_id: str, now_unix_s: float) -> None:
        """Record that work was assigned to a server."""
        rate = self.taken_per_s(now_unix_s) + math.log(2.0) / RATE_HALF_LIFE_S
        self._taken_per_s = rate
        pushed = self._pushed.pop(request_id, None)
        self._updated_unix_s = now_unix_s
        if pushed is None:
            return
        pushed_unix_s, ahead = pushed
        self._waited_s = self._waited_s * DECAY + now_unix_s - pushed_unix_s
        self._ahead = self._ahead * DECAY + ahead

    def wait_per_request_ahead_s(self, now_unix_s: float) -> float:
        """Return the wait per request ahead, or zero if unknown."""
        if not self._ahead or now_unix_s - self._updated_unix_s > MAX_AGE_S:
            return 0.0
        return self._waited_s / self._ahead

    def taken_per_s(self, now_unix_s: float) -> float:
        """Return the recent rate of requests assigned to a server."""
        age_s = max(0.0, now_unix_s - self._updated_unix_s)
        return self._taken_per_s * 0.5 ** (age_s / RATE_HALF_LIFE_S)
