"""Estimate the requests that all other VMs have on a server, from the counts that are known."""

import math
from collections.abc import Callable

from pomelobarrow.decision.servers.server_load import ServerLoad

MIN_HOLD_S = 1e-3

# Returns the estimated number of requests that all other VMs have on a server, and the ratio of
# these to the ones counted by the VMs that send their counts.
OthersReader = Callable[[ServerLoad], tuple[float, float]]


def others_reader(
    hold_s: float, known_peers: int, region_vms: int, now_unix_s: float
) -> OthersReader:
    """Return a function that estimates the requests of all other VMs on a pool's server.

    A partial report counts while the requests that it covered are still running; its weight
    decays with the mean request duration. Peers' counts are as good only if all VMs send them
    here: in one of 65 VMs, those of 14 separate a full server from an empty one only by chance.

    In a large region a VM receives the counts of only some others. A server's full report
    includes the requests of the rest. Without one, the rest are assumed to have as many each,
    since clients spread over all VMs. Without this factor a full server looks two thirds empty.
    """
    factor = max(1.0, (region_vms - 1) / known_peers) if known_peers else 1.0
    memory_s = max(hold_s, MIN_HOLD_S)

    def read(load: ServerLoad) -> tuple[float, float]:
        known = load.others_requests(now_unix_s)
        if load.report is None:
            return known * factor, factor
        if not load.report.is_partial:
            return known, 1.0
        age_s = max(0.0, now_unix_s - load.measured_unix_s)
        weight = math.exp(-age_s / memory_s)
        return weight * known + (1.0 - weight) * (load.peers_requests * factor), factor

    return read
