"""Keep the keyspaces fresh: a few watchers a region hold long polls, the rest check rarely."""

import asyncio
import contextlib
import enum
import random
from collections.abc import Callable

import structlog
from mode import Service
from result import Err, Result

from pomelobarrow.decision.keyspace import ApplyOutcome
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.published.events import PlatformReachable, PlatformUnreachable
from pomelobarrow.published.keyspaces import PublishedState
from pomelobarrow.published.store_reader import Page, ReadError, ReadFailure, StoreReader

# A watch's connection can be forgotten on its way and stay silent for good. A change then waits
# for the end of the poll, so that one is short; twelve polls in three seconds are four reads a
# second for a whole fleet, of the two thousand that the platform gives.
WAIT_S = 3.0
# A burst of changes is read in bundles of this length, and not with one call each: calls cost, and
# a change has seconds to be in force.
READ_EVERY_S = 0.25
# A daemon that isn't a watcher relies on its peers, and takes a watcher's place where those are
# silent. This read is for what neither notices. Every 30 s it was two fifths of the calls of 195
# VMs in a quiet minute, and still later than any change has to be in force.
IDLE_READ_EVERY_S = 300.0
RETRY_FLOOR_S = 0.2
# A store that is back must be read before the bounds on configuration and draining count again.
RETRY_CEILING_S = 1.0
SOURCE_PLATFORM = "platform"

log = structlog.get_logger(__name__)


class ReadResult(enum.Enum):
    """Enumerate what a read of the platform brought."""

    NEWS = "news"
    NOTHING = "nothing"
    FAILED = "failed"


class PlatformWatcher(Service):
    """Read the keyspaces at start and watch them where this VM is one of the watchers."""

    def __init__(
        self,
        context: Context,
        state: PublishedState,
        reader: StoreReader,
        is_watcher: Callable[[], bool],
    ) -> None:
        super().__init__()
        self._state = state
        self._reader = reader
        self._is_watcher = is_watcher
        self._context = context
        self._random = random.Random()
        self._is_reachable: bool | None = None
        self._is_needed = asyncio.Event()
        self.first_read_done = asyncio.Event()

    async def on_start(self) -> None:
        """Read each keyspace once, without waiting for the result."""
        self.add_future(self._first_read())
        for name in self._state.copies:
            self.add_future(self._watch(name))

    def note_role(self) -> None:
        """Wake an idle reader where this VM has become a watcher.

        Both watchers may fall silent while a server leaves, which is served for 3 s more, so that
        this is asked with each review of the peers.
        """
        if self._is_watcher():
            self._is_needed.set()
        else:
            self._is_needed.clear()

    async def on_shutdown(self) -> None:
        """Close the connections to the store, once no watch uses them any more.

        Closed earlier, a watch under way would try the next address on a closed session and crash.
        """
        await self._reader.close()

    async def _first_read(self) -> None:
        await asyncio.gather(*(self._read(name, 0.0) for name in self._state.copies))
        self.first_read_done.set()

    async def _watch(self, name: str) -> None:
        await self.first_read_done.wait()
        pause_s = RETRY_FLOOR_S
        while not self.should_stop:
            if not self._is_watcher():
                await self._idle()
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

    async def _idle(self) -> None:
        """Wait for the next rare read, or until this VM becomes a watcher."""
        self._is_needed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_READ_EVERY_S * self._random.uniform(0.5, 1.5)):
                await self._is_needed.wait()

    async def _read(self, name: str, wait_s: float) -> ReadResult:
        after = self._state.copies[name].observed_revision
        if after == 0:
            return await self._read_all(name)
        result = await self._reader.read_changes(name, after, now_unix_s() + wait_s)
        if isinstance(result, Err) and result.err_value.failure is ReadFailure.HISTORY_GONE:
            log.info("history gone, listing again", keyspace=name, after_revision=after)
            return await self._read_all(name)
        return self._take(name, after, result)

    async def _read_all(self, name: str) -> ReadResult:
        result = await self._reader.read_all(name)
        # What peers have brought meanwhile would make the whole look like a gap.
        if not isinstance(result, Err) and self._state.copies[name].observed_revision:
            self._state.copies[name].restart()
        return self._take(name, 0, result)

    def _take(self, name: str, after: int, result: Result[Page, ReadError]) -> ReadResult:
        if self.should_stop:
            return ReadResult.NOTHING
        if isinstance(result, Err):
            self._note_failure(result.err_value)
            return ReadResult.FAILED
        self._note_answer()
        page = result.ok_value
        applied = self._state.apply(
            name, page.changes, page.head_revision, after_revision=after, source=SOURCE_PLATFORM
        )
        if applied.outcome is ApplyOutcome.MALFORMED:
            return ReadResult.FAILED
        return ReadResult.NEWS if page.head_revision > after else ReadResult.NOTHING

    def _note_failure(self, error: ReadError) -> None:
        if self._is_reachable is not False:
            reason = f"{error.failure.value}: {error.detail}"
            self._context.observe(PlatformUnreachable(reason))
        self._is_reachable = False

    def _note_answer(self) -> None:
        if self._is_reachable is False:
            self._context.observe(PlatformReachable())
        self._is_reachable = True


def _is_as_expected(result: ReadResult, took_s: float, wait_s: float) -> bool:
    """Tell whether the next read may follow at once.

    A platform that has gone back may answer a wait for what it no longer has without waiting.
    Read again at once, it would get all its calls from one watcher.
    """
    return result is ReadResult.NEWS or (result is ReadResult.NOTHING and took_s > wait_s / 2)
