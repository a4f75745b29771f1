"""Estimate what a request costs in another region, by that region's last known load.

Load pattern: one region's peak fills its servers with streams while another region's servers are
nearly idle. A long prompt's prefill in the full region makes dozens of streams late; the round trip
to the idle region delays only its own answer, by a fraction of a second.
"""

from attrs import frozen

from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.decision.placement.server_choice import PREFILL_COST_WEIGHT
from pomelobarrow.decision.streams.stream_pauses import EngineLoad, PauseTarget, pause_cost_s

# Assumed while another region's round trip isn't known: the upper end of what is usual.
UNKNOWN_ROUND_TRIP_S = 0.15
# A request uses a new connection, since an idle one may have been dropped by a device on the path:
# one round trip for the connection, one for the request and its answer.
ROUND_TRIPS = 2.0


@frozen(kw_only=True)
class PrefillEstimate:
    """The prefill time of a prompt and the latency targets of its stream."""

    prefill_s: float
    target: PauseTarget


@frozen(kw_only=True)
class RegionCost:
    """Expected time to the first answer in a region, and the cost to this and other requests."""

    first_answer_s: float
    cost_s: float


def region_cost(load: RegionLoad | None, prefill: PrefillEstimate, now_unix_s: float) -> RegionCost:
    """Return a request's cost in a region; one without a fresh load counts as idle."""
    is_known = load is not None and load.is_fresh(now_unix_s)
    round_trip_s = (load.round_trip_s if load else 0.0) or UNKNOWN_ROUND_TRIP_S
    wait_s = load.expected_wait_s if load and is_known else 0.0
    engine = load.least_disturbed if load and is_known else EngineLoad()
    first_answer_s = wait_s + ROUND_TRIPS * round_trip_s + prefill.prefill_s
    pause_s = pause_cost_s(prefill.target, engine, prefill.prefill_s)
    cost_s = first_answer_s + PREFILL_COST_WEIGHT * prefill.prefill_s + pause_s
    return RegionCost(first_answer_s=first_answer_s, cost_s=cost_s)
