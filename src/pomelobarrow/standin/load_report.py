"""Publish load reports with a delay."""

import asyncio
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field

Report = Mapping[str, Any]
MEASUREMENTS_PER_LAG = 2


@define
class LaggingReport:
    """Recent load measurements, of which the oldest is published."""

    measure: Callable[[], Report]
    lag_s: float
    _measurements: deque[Report] = field(factory=lambda: deque(maxlen=MEASUREMENTS_PER_LAG + 1))

    def published(self) -> Report:
        """Return the newest measurement that is at least `lag_s` old, or else the first one."""
        if not self.lag_s or not self._measurements:
            return self.measure()
        return self._measurements[0]

    async def keep_measuring(self) -> None:
        """Measure twice per lag until cancelled."""
        while self.lag_s:
            self._measurements.append(self.measure())
            await asyncio.sleep(self.lag_s / MEASUREMENTS_PER_LAG)
