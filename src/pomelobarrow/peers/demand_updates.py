"""Tell a peer which accounts' demand changed, and take in what it tells."""

from collections.abc import Callable, Iterable

from attrs import define, field

from pomelobarrow.decision.configuration import Configuration
from pomelobarrow.decision.limits import AccountLimits
from pomelobarrow.decision.short_key import short_key
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.grid import LinkKind, Neighbours

# A rate is told again when it moved by this share; limits need no more.
CHANGE_TOLD = 0.25
SMALLEST_TOLD_PER_S = 0.02
# In a large region each heartbeat carries the demand of whole rows.
SPARSE_EVERY_BEATS = 5


@define
class SentDemand:
    """Hold what one peer was told of accounts."""

    rate_by_key: dict[int, float] = field(factory=dict)
    beats: int = 0


@define(kw_only=True)
class DemandUpdates:
    """Exchange demand: a VM's own along its row, the sum of its row along its column.

    Other regions are told the region's sum. Without it each region would admit the whole of an
    account's limit: callers who moved from region to region got it once in each.
    """

    limits: AccountLimits
    configuration: Callable[[], Configuration | None]
    _rates: dict[str, dict[int, float]] = field(factory=dict)
    _named: Configuration | None = None
    _name_by_key: dict[int, str] = field(factory=dict)

    def write(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentDemand,
        kind: LinkKind,
        neighbours: Neighbours,
        now_unix_s: float,
    ) -> None:
        """Add the rates that moved."""
        sent.beats += 1
        if neighbours.is_sparse and sent.beats % SPARSE_EVERY_BEATS != 1:
            return
        rates = {account_key(n): rate for n, rate in self.limits.demand(now_unix_s).items()}
        self._add(rates, _summed_up(kind, neighbours))
        for key in sent.rate_by_key.keys() | rates.keys():
            rate = rates.get(key, 0.0)
            rate = rate if rate >= SMALLEST_TOLD_PER_S else 0.0
            if _has_moved(sent.rate_by_key.get(key, 0.0), rate):
                heartbeat.account_keys.append(key)
                heartbeat.account_rates.append(rate)
                sent.rate_by_key[key] = rate

    def take(self, heartbeat: pb.Heartbeat, kind: LinkKind, now_unix_s: float) -> None:
        """Take in a peer's demand: its own, its row's or its region's."""
        rates = self._rates.setdefault(heartbeat.vm, {})
        if heartbeat.is_whole:
            rates.clear()
        for key, rate in zip(heartbeat.account_keys, heartbeat.account_rates, strict=False):
            rates[key] = rate
        names = self._names()
        by_name = {names[key]: rate for key, rate in rates.items() if key in names and rate}
        if kind is LinkKind.OTHER_REGION:
            self.limits.observe_region_demand(heartbeat.region, by_name, now_unix_s)
        else:
            self.limits.observe_peer_demand(heartbeat.vm, by_name, now_unix_s)

    def forget(self, vm: str) -> None:
        """Drop what a peer told."""
        self._rates.pop(vm, None)

    def _add(self, rates: dict[int, float], vms: Iterable[str]) -> None:
        for vm in vms:
            for key, rate in self._rates.get(vm, {}).items():
                rates[key] = rates.get(key, 0.0) + rate

    def _names(self) -> dict[int, str]:
        configuration = self.configuration()
        if configuration is not None and configuration is not self._named:
            self._named = configuration
            self._name_by_key = {account_key(name): name for name in configuration.accounts}
        return self._name_by_key


def account_key(name: str) -> int:
    """Return the four bytes that stand for an account in heartbeats."""
    return short_key(name)


def _summed_up(kind: LinkKind, neighbours: Neighbours) -> frozenset[str]:
    """Return whose demand goes with a VM's own over a kind of link."""
    return {LinkKind.COLUMN: neighbours.row, LinkKind.OTHER_REGION: neighbours.all}.get(
        kind, frozenset()
    )


def _has_moved(old: float, new: float) -> bool:
    return abs(new - old) > CHANGE_TOLD * max(old, new)
