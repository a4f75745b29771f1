"""Enforce account limits without shared state: each VM's share follows observed demand."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen
from result import Err, Ok, Result

from pomelobarrow.decision.admission.demand import Demand
from pomelobarrow.decision.admission.rate_limiter import RateLimiter
from pomelobarrow.decision.published.configuration import Account

# The longest time until an announced rate has reached every VM of a region: one heartbeat where all
# VMs are neighbours, two hops of three heartbeats each in a large region.
PROPAGATION_S = 1.5
MULTI_HOP_PROPAGATION_S = 7.0
# The demand of a silent peer is counted for this long, so that a short network partition raises no
# VM's share. After it each side of a partition admits up to the whole limit: the worst case is the
# limit times the number of sides.
DEMAND_RETENTION_S = 30.0
MIN_ANNOUNCED_PER_S = 0.01
IN_FLIGHT_RETRY_S = 1.0
# The fraction of the limit that is divided evenly between VMs, regardless of demand.
EVEN_SHARE = 0.05
# Capacity that no VM demands is overcommitted by this factor, so that callers who move from one VM
# to another are not refused. If all VMs use it at the same time, the limit is exceeded by as much.
UNCLAIMED_OVERCOMMIT = 1.1


@define(kw_only=True)
class _ReceivedDemand:
    rates: Mapping[str, float] = field(factory=dict)
    last_seen_unix_s: float = 0.0


@frozen(kw_only=True)
class _DemandView:
    """An account's demand as this VM sees it."""

    own_per_s: float
    total_per_s: float
    vms: int


class AccountLimits:
    """Admit each account's requests up to this VM's share of its limits.

    A VM's share is the demand that all its peers have received from it, plus an even part of the
    unclaimed rest of the limit. Where total demand exceeds the limit, shares are proportional to
    demand. A VM counts only the lowest of its own rates that a peer may still hold, so the shares
    never sum to more than the limit while heartbeats arrive in time.
    """

    def __init__(self) -> None:
        self._demand: defaultdict[str, Demand] = defaultdict(Demand)
        self._rate_limiters: defaultdict[str, RateLimiter] = defaultdict(RateLimiter)
        self._in_flight: defaultdict[str, int] = defaultdict(int)
        self._peers: dict[str, _ReceivedDemand] = {}
        self._regions: dict[str, _ReceivedDemand] = {}
        self._region_vms = 1

    def set_region_vms(self, count: int) -> None:
        """Set how many VMs share the limits; one peer may announce the sum of several VMs."""
        self._region_vms = count

    def observe_peer_demand(self, vm: str, rates: Mapping[str, float], now_unix_s: float) -> None:
        """Record the demand that a peer announced."""
        self._peers[vm] = _ReceivedDemand(rates=dict(rates), last_seen_unix_s=now_unix_s)

    def observe_region_demand(
        self, region: str, rates: Mapping[str, float], now_unix_s: float
    ) -> None:
        """Record the total demand that a remote region announced."""
        self._regions[region] = _ReceivedDemand(rates=dict(rates), last_seen_unix_s=now_unix_s)

    def forget_peer(self, vm: str) -> None:
        """Drop the demand of a VM that has left."""
        self._peers.pop(vm, None)

    def admit(self, account: Account, now_unix_s: float) -> Result[None, float]:
        """Admit one request, or return the time at which to retry."""
        self._demand[account.name].count(now_unix_s)
        view = self._view(account.name, now_unix_s)
        rate_per_s = rate_share(account.max_requests_per_s, view)
        limiter = self._rate_limiters[account.name]
        retry_at_unix_s = limiter.next_unix_s(rate_per_s, now_unix_s)
        if retry_at_unix_s > now_unix_s:
            return Err(retry_at_unix_s)
        if self._in_flight[account.name] >= in_flight_share(account.max_requests_in_flight, view):
            return Err(now_unix_s + IN_FLIGHT_RETRY_S)
        limiter.count(now_unix_s)
        self._in_flight[account.name] += 1
        return Ok(None)

    def release(self, account: str) -> None:
        """Record that one admitted request has ended."""
        self._in_flight[account] = max(0, self._in_flight[account] - 1)

    def demand(self, now_unix_s: float) -> Mapping[str, float]:
        """Return the requested rates at this VM by account, for heartbeats."""
        rates = {name: demand.announce(now_unix_s) for name, demand in self._demand.items()}
        return {name: rate for name, rate in rates.items() if rate >= MIN_ANNOUNCED_PER_S}

    def _view(self, account: str, now_unix_s: float) -> _DemandView:
        region_vms = max(len(self._peers) + 1, self._region_vms)
        is_sparse = self._region_vms > len(self._peers) + 1
        propagation_s = MULTI_HOP_PROPAGATION_S if is_sparse else PROPAGATION_S
        own_per_s = self._demand[account].lowest_announced_per_s(now_unix_s, propagation_s)
        regions = tuple(self._unexpired(self._regions, now_unix_s))
        received = (*self._unexpired(self._peers, now_unix_s), *regions)
        others_per_s = sum(each.rates.get(account, 0.0) for each in received)
        # Remote regions announce their demand but not their VM count, so each is assumed to be as
        # large as the local region.
        vms = region_vms * (1 + len(regions))
        return _DemandView(own_per_s=own_per_s, total_per_s=own_per_s + others_per_s, vms=vms)

    def _unexpired(
        self, received: Mapping[str, _ReceivedDemand], now_unix_s: float
    ) -> Iterable[_ReceivedDemand]:
        oldest_unix_s = now_unix_s - DEMAND_RETENTION_S
        return (each for each in received.values() if each.last_seen_unix_s >= oldest_unix_s)


def rate_share(limit_per_s: float, view: _DemandView) -> float:
    """Return the requests per second that this VM may admit."""
    demand_limit_per_s = limit_per_s * (1.0 - EVEN_SHARE)
    served = min(1.0, demand_limit_per_s / view.total_per_s) if view.total_per_s > 0 else 1.0
    unclaimed_per_s = limit_per_s - served * view.total_per_s
    return view.own_per_s * served + unclaimed_per_s * min(1.0, UNCLAIMED_OVERCOMMIT / view.vms)


def in_flight_share(limit: int, view: _DemandView) -> int:
    """Return the number of requests that this VM may have in flight, at least one."""
    even = EVEN_SHARE * max(view.total_per_s, MIN_ANNOUNCED_PER_S) / view.vms
    share = (view.own_per_s + even) / (view.total_per_s + even * view.vms)
    return max(1, round(limit * share))
