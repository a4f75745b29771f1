"""Compute the states of a pool's servers at one time.

Load pattern: a VM places several requests a second in pools of dozens of servers. What all servers
of a pool have in common is computed once for each placement.
"""

import math
from collections.abc import Callable, Mapping

from attrs import frozen

from pomelobarrow.decision.prompts.prefill_rates import PrefillRates
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.health_table import HealthTable
from pomelobarrow.decision.servers.others_load import MIN_HOLD_S, others_reader
from pomelobarrow.decision.servers.present_speed import PresentSpeeds
from pomelobarrow.decision.servers.server_load import ServerLoad
from pomelobarrow.decision.servers.server_pauses import ServerPauses
from pomelobarrow.decision.servers.server_state import ServerState
from pomelobarrow.decision.servers.service_times import ServiceTimes

# Returns the state of one server.
StateOf = Callable[[BackendServer], ServerState]


@frozen(kw_only=True)
class PoolView:
    """What is known of a pool's servers apart from their own loads."""

    times: ServiceTimes
    servers: int
    # The number of VMs that send their counts to this one, and the mean age of the counts.
    known_peers: int
    view_age_s: float
    # Whether one VM places nearly all prefill of a server.
    is_prefill_coordinated: bool


def turnover(view: PoolView) -> float:
    """Return the variance of the number of others' requests, as a multiple of that number.

    In a steady state as many requests start as end. Both counts are random, each with its square
    root as standard deviation.
    """
    return 2.0 * view.view_age_s / max(view.times.hold_s, MIN_HOLD_S)


def state_reader_of_pool(
    view: PoolView,
    pool: str,
    loads: Mapping[str, ServerLoad],
    health: HealthTable,
    pauses: ServerPauses,
    rates: PrefillRates,
    speeds: PresentSpeeds,
    now_unix_s: float,
) -> StateOf:
    """Return a function that computes the state of a pool's server."""
    times, turnover_of_pool = view.times, turnover(view)
    s_per_token, kv_tokens = times.s_per_prefill_token, times.kv_tokens
    share_of_pool = rates.share_of_pool(pool, view.servers, s_per_token, now_unix_s)
    read_others = others_reader(times.hold_s, view.known_peers, rates.region_vms, now_unix_s)

    def state(server: BackendServer) -> ServerState:
        name = server.name
        load = loads[name]
        others_requests, factor = read_others(load)
        others = round(others_requests)
        others_tokens = load.others_tokens(now_unix_s)
        if not view.is_prefill_coordinated:
            others_tokens = round(others_tokens * factor)
        return ServerState(
            server=server,
            requests=load.own_requests + others,
            others_requests=others,
            requests_deviation=math.sqrt(others * turnover_of_pool),
            own_tokens=load.own_tokens,
            others_tokens=others_tokens,
            kv_tokens=load.own_kv_tokens + round(others * kv_tokens),
            slots=server.slots * health.admitted_share(name, now_unix_s),
            seen_late_share=pauses.late_share(name, now_unix_s),
            slow_moment=speeds.slow_moment(name, now_unix_s),
            prefill_share=rates.share(name, share_of_pool, s_per_token, now_unix_s),
        )

    return state
