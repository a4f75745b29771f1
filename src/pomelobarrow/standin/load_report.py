"""Publish load reports that lag behind the truth."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field

Report = Mapping[str, Any]
PERIODS_PER_LAG = 2


@define
class LaggingReport:
    """Keep the measurements of the last while and publish the oldest."""

    measure: Callable[[], Report]
    lag_s: float
    _measured: deque[Report] = field(factory=lambda: deque(maxlen=PERIODS_PER_LAG + 1))

    def published(self) -> Report:
        """Return the newest measurement that is at least the lag old, or the first one."""
        if not self.lag_s or not self._measured:
            return self.measure()
        return self._measured[0]

    async def keep_measuring(self) -> None:
        """Measure a few times per lag, for as long as the process lives."""
        while self.lag_s:
            self._measured.append(self.measure())
            await asyncio.sleep(self.lag_s / PERIODS_PER_LAG)
