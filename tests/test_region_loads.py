"""A region that was lost is recorded as returned when its loads arrive again."""

from collections import Counter

import pytest
from attrs import evolve

from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.peers.region_loads import (
    LOST_AFTER_S,
    MAX_LOADS,
    MAX_NAME_CHARACTERS,
    RegionLoads,
)

POOL = "drafting"
REGION = "milan"
CUT_UNIX_S = 1_000.0
HEALED_UNIX_S = CUT_UNIX_S + LOST_AFTER_S + 5.0


def load(measured_unix_s: float) -> RegionLoad:
    return RegionLoad(
        region=REGION,
        pool=POOL,
        expected_wait_s=0.0,
        round_trip_s=0.01,
        measured_unix_s=measured_unix_s,
        servers=4,
    )


def returned_unix_s(loads: RegionLoads) -> float:
    return loads.for_pool(POOL)[REGION].returned_unix_s


@pytest.mark.parametrize("held_back_s", [0.0, 2.4, LOST_AFTER_S])
def test_returned_region_has_the_time_of_its_first_new_load(held_back_s: float) -> None:
    # Callers of a region wait if all its work returns to cold caches at once after a partition.
    # While the region is partitioned, its connection buffers heartbeats. They are delivered first
    # when the partition ends, and were measured seconds earlier. By measurement times the gap would
    # be too short for the region to count as lost.
    loads = RegionLoads(started_unix_s=CUT_UNIX_S)
    loads.observe(load(CUT_UNIX_S), CUT_UNIX_S)
    loads.observe(load(HEALED_UNIX_S - held_back_s), HEALED_UNIX_S)
    loads.observe(load(HEALED_UNIX_S), HEALED_UNIX_S)
    assert returned_unix_s(loads) == HEALED_UNIX_S


def test_region_first_received_late_counts_as_returned() -> None:
    # The region is partitioned before a starting VM receives anything from it, and the partition
    # ends. The first load must count as a return. Treated as new, the region would get all its work
    # back at once.
    loads = RegionLoads(started_unix_s=CUT_UNIX_S)
    loads.observe(load(HEALED_UNIX_S), HEALED_UNIX_S)
    assert returned_unix_s(loads) == HEALED_UNIX_S


def test_region_with_continuous_loads_has_not_returned() -> None:
    loads = RegionLoads(started_unix_s=CUT_UNIX_S)
    for second in range(30):
        loads.observe(load(CUT_UNIX_S + second), CUT_UNIX_S + second)
    assert returned_unix_s(loads) == float("-inf")


def test_loads_of_regions_that_do_not_exist_are_left_out() -> None:
    """Guards against a faulty VM that states the loads of regions without end."""
    loads = RegionLoads(started_unix_s=CUT_UNIX_S)
    loads.observe(load(CUT_UNIX_S), CUT_UNIX_S)
    for number in range(2 * MAX_LOADS):
        other = evolve(load(CUT_UNIX_S), region=f"region-{number}")
        loads.observe(other, CUT_UNIX_S)
    loads.observe(evolve(load(CUT_UNIX_S), region="r" * (MAX_NAME_CHARACTERS + 1)), CUT_UNIX_S)
    assert len(loads.for_pool(POOL)) == MAX_LOADS
    loads.observe(load(CUT_UNIX_S + 1.0), CUT_UNIX_S + 1.0)
    assert loads.for_pool(POOL)[REGION].measured_unix_s == CUT_UNIX_S + 1.0


def test_new_region_replaces_those_without_recent_loads() -> None:
    """Guards against a region that is never known since others filled the table once."""
    loads = RegionLoads(started_unix_s=CUT_UNIX_S)
    for number in range(MAX_LOADS):
        loads.observe(evolve(load(CUT_UNIX_S), region=f"region-{number}"), CUT_UNIX_S)
    loads.observe(load(HEALED_UNIX_S), HEALED_UNIX_S)
    assert set(loads.for_pool(POOL)) == {REGION}


def test_full_table_is_not_searched_for_each_load(monkeypatch: pytest.MonkeyPatch) -> None:
    """One heartbeat that named 32,768 regions stopped a VM for seconds."""
    loads = RegionLoads(started_unix_s=CUT_UNIX_S)
    for number in range(MAX_LOADS):
        loads.observe(evolve(load(CUT_UNIX_S), region=f"region-{number}"), CUT_UNIX_S)
    searched: Counter[str] = Counter()
    is_fresh = RegionLoad.is_fresh

    def count(each: RegionLoad, now_unix_s: float) -> bool:
        searched[each.region] += 1
        return is_fresh(each, now_unix_s)

    monkeypatch.setattr(RegionLoad, "is_fresh", count)
    for number in range(100):
        loads.observe(evolve(load(CUT_UNIX_S), region=f"other-{number}"), CUT_UNIX_S)
    assert searched.total() == MAX_LOADS
