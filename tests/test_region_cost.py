"""A request's cost in another region, by what was last heard of it."""

import pytest
from attrs import evolve

from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.decision.region_cost import UNKNOWN_ROUND_TRIP_S, Reading, region_cost
from pomelobarrow.decision.stream_pauses import EngineLoad, PauseTarget, pause_cost_s

NOW = 1_000.0
READING = Reading(prompt_s=0.1, target=PauseTarget(gap_s=0.4, first_answer_s=1.0))
LOAD = RegionLoad(
    region="b",
    pool="p",
    expected_wait_s=0.2,
    round_trip_s=0.11,
    measured_unix_s=NOW,
    servers=2,
)
BUSY = EngineLoad(streams=50, backlog_s=0.25, prefill_share=0.5)


def test_first_answer_takes_wait_connection_trip_and_reading() -> None:
    assert abs(region_cost(LOAD, READING, NOW).first_answer_s - 0.52) < 1e-9


def test_busy_streams_cost_beyond_the_own_first_answer() -> None:
    busy = evolve(LOAD, least_disturbed=BUSY)
    quiet_cost, busy_cost = region_cost(LOAD, READING, NOW), region_cost(busy, READING, NOW)
    assert busy_cost.first_answer_s == quiet_cost.first_answer_s
    pause_s = pause_cost_s(READING.target, BUSY, READING.prompt_s)
    assert pause_s > 1.0
    assert busy_cost.cost_s == pytest.approx(quiet_cost.cost_s + pause_s)


def test_old_news_counts_for_nothing() -> None:
    old = evolve(LOAD, least_disturbed=BUSY, measured_unix_s=NOW - 60.0)
    cost = region_cost(old, READING, NOW)
    assert abs(cost.first_answer_s - 0.32) < 1e-9


def test_region_never_heard_is_as_far_as_regions_are() -> None:
    cost = region_cost(None, READING, NOW)
    assert abs(cost.first_answer_s - 2.0 * UNKNOWN_ROUND_TRIP_S - 0.1) < 1e-9
