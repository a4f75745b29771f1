"""Measure how late the event loop runs what is due."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define

TICK_S = 0.05


@define
class LoopDelay:
    """The longest delay of the event loop while it is observed."""

    longest_s: float = 0.0

    async def observe(self) -> None:
        """Observe the loop until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.longest_s = max(self.longest_s, loop.time() - due_s)


@contextmanager
def observed_loop_delay() -> Iterator[LoopDelay]:
    """Observe the delay of the running loop within a block."""
    delay = LoopDelay()
    observing = asyncio.create_task(delay.observe())
    try:
        yield delay
    finally:
        observing.cancel()
