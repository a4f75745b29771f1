"""Keep account limits without shared state: each VM's share follows observed demand."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen
from result import Err, Ok, Result

from pomelobarrow.decision.configuration import Account
from pomelobarrow.decision.demand import Demand
from pomelobarrow.decision.rate_limiter import RateLimiter

# The longest way of a rate to every VM of a region: one heartbeat where all are neighbours, two
# hops of three heartbeats each in a large region.
DELIVERY_S = 1.5
SPARSE_DELIVERY_S = 7.0
# A silent peer's demand counts this long, so that a short partition gives nobody more. After it
# each part of a partition serves up to the whole limit: the worst case is limit times parts.
DEMAND_HELD_S = 30.0
SMALLEST_TOLD_PER_S = 0.01
IN_FLIGHT_RETRY_S = 1.0
# The part of the limit that is shared out evenly whatever the demand.
EVEN_PART = 0.05
# What no VM asks for is given out a little more than once, so that callers who move from one VM to
# another aren't refused; should all VMs take it at the same time, this is the overshoot.
LEFT_GIVEN_OUT = 1.1


@define(kw_only=True)
class _Told:
    rates: Mapping[str, float] = field(factory=dict)
    heard_unix_s: float = 0.0


@frozen(kw_only=True)
class _View:
    """Hold an account's demand as this VM may count on it."""

    own_per_s: float
    total_per_s: float
    vms: int


class AccountLimits:
    """Admit each account's requests up to this VM's share of its limits.

    The share is the demand that every peer knows of, plus an even part of what is left of the
    limit, or in proportion to demand where there is more demand than limit. Since no peer holds a
    lower demand of this VM than the one it counts with, the shares never sum to more than the
    limit while heartbeats arrive in time.
    """

    def __init__(self) -> None:
        self._demand: defaultdict[str, Demand] = defaultdict(Demand)
        self._meters: defaultdict[str, RateLimiter] = defaultdict(RateLimiter)
        self._in_flight: defaultdict[str, int] = defaultdict(int)
        self._peers: dict[str, _Told] = {}
        self._regions: dict[str, _Told] = {}
        self._region_vms = 1

    def set_region_vms(self, count: int) -> None:
        """Take over how many VMs share the limits; a peer may tell the sum of several."""
        self._region_vms = count

    def observe_peer_demand(self, vm: str, rates: Mapping[str, float], now_unix_s: float) -> None:
        """Take in what a peer's callers ask for."""
        self._peers[vm] = _Told(rates=dict(rates), heard_unix_s=now_unix_s)

    def observe_region_demand(
        self, region: str, rates: Mapping[str, float], now_unix_s: float
    ) -> None:
        """Take in what the callers of a whole other region ask for."""
        self._regions[region] = _Told(rates=dict(rates), heard_unix_s=now_unix_s)

    def forget_peer(self, vm: str) -> None:
        """Drop a VM that left."""
        self._peers.pop(vm, None)

    def admit(self, account: Account, now_unix_s: float) -> Result[None, float]:
        """Count one request in, or say when to come back."""
        self._demand[account.name].count(now_unix_s)
        view = self._view(account.name, now_unix_s)
        rate_per_s = rate_share(account.max_requests_per_s, view)
        meter = self._meters[account.name]
        retry_at_unix_s = meter.next_unix_s(rate_per_s, now_unix_s)
        if retry_at_unix_s > now_unix_s:
            return Err(retry_at_unix_s)
        if self._in_flight[account.name] >= in_flight_share(account.max_requests_in_flight, view):
            return Err(now_unix_s + IN_FLIGHT_RETRY_S)
        meter.count(now_unix_s)
        self._in_flight[account.name] += 1
        return Ok(None)

    def release(self, account: str) -> None:
        """Count one request out."""
        self._in_flight[account] = max(0, self._in_flight[account] - 1)

    def demand(self, now_unix_s: float) -> Mapping[str, float]:
        """Return the requests a second that were asked for here, for heartbeats."""
        rates = {name: demand.announce(now_unix_s) for name, demand in self._demand.items()}
        return {name: rate for name, rate in rates.items() if rate >= SMALLEST_TOLD_PER_S}

    def _view(self, account: str, now_unix_s: float) -> _View:
        region_vms = max(len(self._peers) + 1, self._region_vms)
        is_sparse = self._region_vms > len(self._peers) + 1
        delivery_s = SPARSE_DELIVERY_S if is_sparse else DELIVERY_S
        own_per_s = self._demand[account].heard_by_all(now_unix_s, delivery_s)
        regions = tuple(self._held(self._regions, now_unix_s))
        told = (*self._held(self._peers, now_unix_s), *regions)
        others_per_s = sum(each.rates.get(account, 0.0) for each in told)
        # Other regions tell their demand, not their VMs, and are taken to be as large as this one.
        vms = region_vms * (1 + len(regions))
        return _View(own_per_s=own_per_s, total_per_s=own_per_s + others_per_s, vms=vms)

    def _held(self, told: Mapping[str, _Told], now_unix_s: float) -> Iterable[_Told]:
        oldest_unix_s = now_unix_s - DEMAND_HELD_S
        return (each for each in told.values() if each.heard_unix_s >= oldest_unix_s)


def rate_share(limit_per_s: float, view: _View) -> float:
    """Return the requests a second that one VM may admit."""
    demand_limit_per_s = limit_per_s * (1.0 - EVEN_PART)
    served = min(1.0, demand_limit_per_s / view.total_per_s) if view.total_per_s > 0 else 1.0
    left_per_s = limit_per_s - served * view.total_per_s
    return view.own_per_s * served + left_per_s * min(1.0, LEFT_GIVEN_OUT / view.vms)


def in_flight_share(limit: int, view: _View) -> int:
    """Return the requests that one VM may have in flight, at least one."""
    even = EVEN_PART * max(view.total_per_s, SMALLEST_TOLD_PER_S) / view.vms
    share = (view.own_per_s + even) / (view.total_per_s + even * view.vms)
    return max(1, round(limit * share))
