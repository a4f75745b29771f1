"""Keep what was heard of other regions' pools."""

from attrs import define, evolve, field

from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.peers.grid import LinkKind

# A region silent for this long counts as lost, so that its return is a slow start.
LOST_AFTER_S = 10.0


@define
class RegionLoads:
    """Hold the newest load of each region and pool, in this VM's clock."""

    started_unix_s: float
    _loads: dict[tuple[str, str], RegionLoad] = field(factory=dict)
    _came: dict[tuple[str, str], LinkKind] = field(factory=dict)

    def observe(
        self, load: RegionLoad, now_unix_s: float, came: LinkKind = LinkKind.OTHER_REGION
    ) -> None:
        """Take a load that is newer than the one held, and where it came from."""
        key = (load.region, load.pool)
        old = self._loads.get(key)
        if old is not None and load.measured_unix_s <= old.measured_unix_s:
            return
        self._came[key] = came
        # A region that was cut off since before this VM could hear it is as cold as one that it
        # heard and lost; taken as new, it would get all its work back at once.
        known_unix_s = self.started_unix_s if old is None else old.measured_unix_s
        # A connection that was cut delivers what it held back first, heartbeats measured during
        # the cut. The gap between two measurements is then shorter than the silence, and the
        # region would take all its work back at once with cold caches. How long this VM has
        # known nothing newer doesn't depend on what was held back.
        was_lost = now_unix_s - known_unix_s > LOST_AFTER_S
        last = load if old is None else old
        self._loads[key] = evolve(
            load,
            returned_unix_s=now_unix_s if was_lost else last.returned_unix_s,
            round_trip_s=load.round_trip_s or last.round_trip_s,
        )

    def for_pool(self, pool: str) -> dict[str, RegionLoad]:
        """Return what each region's load of a pool was when last heard."""
        return {region: load for (region, name), load in self._loads.items() if name == pool}

    def fresh(self, now_unix_s: float) -> list[RegionLoad]:
        """Return the loads worth passing on."""
        return [load for load in self._loads.values() if load.is_fresh(now_unix_s)]

    def came(self, load: RegionLoad) -> LinkKind | None:
        """Return what kind of peer told of a load."""
        return self._came.get((load.region, load.pool))
