"""Keep the keyspaces fresh: a few watchers a region hold long polls, the rest check rarely."""

import asyncio
import enum
import random
from collections.abc import Callable

import aiohttp
import structlog
from mode import Service
from result import Err

from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.platform.client import Page, read_page
from pomelobarrow.platform.events import PlatformUnreachable
from pomelobarrow.platform.keyspaces import CONFIG, VMS, PublishedState

# A watch's connection can be forgotten on its way and stay silent for good. A change then waits
# for the end of the poll, so that one is short; twelve polls in three seconds are four reads a
# second for a whole fleet, of the two thousand that the platform gives.
WAIT_S = 3.0
# A burst of changes is read in bundles of this length, and not with one call each.
READ_EVERY_S = 0.1
# A daemon that isn't a watcher relies on its peers; this read only bounds how long it can stay
# behind when both watchers of its region fail together.
IDLE_READ_EVERY_S = 30.0
RETRY_FLOOR_S = 0.2
RETRY_CEILING_S = 5.0
SOURCE_PLATFORM = "platform"

log = structlog.get_logger(__name__)


class ReadResult(enum.Enum):
    """Enumerate what a read of the platform brought."""

    NEWS = "news"
    NOTHING = "nothing"
    FAILED = "failed"


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
            if not self._is_watcher(name):
                await self._idle(name)
                await self._read(name, 0.0)
                continue
            started_unix_s = now_unix_s()
            wait_s = WAIT_S * self._random.uniform(0.75, 1.0)
            result = await self._read(name, wait_s)
            if _is_as_expected(result, now_unix_s() - started_unix_s, wait_s):
                pause_s = RETRY_FLOOR_S
                await self.sleep(max(0.0, started_unix_s + READ_EVERY_S - now_unix_s()))
                continue
            await self.sleep(pause_s * self._random.uniform(0.5, 1.5))
            pause_s = min(pause_s * 2, RETRY_CEILING_S)

    async def _idle(self, name: str) -> None:
        """Wait for the next rare read, or until this VM becomes a watcher."""
        remaining_s = IDLE_READ_EVERY_S * self._random.uniform(0.5, 1.5)
        while remaining_s > 0 and not self._is_watcher(name) and not self.should_stop:
            await self.sleep(1.0)
            remaining_s -= 1.0

    async def _read(self, name: str, wait_s: float) -> ReadResult:
        assert self._session is not None
        after = self._state.copies[name].observed_revision
        for address in self._shuffled_addresses():
            result = await read_page(self._session, address, name, after, wait_s)
            if self.should_stop:
                return ReadResult.NOTHING
            if isinstance(result, Err):
                self._context.observe(PlatformUnreachable(address, result.err_value))
                continue
            return await self._take(name, address, after, result.ok_value)
        return ReadResult.FAILED

    async def _take(self, name: str, address: str, after: int, page: Page) -> ReadResult:
        """Apply a page and go on while the platform says there is more."""
        assert self._session is not None
        first_after = after
        while True:
            self._state.apply(
                name,
                page.changes,
                page.head_revision,
                after_revision=after,
                source=SOURCE_PLATFORM,
                complete=page.complete,
            )
            if page.complete:
                is_news = page.head_revision > first_after
                return ReadResult.NEWS if is_news else ReadResult.NOTHING
            if not page.changes:
                return ReadResult.FAILED
            after = page.changes[-1].revision
            result = await read_page(self._session, address, name, after, 0.0)
            if isinstance(result, Err):
                return ReadResult.FAILED
            page = result.ok_value

    def _shuffled_addresses(self) -> list[str]:
        return self._random.sample(self._addresses, len(self._addresses))


def _is_as_expected(result: ReadResult, took_s: float, wait_s: float) -> bool:
    """Tell whether the next read may follow at once.

    A platform that has gone back may answer a wait for what it no longer has without waiting.
    Read again at once, it would get all its calls from one watcher.
    """
    return result is ReadResult.NEWS or (result is ReadResult.NOTHING and took_s > wait_s / 2)
