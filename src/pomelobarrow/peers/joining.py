"""Join the fleet before serving: contact the peers and catch up with their revisions."""

import asyncio
from collections.abc import Awaitable, Callable

import structlog
from mode import Service

from pomelobarrow.decision.members.member import Phase
from pomelobarrow.decision.published.store_position import revision_of
from pomelobarrow.kernel.background import background_task
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.table import PeerTable
from pomelobarrow.published.keyspaces import PublishedState
from pomelobarrow.published.watcher import PlatformWatcher

PLATFORM_WAIT_S = 2.0
PEERS_WAIT_S = 2.0
CHECK_EVERY_S = 0.05

log = structlog.get_logger(__name__)


class Joining(Service):
    """Declare this VM ready once no reachable peer holds a higher revision."""

    def __init__(
        self,
        table: PeerTable,
        exchange: Exchange,
        published: PublishedState,
        watcher: PlatformWatcher,
        keep_incarnation_newest: Callable[[], None],
    ) -> None:
        super().__init__()
        self._table = table
        self._exchange = exchange
        self._published = published
        self._watcher = watcher
        self._keep_incarnation_newest = keep_incarnation_newest
        self.is_joined = False

    @background_task
    async def _join(self) -> None:
        await _wait_at_most(self._watcher.first_read_done.wait(), PLATFORM_WAIT_S)
        await self._table.review()
        await self._table.wait_for_answers(PEERS_WAIT_S)
        # A VM that starts while the platform returns outdated data would serve an older revision
        # than its peers, and classes and limits would appear to revert for its callers.
        while not self._has_caught_up() and not self.should_stop:
            await self.sleep(CHECK_EVERY_S)
        self._keep_incarnation_newest()
        self.is_joined = True
        self._table.set_phase(Phase.READY)
        log.info("joined", revisions=self._revisions())

    def _has_caught_up(self) -> bool:
        if not all(self._revisions().values()):
            return False
        return not self._exchange.is_behind(self._table.reachable())

    def _revisions(self) -> dict[str, int]:
        return {name: revision_of(copy.revision) for name, copy in self._published.copies.items()}


async def _wait_at_most(wait: Awaitable[object], timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await wait
    except TimeoutError:
        log.warning(
            "platform did not answer at start", remedy="check platform.addresses in the settings"
        )
