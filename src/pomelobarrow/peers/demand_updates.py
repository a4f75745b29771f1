"""Exchange changes of the accounts' request rates with peers."""

from collections.abc import Callable, Iterable

from attrs import define, field

from pomelobarrow.decision.admission.limits import AccountLimits
from pomelobarrow.decision.common.bounded import are_amounts
from pomelobarrow.decision.published.configuration import Configuration
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.grid import LinkKind, Neighbours
from pomelobarrow.peers.heartbeat_round import HeartbeatRound

# A rate is sent again once it has changed by this share; the limits need no higher accuracy.
MIN_RELATIVE_CHANGE = 0.25
MIN_SENT_PER_S = 0.02
# In a large region each demand update carries the rates of whole rows, so fewer are sent.
SPARSE_EVERY_HEARTBEATS = 5
# The accounts for which the rates of one peer are kept.
MAX_RATED_ACCOUNTS = 65_536
# What the heartbeats of one round share.
OWN_RATES = "own rates"


@define
class SentDemand:
    """Record the rates that were sent to one peer, by account key."""

    rate_by_key: dict[int, float] = field(factory=dict)
    heartbeats_written: int = 0


@define(kw_only=True)
class DemandUpdates:
    """Exchange demand: a VM's own along its row, the sum of its row along its column.

    Other regions get the region's sum. Without it, each region would admit an account's whole
    limit, and callers that switch between regions would get the limit once in each.
    """

    limits: AccountLimits
    configuration: Callable[[], Configuration | None]
    round: HeartbeatRound = field(factory=HeartbeatRound)
    _rates: dict[str, dict[int, float]] = field(factory=dict)
    _keyed_configuration: Configuration | None = None
    _name_by_key: dict[int, str] = field(factory=dict)

    def write(
        self,
        heartbeat: pb.Heartbeat,
        sent: SentDemand,
        kind: LinkKind,
        neighbours: Neighbours,
        now_unix_s: float,
    ) -> None:
        """Add the rates that have changed."""
        sent.heartbeats_written += 1
        if neighbours.is_sparse and sent.heartbeats_written % SPARSE_EVERY_HEARTBEATS != 1:
            return
        rates = dict(self.round.shared(OWN_RATES, lambda: self._own_rates(now_unix_s)))
        self._add_rates_of(rates, _vms_summed_for(kind, neighbours))
        for key in sent.rate_by_key.keys() | rates.keys():
            rate = rates.get(key, 0.0)
            rate = rate if rate >= MIN_SENT_PER_S else 0.0
            if _has_changed(sent.rate_by_key.get(key, 0.0), rate):
                heartbeat.account_keys.append(key)
                heartbeat.account_rates.append(rate)
                sent.rate_by_key[key] = rate

    def apply(self, heartbeat: pb.Heartbeat, kind: LinkKind, now_unix_s: float) -> None:
        """Apply a peer's demand: its own, that of its row or that of its region."""
        rates = self._rates.setdefault(heartbeat.vm, {})
        if heartbeat.is_whole:
            rates.clear()
        for key, rate in zip(heartbeat.account_keys, heartbeat.account_rates, strict=False):
            if key in rates or len(rates) < MAX_RATED_ACCOUNTS:
                rates[key] = rate if are_amounts([rate]) else 0.0
        names = self._names()
        by_name = {names[key]: rate for key, rate in rates.items() if key in names and rate}
        if kind is LinkKind.OTHER_REGION:
            self.limits.observe_region_demand(heartbeat.region, by_name, now_unix_s)
        else:
            self.limits.observe_peer_demand(heartbeat.vm, by_name, now_unix_s)

    def forget(self, vm: str) -> None:
        """Drop the rates received from a peer."""
        self._rates.pop(vm, None)

    def _own_rates(self, now_unix_s: float) -> dict[int, float]:
        return {account_key(n): rate for n, rate in self.limits.demand(now_unix_s).items()}

    def _add_rates_of(self, rates: dict[int, float], vms: Iterable[str]) -> None:
        for vm in vms:
            for key, rate in self._rates.get(vm, {}).items():
                rates[key] = rates.get(key, 0.0) + rate

    def _names(self) -> dict[int, str]:
        configuration = self.configuration()
        if configuration is not None and configuration is not self._keyed_configuration:
            self._keyed_configuration = configuration
            self._name_by_key = {account_key(name): name for name in configuration.accounts}
        return self._name_by_key


def account_key(name: str) -> int:
    """Return the four-byte key that identifies an account in heartbeats."""
    return short_key(name)


def _vms_summed_for(kind: LinkKind, neighbours: Neighbours) -> frozenset[str]:
    """Return the VMs whose demand is added to this VM's own on a kind of link."""
    return {LinkKind.COLUMN: neighbours.row, LinkKind.OTHER_REGION: neighbours.all}.get(
        kind, frozenset()
    )


def _has_changed(old: float, new: float) -> bool:
    return abs(new - old) > MIN_RELATIVE_CHANGE * max(old, new)
