"""Measure the demand of an account and track the rates announced to peers."""

import math
from collections import deque

from attrs import define, field

SLOW_HALF_LIFE_S = 4.0
FAST_HALF_LIFE_S = 0.7
# A difference between the averages of this many standard deviations is a step change, not noise.
STEP_CHANGE_DEVIATIONS = 3.5
# Larger than the change at which heartbeats resend a rate, so that every announced rate is sent.
ANNOUNCE_CHANGE = 0.3
# Announced rates include headroom, so that an increase too small to announce is still covered.
ANNOUNCE_HEADROOM = 1.2


@define
class _Average:
    half_life_s: float
    _rate_per_s: float = 0.0
    _updated_unix_s: float = 0.0

    def at(self, now_unix_s: float) -> float:
        age_s = max(0.0, now_unix_s - self._updated_unix_s)
        return self._rate_per_s * 0.5 ** (age_s / self.half_life_s)

    def count(self, now_unix_s: float) -> None:
        self.set(self.at(now_unix_s) + math.log(2.0) / self.half_life_s, now_unix_s)

    def set(self, rate_per_s: float, now_unix_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._updated_unix_s = now_unix_s


@define
class Demand:
    """One account's request rate at this VM, including refused requests."""

    _slow: _Average = field(factory=lambda: _Average(SLOW_HALF_LIFE_S))
    _fast: _Average = field(factory=lambda: _Average(FAST_HALF_LIFE_S))
    # Each announced rate with the time of its announcement.
    _announced: deque[tuple[float, float]] = field(factory=deque)

    def count(self, now_unix_s: float) -> None:
        """Count one request."""
        self._slow.count(now_unix_s)
        self._fast.count(now_unix_s)

    def rate_per_s(self, now_unix_s: float) -> float:
        """Return the current rate: a slow average that follows step changes quickly."""
        slow_per_s, fast_per_s = self._slow.at(now_unix_s), self._fast.at(now_unix_s)
        deviation = math.sqrt(
            max(slow_per_s, fast_per_s) * math.log(2.0) / (2.0 * FAST_HALF_LIFE_S)
        )
        if abs(fast_per_s - slow_per_s) <= STEP_CHANGE_DEVIATIONS * deviation:
            return slow_per_s
        self._slow.set(fast_per_s, now_unix_s)
        return fast_per_s

    def announce(self, now_unix_s: float) -> float:
        """Return the rate to announce to peers; small changes are not announced."""
        rate = ANNOUNCE_HEADROOM * self.rate_per_s(now_unix_s)
        old = self._announced[-1][1] if self._announced else 0.0
        if abs(rate - old) <= ANNOUNCE_CHANGE * max(rate, old):
            return old
        self._announced.append((now_unix_s, rate))
        return rate

    def lowest_announced_per_s(self, now_unix_s: float, propagation_s: float) -> float:
        """Return the lowest rate of this VM that a peer may still hold.

        A VM that increased its share as soon as its demand rose would do so before its peers reduce
        theirs: together they would exceed the limit until the update has reached all peers.
        """
        oldest_unix_s = now_unix_s - propagation_s
        while len(self._announced) > 1 and self._announced[1][0] <= oldest_unix_s:
            self._announced.popleft()
        rates = [rate for _, rate in self._announced]
        if not rates or self._announced[0][0] > oldest_unix_s:
            return 0.0
        return min(rates)
