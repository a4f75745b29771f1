"""Simulated clock with an event heap."""

import heapq
import itertools
from collections.abc import Callable


class Clock:
    """Clock that runs scheduled events in order of time."""

    def __init__(self) -> None:
        self.now_unix_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()

    def at(self, unix_s: float, event: Callable[[], None]) -> None:
        """Schedule an event at a time, or now if the time has passed."""
        heapq.heappush(self._events, (max(unix_s, self.now_unix_s), next(self._serial), event))

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        self.at(self.now_unix_s + delay_s, event)

    def every(self, period_s: float, first_unix_s: float, event: Callable[[], None]) -> None:
        """Schedule a periodic event."""

        def tick() -> None:
            event()
            self.after(period_s, tick)

        self.at(first_unix_s, tick)

    def run_until(self, end_unix_s: float) -> None:
        """Run all events up to a time and advance the clock to it."""
        while self._events and self._events[0][0] <= end_unix_s:
            self.now_unix_s, _, event = heapq.heappop(self._events)
            event()
        self.now_unix_s = end_unix_s
