"""Store the loads of other regions' pools that peers report."""

import math

from attrs import define, evolve, field

from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.peers.grid import LinkKind

# A region without updates for this long counts as lost; when it returns, its load is ramped up
# slowly.
LOST_AFTER_S = 10.0
# A pool in a region that isn't known yet is left out beyond so many.
MAX_LOADS = 4_096
MAX_NAME_CHARACTERS = 256
# A message may name thousands of loads for which a full table has no room.
PURGE_EVERY_S = 1.0


@define
class RegionLoads:
    """Store the newest load of each region and pool, with times by this VM's clock."""

    started_unix_s: float
    _loads: dict[tuple[str, str], RegionLoad] = field(factory=dict)
    _sources: dict[tuple[str, str], LinkKind] = field(factory=dict)
    _purged_unix_s: float = field(default=-math.inf, init=False)

    def observe(
        self, load: RegionLoad, now_unix_s: float, source: LinkKind = LinkKind.OTHER_REGION
    ) -> None:
        """Store a load that is newer than the one held, and the kind of peer that sent it."""
        key = (load.region, load.pool)
        old = self._loads.get(key)
        if old is not None and load.measured_unix_s <= old.measured_unix_s:
            return
        if old is None and not self._has_room_for(load, now_unix_s):
            return
        self._sources[key] = source
        # A region that was partitioned before this VM received anything from it has caches as cold
        # as one that was lost later. Treated as new, it would get all its work back at once.
        known_unix_s = self.started_unix_s if old is None else old.measured_unix_s
        # After a partition a connection first delivers the heartbeats that were buffered, which
        # were measured during the partition. The gap between two measurements is then shorter than
        # the partition, and the region would get all its work back at once with cold caches. The
        # time for which this VM has had no newer load doesn't depend on what was buffered.
        was_lost = now_unix_s - known_unix_s > LOST_AFTER_S
        last = load if old is None else old
        self._loads[key] = evolve(
            load,
            returned_unix_s=now_unix_s if was_lost else last.returned_unix_s,
            round_trip_s=load.round_trip_s or last.round_trip_s,
        )

    def _has_room_for(self, load: RegionLoad, now_unix_s: float) -> bool:
        if max(len(load.region), len(load.pool)) > MAX_NAME_CHARACTERS:
            return False
        is_full = len(self._loads) >= MAX_LOADS
        if is_full and abs(now_unix_s - self._purged_unix_s) >= PURGE_EVERY_S:
            self._purge(now_unix_s)
        return len(self._loads) < MAX_LOADS

    def _purge(self, now_unix_s: float) -> None:
        self._purged_unix_s = now_unix_s
        for key in [key for key, each in self._loads.items() if not each.is_fresh(now_unix_s)]:
            del self._loads[key], self._sources[key]

    def for_pool(self, pool: str) -> dict[str, RegionLoad]:
        """Return each region's last known load of a pool."""
        return {region: load for (region, name), load in self._loads.items() if name == pool}

    def fresh(self, now_unix_s: float) -> list[RegionLoad]:
        """Return the loads that are recent enough to be passed on."""
        return [load for load in self._loads.values() if load.is_fresh(now_unix_s)]

    def source_of(self, load: RegionLoad) -> LinkKind | None:
        """Return the kind of peer that sent a load."""
        return self._sources.get((load.region, load.pool))
