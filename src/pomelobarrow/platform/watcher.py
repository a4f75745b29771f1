"""Keep the keyspaces fresh: a few watchers a region hold long polls, the rest check rarely."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import structlog
from mode import Service
from result import Err

from pomelobarrow.kernel.context import Context
from pomelobarrow.platform.client import Page, read_page
from pomelobarrow.platform.events import PlatformUnreachable
from pomelobarrow.platform.keyspaces import CONFIG, VMS, PublishedState

WAIT_S = 20.0
# A daemon that isn't a watcher relies on its peers; this read only bounds how long it can stay
# behind when both watchers of its region fail together.
IDLE_READ_EVERY_S = 30.0
RETRY_FLOOR_S = 0.2
RETRY_CEILING_S = 5.0
SOURCE_PLATFORM = "platform"

log = structlog.get_logger(__name__)


class PlatformWatcher(Service):
    """Read both keyspaces at start and watch them where this VM is one of the watchers."""

    def __init__(
        self, context: Context, state: PublishedState, is_watcher: Callable[[str], bool]
    ) -> None:
        super().__init__()
        self._addresses = tuple(context.settings.platform.addresses)
        self._state = state
        self._is_watcher = is_watcher
        self._context = context
        self._session: aiohttp.ClientSession | None = None
        self._random = random.Random()
        self.first_read_done = asyncio.Event()

    async def on_start(self) -> None:
        """Open the session and read each keyspace once, without waiting for the result."""
        self._session = aiohttp.ClientSession()
        self.add_future(self._first_read())
        for name in (CONFIG, VMS):
            self.add_future(self._watch(name))

    async def on_stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def _first_read(self) -> None:
        await asyncio.gather(*(self._read(name, 0.0) for name in (CONFIG, VMS)))
        self.first_read_done.set()

    async def _watch(self, name: str) -> None:
        await self.first_read_done.wait()
        pause_s = RETRY_FLOOR_S
        while not self.should_stop:
            watching = self._is_watcher(name)
            succeeded = await self._read(name, WAIT_S if watching else 0.0)
            pause_s = RETRY_FLOOR_S if succeeded else min(pause_s * 2, RETRY_CEILING_S)
            if not watching:
                await self._idle(name)
            elif not succeeded:
                await self.sleep(pause_s * self._random.uniform(0.5, 1.5))

    async def _idle(self, name: str) -> None:
        """Wait for the next rare read, or until this VM becomes a watcher."""
        remaining_s = IDLE_READ_EVERY_S * self._random.uniform(0.5, 1.5)
        while remaining_s > 0 and not self._is_watcher(name) and not self.should_stop:
            await self.sleep(1.0)
            remaining_s -= 1.0

    async def _read(self, name: str, wait_s: float) -> bool:
        assert self._session is not None
        after = self._state.copies[name].observed_revision
        for address in self._shuffled_addresses():
            result = await read_page(self._session, address, name, after, wait_s)
            if isinstance(result, Err):
                self._context.observe(PlatformUnreachable(address, result.err_value))
                continue
            return await self._take(name, address, after, result.ok_value)
        return False

    async def _take(self, name: str, address: str, after: int, page: Page) -> bool:
        """Apply a page and go on while the platform says there is more."""
        assert self._session is not None
        while True:
            self._state.apply(
                name,
                page.changes,
                page.head_revision,
                after_revision=after,
                source=SOURCE_PLATFORM,
                complete=page.complete,
            )
            if page.complete or not page.changes:
                return page.complete
            after = page.changes[-1].revision
            result = await read_page(self._session, address, name, after, 0.0)
            if isinstance(result, Err):
                return False
            page = result.ok_value

    def _shuffled_addresses(self) -> list[str]:
        return self._random.sample(self._addresses, len(self._addresses))
