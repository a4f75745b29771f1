"""Learn how fast a queue moves from the waits of the work that left it."""

import math

from attrs import define, field

DECAY = 0.97
RATE_HALF_LIFE_S = 5.0
# A pace learned longer ago says nothing of the servers of today.
GOOD_FOR_S = 10.0


@define
class QueueThroughput:
    """Hold seconds of wait for each request ahead, and requests taken a second.

    Work that comes later but is due earlier goes first. A wait reckoned from the requests ahead
    leaves that out and promises too much; the waits that came true have it in them.
    """

    _waited_s: float = 0.0
    _ahead: float = 0.0
    _updated_unix_s: float = -math.inf
    _taken_per_s: float = 0.0
    _pushed: dict[str, tuple[float, int]] = field(factory=dict)

    def pushed(self, request_id: str, ahead: int, now_unix_s: float) -> None:
        """Note work that joined behind some other."""
        if ahead:
            self._pushed[request_id] = (now_unix_s, ahead)

    def left(self, request_id: str) -> None:
        """Forget work that was given up."""
        self._pushed.pop(request_id, None)

    def taken(self, request_id: str, now_unix_s: float) -> None:
        """Learn from work that found a server."""
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
        """Return the seconds that each request ahead costs, or zero where that isn't known."""
        if not self._ahead or now_unix_s - self._updated_unix_s > GOOD_FOR_S:
            return 0.0
        return self._waited_s / self._ahead

    def taken_per_s(self, now_unix_s: float) -> float:
        """Return the requests a second that left for a server of late."""
        age_s = max(0.0, now_unix_s - self._updated_unix_s)
        return self._taken_per_s * 0.5 ** (age_s / RATE_HALF_LIFE_S)
