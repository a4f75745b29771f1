"""Keep account limits without shared state: each VM's share follows observed demand."""

from collections import defaultdict
from collections.abc import Mapping

from attrs import define, field
from result import Err, Ok, Result

from pomelobarrow.decision.configuration import Account

DEMAND_HALF_LIFE_S = 1.0
BURST_S = 0.5
# A silent peer keeps its share this long, so that a short partition gives no one more.
PEER_DEMAND_HELD_S = 30.0
MIN_SHARE_OF_EQUAL = 0.25


@define
class _Demand:
    rate_per_s: float = 0.0
    updated_unix_s: float = 0.0

    def at(self, now_unix_s: float) -> float:
        age_s = max(0.0, now_unix_s - self.updated_unix_s)
        return self.rate_per_s * 0.5 ** (age_s / DEMAND_HALF_LIFE_S)

    def add(self, now_unix_s: float) -> None:
        self.rate_per_s = self.at(now_unix_s) + 0.693 / DEMAND_HALF_LIFE_S
        self.updated_unix_s = now_unix_s


@define
class _Bucket:
    tokens: float
    updated_unix_s: float

    def refill(self, rate_per_s: float, now_unix_s: float) -> None:
        elapsed_s = max(0.0, now_unix_s - self.updated_unix_s)
        size = max(1.0, rate_per_s * BURST_S)
        self.tokens = min(size, self.tokens + elapsed_s * rate_per_s)
        self.updated_unix_s = now_unix_s


@define
class _PeerDemand:
    rates: Mapping[str, float] = field(factory=dict)
    heard_unix_s: float = 0.0


class AccountLimits:
    """Admit each account's requests up to this VM's share of its limits."""

    def __init__(self) -> None:
        self._demand: defaultdict[str, _Demand] = defaultdict(_Demand)
        self._buckets: dict[str, _Bucket] = {}
        self._in_flight: defaultdict[str, int] = defaultdict(int)
        self._peers: dict[str, _PeerDemand] = {}

    def observe_peer_demand(self, vm: str, rates: Mapping[str, float], now_unix_s: float) -> None:
        """Take in what a peer's callers ask for."""
        self._peers[vm] = _PeerDemand(dict(rates), now_unix_s)

    def forget_peer(self, vm: str) -> None:
        """Drop a VM that left."""
        self._peers.pop(vm, None)

    def admit(self, account: Account, now_unix_s: float) -> Result[None, float]:
        """Count one request in, or say when to come back."""
        demand = self._demand[account.name]
        demand.add(now_unix_s)
        share = self._share(account.name, now_unix_s)
        rate_per_s = account.max_requests_per_s * share
        bucket = self._buckets.setdefault(account.name, _Bucket(1.0, now_unix_s))
        bucket.refill(rate_per_s, now_unix_s)
        if self._in_flight[account.name] >= max(1, int(account.max_requests_in_flight * share)):
            return Err(now_unix_s + 1.0)
        if bucket.tokens < 1.0:
            return Err(now_unix_s + (1.0 - bucket.tokens) / max(rate_per_s, 1e-3))
        bucket.tokens -= 1.0
        self._in_flight[account.name] += 1
        return Ok(None)

    def release(self, account: str) -> None:
        """Count one request out."""
        self._in_flight[account] = max(0, self._in_flight[account] - 1)

    def demand(self, now_unix_s: float) -> Mapping[str, float]:
        """Return the requests a second that were asked for here, for heartbeats."""
        rates = {name: demand.at(now_unix_s) for name, demand in self._demand.items()}
        return {name: rate for name, rate in rates.items() if rate > 0.01}

    def _share(self, account: str, now_unix_s: float) -> float:
        oldest_unix_s = now_unix_s - PEER_DEMAND_HELD_S
        peers = [p for p in self._peers.values() if p.heard_unix_s >= oldest_unix_s]
        own = self._demand[account].at(now_unix_s)
        total = own + sum(p.rates.get(account, 0.0) for p in peers)
        floor = MIN_SHARE_OF_EQUAL / (len(peers) + 1)
        return max(floor, own / total if total > 0 else 1.0)
