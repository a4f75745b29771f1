"""Let requests wait until this VM has a free place at a server of their pool."""

import asyncio
from collections import defaultdict, deque

from attrs import define, field


@define
class PlaceWaiters:
    """The requests that wait for a place, by pool, in the order of their arrival."""

    _waiting: "defaultdict[str, deque[asyncio.Future[None]]]" = field(
        factory=lambda: defaultdict(deque)
    )

    def count(self, pool: str) -> int:
        """Return how many requests wait for a place in a pool."""
        return len(self._waiting[pool]) if pool in self._waiting else 0

    async def wait(self, pool: str, timeout_s: float) -> None:
        """Wait until a place becomes free, at most for this time."""
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[pool].append(waiter)
        try:
            await asyncio.wait({waiter}, timeout=timeout_s)
        finally:
            if not waiter.done():
                self._waiting[pool].remove(waiter)

    def wake_next(self, pool: str) -> None:
        """Wake the request that has waited longest for a place in a pool."""
        waiting = self._waiting.get(pool)
        if waiting:
            waiting.popleft().set_result(None)
