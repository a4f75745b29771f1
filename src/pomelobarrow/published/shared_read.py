"""Read the platform for callers that need what was published until they asked."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field

from pomelobarrow.kernel.background import report_failure

# The store's calls are limited, for all VMs together.
MIN_INTERVAL_S = 0.02


async def no_read() -> None:
    """Read nothing, so that the lists stay as old as they are."""


@define(kw_only=True)
class SharedRead:
    """Serve callers that wait at the same time with one read, which none of them cancels."""

    read: Callable[[], Awaitable[None]]
    _running: asyncio.Task[None] | None = field(default=None, init=False)
    # Begins once the running one has ended.
    _next: asyncio.Task[None] | None = field(default=None, init=False)

    async def __call__(self) -> None:
        """Return once a read has ended, well or not, that began after this call."""
        if self._next is None:
            self._next = asyncio.create_task(self._read_after(self._running))
        await asyncio.shield(self._next)

    async def _read_after(self, before: asyncio.Task[None] | None) -> None:
        if before is not None and not before.done():
            await asyncio.wait((before,))
            await asyncio.sleep(MIN_INTERVAL_S)
        self._running, self._next = self._next, None
        try:
            await self.read()
        except Exception as error:
            report_failure("read of the platform", error)
