"""Reckon what a request costs in another region, by what was last heard of it.

Load pattern: one region's peak fills its servers with streams while another region's stand nearly
empty. A long prompt read in the full region makes dozens of streams late; the trip to the empty
one costs a fraction of a second of its own answer.
"""

from attrs import frozen

from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.decision.server_choice import REREAD_WEIGHT
from pomelobarrow.decision.stream_pauses import EngineLoad, PauseTarget, pause_cost_s

# Where another region's round trip isn't known yet, the slowest that is usual between regions.
UNKNOWN_ROUND_TRIP_S = 0.15
# A request goes on a new connection, as a kept one may have been forgotten on its way: one round
# trip for the connection, one for the request and its answer.
ROUND_TRIPS = 2.0


@frozen(kw_only=True)
class Reading:
    """Hold what a prompt takes to read, in seconds, and what its stream is promised."""

    prompt_s: float
    target: PauseTarget


@frozen(kw_only=True)
class RegionCost:
    """Hold when a region's first answer is expected, and the cost to all, in seconds."""

    first_answer_s: float
    cost_s: float


def region_cost(load: RegionLoad | None, reading: Reading, now_unix_s: float) -> RegionCost:
    """Return what a request costs in a region; one that wasn't heard of late counts as idle."""
    is_known = load is not None and load.is_fresh(now_unix_s)
    round_trip_s = (load.round_trip_s if load else 0.0) or UNKNOWN_ROUND_TRIP_S
    wait_s = load.expected_wait_s if load and is_known else 0.0
    engine = load.least_disturbed if load and is_known else EngineLoad()
    first_answer_s = wait_s + ROUND_TRIPS * round_trip_s + reading.prompt_s
    pause_s = pause_cost_s(reading.target, engine, reading.prompt_s)
    cost_s = first_answer_s + REREAD_WEIGHT * reading.prompt_s + pause_s
    return RegionCost(first_answer_s=first_answer_s, cost_s=cost_s)
