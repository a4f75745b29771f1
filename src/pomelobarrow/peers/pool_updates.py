"""Exchange the loads of pools, of this region and of others, with peers."""

import math
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from pomelobarrow.decision.common.bounded import are_amounts, saturated
from pomelobarrow.decision.members.clocks import ClockOffsets
from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.decision.placement.server_choice import least_disturbed_engine, least_wait_s
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.streams.stream_pauses import EngineLoad
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.ages import age_ms, unix_s_from_age
from pomelobarrow.peers.grid import LinkKind, Neighbours, passes_on
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.published.keyspaces import PublishedState

# Summing up a pool of several hundred servers costs more than the rest of a heartbeat, so that all
# heartbeats of this interval share one summary.
SUMMARY_INTERVAL_S = 1.0
REGION_SEND_INTERVAL_S = 1.5
ROW_WAITING_MAX_AGE_S = 2.0
MIN_DRAIN_PER_S = 1e-6


@define
class SentPools:
    """Record what was sent to one peer about pools."""

    waiting_pools: frozenset[str] = frozenset()
    measured_unix_s: dict[tuple[str, str], float] = field(factory=dict)


@frozen
class _Waiting:
    paying: int
    trial: int
    received_unix_s: float


NONE_WAITING = _Waiting(paying=0, trial=0, received_unix_s=0.0)


@define(kw_only=True)
class PoolUpdates:
    """Exchange waiting work inside the region and the pools' loads between regions."""

    own_region: str
    offsets: ClockOffsets
    published: PublishedState
    local: LocalDispatch
    region_loads: RegionLoads
    # Returns whether any VM of this region may reach a server of a pool.
    is_reachable: Callable[[str, float], bool] = lambda pool, now_unix_s: True
    _own: list[pb.PoolLoad] = field(factory=list)
    _own_until_unix_s: float = 0.0
    _waiting: dict[tuple[str, str], _Waiting] = field(factory=dict)

    def write(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentPools,
        kind: LinkKind,
        neighbours: Neighbours,
        now_unix_s: float,
    ) -> None:
        """Add the loads that this kind of peer needs."""
        if kind is LinkKind.OTHER_REGION:
            heartbeat.pools.extend(self._own_pools(now_unix_s))
            return
        row = neighbours.row if kind is LinkKind.COLUMN else frozenset()
        self._write_waiting(heartbeat, sent, row, now_unix_s)
        for load in self.region_loads.fresh(now_unix_s):
            if passes_on(self.region_loads.source_of(load), kind):
                self._write_region(heartbeat, sent, load, now_unix_s)

    def apply(
        self,
        heartbeat: pb.Heartbeat,
        sender_region: str,
        kind: LinkKind,
        now_unix_s: float,
        sent_unix_s: float,
    ) -> None:
        """Apply the pool loads in a peer's heartbeat."""
        for each in heartbeat.pools:
            region = each.region or sender_region
            if region != self.own_region:
                if not are_amounts(_amounts(each)):
                    continue
                measured_unix_s = unix_s_from_age(each.age_ms, sent_unix_s)
                load = self._region_load(heartbeat.vm, region, each, measured_unix_s, kind)
                self.region_loads.observe(load, now_unix_s, kind)
            elif kind is not LinkKind.OTHER_REGION:
                self._apply_waiting(heartbeat.vm, each, now_unix_s)

    def _apply_waiting(self, vm: str, each: pb.PoolLoad, now_unix_s: float) -> None:
        # A queue is kept for each pool that it was asked for.
        is_known = each.pool in self.local.queues or self.local.table.pool_servers(each.pool)
        if not is_known:
            return
        paying, trial = each.waiting_paying, each.waiting_trial
        self._waiting[vm, each.pool] = _Waiting(paying, trial, now_unix_s)
        self.local.queue(each.pool).observe_peer_waiting(vm, paying, now_unix_s, trial)

    def _write_waiting(
        self, heartbeat: pb.Heartbeat, sent: SentPools, row: frozenset[str], now_unix_s: float
    ) -> None:
        sent_pools = set()
        for pool, queue in self.local.queues.items():
            of_row = [self._waiting_at(vm, pool, now_unix_s) for vm in row]
            paying = queue.waiting(Rank.PAYING) + sum(each.paying for each in of_row)
            trial = queue.waiting(Rank.TRIAL) + sum(each.trial for each in of_row)
            if paying or trial:
                sent_pools.add(pool)
            if paying or trial or pool in sent.waiting_pools:
                load = pb.PoolLoad(pool=pool)
                load.waiting_paying, load.waiting_trial = saturated(paying), saturated(trial)
                heartbeat.pools.append(load)
        sent.waiting_pools = frozenset(sent_pools)

    def _waiting_at(self, vm: str, pool: str, now_unix_s: float) -> _Waiting:
        waiting = self._waiting.get((vm, pool), NONE_WAITING)
        is_fresh = now_unix_s - waiting.received_unix_s <= ROW_WAITING_MAX_AGE_S
        return waiting if is_fresh else NONE_WAITING

    def _write_region(
        self, heartbeat: pb.Heartbeat, sent: SentPools, load: RegionLoad, now_unix_s: float
    ) -> None:
        key = (load.region, load.pool)
        if load.measured_unix_s - sent.measured_unix_s.get(key, 0.0) < REGION_SEND_INTERVAL_S:
            return
        sent.measured_unix_s[key] = load.measured_unix_s
        heartbeat.pools.append(
            pb.PoolLoad(
                region=load.region,
                pool=load.pool,
                expected_wait_s=load.expected_wait_s,
                servers=load.servers,
                age_ms=age_ms(load.measured_unix_s, now_unix_s),
                round_trip_s=load.round_trip_s,
                **_quietest_fields(load.least_disturbed),
            )
        )

    def _region_load(
        self, vm: str, region: str, each: pb.PoolLoad, measured_unix_s: float, kind: LinkKind
    ) -> RegionLoad:
        best = self.offsets.best(vm) if kind is LinkKind.OTHER_REGION else None
        return RegionLoad(
            region=region,
            pool=each.pool,
            expected_wait_s=each.expected_wait_s,
            round_trip_s=best.round_trip_s if best is not None else each.round_trip_s,
            measured_unix_s=measured_unix_s,
            servers=each.servers,
            least_disturbed=EngineLoad(
                streams=each.quiet_streams,
                backlog_s=each.quiet_backlog_s,
                prefill_share=each.quiet_reading_share,
                seen_late_share=each.quiet_late_share,
            ),
        )

    def _own_pools(self, now_unix_s: float) -> list[pb.PoolLoad]:
        if not 0 <= self._own_until_unix_s - now_unix_s <= SUMMARY_INTERVAL_S:
            pools = {server.pool for server in self.published.backend_servers.values()}
            self._own = [self._own_pool(pool, now_unix_s) for pool in sorted(pools)]
            self._own_until_unix_s = now_unix_s + SUMMARY_INTERVAL_S
        return self._own

    def _own_pool(self, pool: str, now_unix_s: float) -> pb.PoolLoad:
        queue, table = self.local.queue(pool), self.local.table
        waiting_paying = queue.waiting(Rank.PAYING)
        expected_wait_s = least_wait_s(table, pool, now_unix_s)
        if waiting_paying:
            drain_per_s = max(table.drain_per_s(pool, now_unix_s), MIN_DRAIN_PER_S)
            expected_wait_s += waiting_paying / drain_per_s
        return pb.PoolLoad(
            pool=pool,
            expected_wait_s=expected_wait_s,
            waiting_paying=waiting_paying,
            waiting_trial=queue.waiting(Rank.TRIAL),
            servers=self._servers_for_others(pool, now_unix_s),
            **_quietest_fields(least_disturbed_engine(table, pool, now_unix_s)),
        )

    def _servers_for_others(self, pool: str, now_unix_s: float) -> int:
        """Return how many servers other regions may use; limited ones count as one at most."""
        if not self.is_reachable(pool, now_unix_s):
            return 0
        limits = self.local.table.limits
        servers = self.local.table.usable_servers(pool, now_unix_s)
        unlimited = sum(math.isinf(limits.limit_per_s(server)) for server in servers)
        return unlimited or min(1, len(servers))


def _amounts(load: pb.PoolLoad) -> tuple[float, ...]:
    """Return the numbers of a region's load by which regions are compared."""
    return (
        load.expected_wait_s,
        load.round_trip_s,
        load.quiet_backlog_s,
        load.quiet_reading_share,
        load.quiet_late_share,
    )


def _quietest_fields(engine: EngineLoad) -> dict[str, Any]:
    return {
        "quiet_streams": saturated(engine.streams),
        "quiet_backlog_s": engine.backlog_s,
        "quiet_reading_share": engine.prefill_share,
        "quiet_late_share": engine.seen_late_share,
    }
