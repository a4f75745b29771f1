"""Read the platform for callers that need what was published until they asked."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field


async def no_read() -> None:
    """Read nothing, so that the lists stay as old as they are."""


@define(kw_only=True)
class SharedRead:
    """Serve callers that wait at the same time with one read each time."""

    read: Callable[[], Awaitable[None]]
    _turn: asyncio.Lock = field(factory=asyncio.Lock, init=False)
    _started: int = field(default=0, init=False)
    # The last read that has ended; a cancelled one serves nobody.
    _ended: int = field(default=0, init=False)

    async def __call__(self) -> None:
        """Return once a read has ended, well or not, that began after this call."""
        before = self._started
        async with self._turn:
            if self._ended > before:
                return
            self._started += 1
            number = self._started
            await self.read()
            self._ended = number
