"""Let a request wait for what may soon allow a placement."""

import asyncio

from attrs import define, field

from pomelobarrow.backends.reach_monitor import ReachMonitor
from pomelobarrow.decision.requests.placement_request import NoPlacement
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.place_waiters import PlaceWaiters
from pomelobarrow.relay.progress import RequestProgress

LIMIT_CHECK_S = 0.01
# One server that can't be connected to says little about the pool.
UNOPENED_BEFORE_PROBES = 2


@define(kw_only=True)
class RequestWaits:
    """Wait for rate limits, pauses, places at brittle servers, and the result of probes."""

    table: LoadTable
    reach: ReachMonitor
    places: PlaceWaiters = field(factory=PlaceWaiters)

    async def before_placement(self, progress: RequestProgress) -> None:
        """Let probes decide about the pool if several servers could not be connected to."""
        if progress.unopened_connections >= UNOPENED_BEFORE_PROBES:
            await self._wait_for_probes(progress)

    async def without_placement(self, progress: RequestProgress, decision: NoPlacement) -> bool:
        """Wait after a request was not placed; return whether it may be placed now."""
        if await self._wait_for_limit(progress, decision):
            return True
        if not progress.unopened_connections:
            return False
        await self._wait_for_probes(progress)
        return True

    async def _wait_for_limit(self, progress: RequestProgress, decision: NoPlacement) -> bool:
        """Wait for what servers announced if the wait may end before the target time."""
        next_unix_s, now = decision.next_unix_s, now_unix_s()
        if next_unix_s is None or next_unix_s >= progress.request.work.first_token_due_unix_s:
            return False
        # One of the requests that wait for the same moment is placed; the others check again.
        pause_s, pool = max(LIMIT_CHECK_S, next_unix_s - now), progress.request.work.pool
        if self.table.limits.brittle.is_brittle(pool, now):
            return await self._wait_for_place(progress, pause_s)
        if progress.request.forwarded_by:
            return False
        await asyncio.sleep(pause_s)
        return True

    async def _wait_for_place(self, progress: RequestProgress, timeout_s: float) -> bool:
        """Wait for a place at a brittle server, unless too many requests wait before this one."""
        work, now = progress.request.work, now_unix_s()
        wait_s = self.table.limits.brittle.expected_wait_s(
            self.table.usable_servers(work.pool, now),
            self.places.count(work.pool),
            self.table.service_times(work.pool).hold_s,
            now,
        )
        if now + wait_s >= work.first_token_due_unix_s:
            progress.unplaced_wait_s = min(wait_s, max(0.0, work.deadline_unix_s - now))
            return False
        await self.places.wait(work.pool, timeout_s)
        return True

    async def _wait_for_probes(self, progress: RequestProgress) -> None:
        """Let servers be tried again that answer probes: this VM was too slow to connect then."""
        pool = progress.request.work.pool
        await self.reach.probe_unless_answered(pool, progress.unopened_unix_s)
        failed = self.table.reachability.failed_servers(pool)
        progress.excluded.servers -= progress.unopened_in_time - failed
        progress.unopened_in_time.clear()
        progress.unopened_connections = 0
