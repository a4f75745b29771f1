"""A region that was lost is known as one when it is heard again."""

import pytest

from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.peers.region_loads import LOST_AFTER_S, RegionLoads

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
def test_region_heard_again_returns_at_that_time(held_back_s: float) -> None:
    # Callers of a region that was lost wait while all its work comes home to cold caches at once.
    # The region is cut off; its connection holds heartbeats back; the cut heals and delivers them
    # first, measured seconds earlier. Counted by its measurements, the silence was too short.
    loads = RegionLoads(started_unix_s=CUT_UNIX_S)
    loads.observe(load(CUT_UNIX_S), CUT_UNIX_S)
    loads.observe(load(HEALED_UNIX_S - held_back_s), HEALED_UNIX_S)
    loads.observe(load(HEALED_UNIX_S), HEALED_UNIX_S)
    assert returned_unix_s(loads) == HEALED_UNIX_S


def test_region_first_heard_late_returns_at_that_time() -> None:
    # A VM starts, the region is cut off before the two have spoken, and the cut heals. The region
    # is heard for the first time and was yet lost; taken as new, all its work came home at once.
    loads = RegionLoads(started_unix_s=CUT_UNIX_S)
    loads.observe(load(HEALED_UNIX_S), HEALED_UNIX_S)
    assert returned_unix_s(loads) == HEALED_UNIX_S


def test_region_heard_all_along_has_not_returned() -> None:
    loads = RegionLoads(started_unix_s=CUT_UNIX_S)
    for second in range(30):
        loads.observe(load(CUT_UNIX_S + second), CUT_UNIX_S + second)
    assert returned_unix_s(loads) == float("-inf")
