"""Keep the keyspaces current: a few watchers per region use long polls, other VMs read rarely."""

import asyncio
import contextlib
import enum
import random
from collections.abc import Callable
from functools import partial

import structlog
from mode import Service
from result import Err, Ok, Result

from pomelobarrow.decision.published.config_proof import ConfigProof, Proof
from pomelobarrow.decision.published.configuration_check import ROUTING_KEY
from pomelobarrow.decision.published.keyspace import ApplyOutcome
from pomelobarrow.decision.published.store_position import era_of, revision_of
from pomelobarrow.kernel.background import keep_running
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.published.events import PlatformReachable, PlatformUnreachable
from pomelobarrow.published.keyspaces import CONFIG, PublishedState
from pomelobarrow.published.store_reader import Page, ReadError, ReadFailure, StoreReader

# The network may drop a poll's connection without notice to either end; it then stays silent for
# good, and changes wait until the poll ends. Polls are short for that reason. Twelve polls in three
# seconds are four reads a second for a whole fleet, of the two thousand that the platform allows.
LONG_POLL_S = 3.0
# Changes in a burst are read in batches of this length instead of one call each: each call to the
# store is charged, and a change may take seconds to come into force.
READ_INTERVAL_S = 0.25
# A daemon that isn't a watcher receives changes from its peers, and becomes a watcher if the
# watchers fall silent. The idle read finds changes that are missed in both ways. With an interval
# of 30 s, idle reads are two fifths of the calls of 195 VMs in a quiet minute, and still come later
# than the time within which any change has to be in force.
IDLE_READ_INTERVAL_S = 300.0
MIN_RETRY_DELAY_S = 0.2
# After an outage, the store must be read before the time limits for configuration changes and
# draining apply again.
MAX_RETRY_DELAY_S = 1.0
# A watch that is answered so late may have waited until the store was up again.
LATE_S = 0.5
SOURCE_PLATFORM = "platform"
# The copy may lack changes that the read contained.
UNUSABLE_OUTCOMES = (ApplyOutcome.GAP, ApplyOutcome.MALFORMED)

log = structlog.get_logger(__name__)


class ReadResult(enum.Enum):
    """Enumerate the results of a read of the platform."""

    CHANGES = "news"
    NO_CHANGES = "nothing"
    FAILED = "failed"


class PlatformWatcher(Service):
    """Read the keyspaces at start and watch them while this VM is one of the watchers."""

    def __init__(
        self,
        context: Context,
        state: PublishedState,
        reader: StoreReader,
        is_watcher: Callable[[], bool],
        proof: ConfigProof,
    ) -> None:
        super().__init__()
        self._state = state
        self._reader = reader
        self._is_watcher = is_watcher
        self._proof = proof
        # Called with a keyspace and the time at which a read was sent whose answer it contains.
        self.read_listeners: list[Callable[[str, float], None]] = []
        self._context = context
        self._random = random.Random()
        self._is_reachable: bool | None = None
        self._is_silent = False
        self._became_watcher = asyncio.Event()
        self.first_read_done = asyncio.Event()

    async def on_start(self) -> None:
        """Read each keyspace once, without waiting for the result."""
        self.add_future(keep_running(self, "_first_read", self._first_read))
        for name in self._state.copies:
            self.add_future(keep_running(self, f"_watch {name}", partial(self._watch, name)))

    def on_role_review(self) -> None:
        """Wake the idle readers if this VM has become a watcher.

        Runs with each review of the peers, since both watchers may fall silent while a server is
        leaving, and a leaving server is in service for only 3 s more.
        """
        if self._is_watcher():
            self._became_watcher.set()
        else:
            self._became_watcher.clear()

    async def on_shutdown(self) -> None:
        """Close the connections to the store after the watches have ended.

        If they were closed earlier, a watch in progress would try the next address on a closed
        session and crash.
        """
        await self._reader.close()

    async def _first_read(self) -> None:
        await asyncio.gather(*(self._read(name, 0.0) for name in self._state.copies))
        self.first_read_done.set()

    async def _watch(self, name: str) -> None:
        await self.first_read_done.wait()
        retry_delay_s = MIN_RETRY_DELAY_S
        while not self.should_stop:
            if not self._is_watcher():
                await self._wait_for_idle_read()
                await self._read(name, 0.0)
                continue
            started_unix_s = now_unix_s()
            wait_s = self._long_poll_s(name) * self._random.uniform(0.75, 1.0)
            result = await self._read(name, wait_s)
            if _may_read_at_once(result, now_unix_s() - started_unix_s, wait_s):
                retry_delay_s = MIN_RETRY_DELAY_S
                await self.sleep(max(0.0, started_unix_s + READ_INTERVAL_S - now_unix_s()))
                continue
            await self.sleep(retry_delay_s * self._random.uniform(0.5, 1.5))
            retry_delay_s = min(retry_delay_s * 2, MAX_RETRY_DELAY_S)

    def _long_poll_s(self, name: str) -> float:
        """Return how long a watch waits; where accounts have keys, each watch is a proof."""
        routing = self._state.routing
        if name == CONFIG and routing is not None and routing.needs_account:
            return min(LONG_POLL_S, self._proof.refresh_s)
        return LONG_POLL_S

    async def read_now(self, name: str) -> None:
        """Read a keyspace's changes at once."""
        await self._read(name, 0.0)

    async def read_all_now(self) -> None:
        """Read the changes of all keyspaces at once."""
        await asyncio.gather(*(self.read_now(name) for name in self._state.copies))

    async def _wait_for_idle_read(self) -> None:
        """Wait until the next idle read is due or this VM becomes a watcher."""
        self._became_watcher.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_READ_INTERVAL_S * self._random.uniform(0.5, 1.5)):
                await self._became_watcher.wait()

    async def _read(self, name: str, wait_s: float) -> ReadResult:
        sent_unix_s = now_unix_s()
        result = await self._read_changes(name, wait_s)
        if name == CONFIG and result is not ReadResult.FAILED:
            revision = self._state.copies[CONFIG].revision_observed(ROUTING_KEY)
            self._proof.observe(Proof(sent_unix_s, revision))
        # What is held back isn't in force yet.
        if result is not ReadResult.FAILED and not self._state.copies[name].is_held:
            for listener in self.read_listeners:
                listener(name, sent_unix_s)
        return result

    async def _read_changes(self, name: str, wait_s: float) -> ReadResult:
        after = self._state.copies[name].observed_revision
        if after == 0:
            return await self._read_all(name)
        due_unix_s = now_unix_s() + wait_s
        result = await self._reader.read_changes(name, after, due_unix_s)
        if now_unix_s() > due_unix_s + LATE_S:
            self._state.note_outage()
        if isinstance(result, Err) and result.err_value.failure is ReadFailure.HISTORY_GONE:
            log.info(
                "history gone, listing again", keyspace=name, after_revision=revision_of(after)
            )
            return await self._read_all(name)
        return self._apply_result(name, after, result)

    async def _read_all(self, name: str) -> ReadResult:
        result = await self._reader.read_all(name)
        copy = self._state.copies[name]
        # Changes received from peers in the meantime would make the full listing look like a gap.
        if isinstance(result, Ok) and copy.observed_revision <= result.ok_value.head_revision:
            copy.await_all()
        return self._apply_result(name, 0, result)

    def _apply_result(self, name: str, after: int, result: Result[Page, ReadError]) -> ReadResult:
        # What isn't applied proves nothing about the configuration that is known here.
        if self.should_stop:
            return ReadResult.FAILED
        if isinstance(result, Err):
            self._record_failure(result.err_value)
            return ReadResult.FAILED
        self._record_success()
        page = result.ok_value
        # An answer from before what is known here shows nothing of what is newest.
        if page.head_revision < after:
            return ReadResult.FAILED
        applied = self._state.apply(
            name, page.changes, page.head_revision, after_revision=after, source=SOURCE_PLATFORM
        )
        if after == 0 and applied.outcome is ApplyOutcome.STALE:
            log.warning(
                "listing ignored, as it is older",
                keyspace=name,
                era=era_of(page.head_revision),
                head_revision=revision_of(page.head_revision),
            )
            # Read again at once, it would use up the calls that the platform allows.
            return ReadResult.FAILED
        if applied.outcome in UNUSABLE_OUTCOMES:
            return ReadResult.FAILED
        return ReadResult.CHANGES if page.head_revision > after else ReadResult.NO_CHANGES

    def _record_failure(self, error: ReadError) -> None:
        if self._is_reachable is not False:
            reason = f"{error.failure.value}: {error.detail}"
            self._context.observe(PlatformUnreachable(reason))
        self._is_reachable = False
        # A store that refuses this VM's calls may serve all others.
        self._is_silent = error.failure is ReadFailure.UNREACHABLE
        if self._is_silent:
            self._state.note_outage()

    def _record_success(self) -> None:
        if self._is_reachable is False:
            self._context.observe(PlatformReachable())
        if self._is_silent:
            self._state.note_outage()
        self._is_reachable, self._is_silent = True, False


def _may_read_at_once(result: ReadResult, took_s: float, wait_s: float) -> bool:
    """Return whether the next read may follow at once.

    A platform that was reset to an earlier revision may answer a long poll for a later one
    immediately. A watcher that then read again at once would use up all calls that the platform
    allows.
    """
    return result is ReadResult.CHANGES or (result is ReadResult.NO_CHANGES and took_s > wait_s / 2)
