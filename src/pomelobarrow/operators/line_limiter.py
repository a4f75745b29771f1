"""Bound how often a kind of event is logged."""

import math
from collections.abc import Hashable

from attrs import define, field


@define(kw_only=True)
class LineLimiter:
    """Admit one line of each kind in an interval, and count the others."""

    interval_s: float
    # By kind, from when on a line is admitted, and how many have not been since the last one.
    _due_unix_s: dict[Hashable, float] = field(factory=dict, init=False)
    _suppressed: dict[Hashable, int] = field(factory=dict, init=False)

    def admit(self, kind: Hashable, now_unix_s: float) -> int | None:
        """Return how many lines were suppressed before this one; None if this one is, too."""
        if now_unix_s < self._due_unix_s.get(kind, -math.inf):
            self._suppressed[kind] = self._suppressed.get(kind, 0) + 1
            return None
        self._due_unix_s[kind] = now_unix_s + self.interval_s
        return self._suppressed.pop(kind, 0)
