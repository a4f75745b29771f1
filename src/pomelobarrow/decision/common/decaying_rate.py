"""Exponentially decaying rates by key."""

import math

from attrs import define, field

HALF_LIFE_S = 1.5
DECAY_PER_S = math.log(2.0) / HALF_LIFE_S


@define
class _DecayingSum:
    amount: float = 0.0
    unix_s: float = -math.inf

    def at(self, now_unix_s: float) -> float:
        age_s = max(0.0, now_unix_s - self.unix_s)
        return self.amount * 0.5 ** (age_s / HALF_LIFE_S)


@define
class DecayingRates:
    """Recent rates by key, as exponentially weighted averages."""

    _sums: dict[str, _DecayingSum] = field(factory=dict)

    def add(self, key: str, amount: float, now_unix_s: float) -> None:
        """Add an amount to a key."""
        total = self._sums.setdefault(key, _DecayingSum())
        total.amount = total.at(now_unix_s) + amount
        total.unix_s = now_unix_s

    def per_s(self, key: str, now_unix_s: float) -> float:
        """Return the current rate of a key."""
        total = self._sums.get(key)
        return total.at(now_unix_s) * DECAY_PER_S if total else 0.0

    def forget(self, key: str) -> None:
        """Drop a key."""
        self._sums.pop(key, None)
