"""Share a rate limit between VMs without a message for each request.

Load pattern: all VMs of a region send to one server that accepts few requests per second. A few
VMs, on which all VMs agree by hashing, send at an equal share of the rate; all others send to other
servers.
"""

import math
from collections.abc import Callable, Iterable

from attrs import define, field

from pomelobarrow.decision.common.rendezvous import rendezvous

# The set of live VMs changes rarely, and ranking the VMs of a large region is slow, so the selected
# senders are cached for this long.
SENDERS_TTL_S = 0.5


@define
class _Share:
    """This VM's share of one rate, 0 if it is not among the senders."""

    per_s: float = 0.0
    next_unix_s: float = float("-inf")
    total_per_s: float = 0.0
    good_until_unix_s: float = float("-inf")


@define(kw_only=True)
class SharedRates:
    """This VM's shares of all rates for one purpose."""

    own_vm: str
    purpose: str
    # Returns the number of senders for a rate.
    senders: Callable[[float], int]
    # The fraction of the rate that is used; the rest is a reserve for VMs whose views of the region
    # differ.
    used_share: float
    # Unused capacity of up to this time may be sent as a burst.
    burst_s: float = 0.0
    _shares: dict[str, _Share] = field(factory=dict)

    def next_unix_s(
        self, key: str, rate_per_s: float, vms: Callable[[], Iterable[str]], now_unix_s: float
    ) -> float:
        """Return when this VM may send next, infinity if it is not a sender."""
        share = self._share(key, rate_per_s, vms, now_unix_s)
        return share.next_unix_s if share.per_s > 0.0 else math.inf

    def take(self, key: str, now_unix_s: float) -> None:
        """Count a request sent by this VM."""
        share = self._shares.get(key)
        if share is not None and share.per_s > 0.0:
            earliest_unix_s = max(share.next_unix_s, now_unix_s - self.burst_s)
            share.next_unix_s = earliest_unix_s + 1.0 / share.per_s

    def forget(self, key: str) -> None:
        """Drop a rate that no longer applies."""
        self._shares.pop(key, None)

    def _share(
        self, key: str, rate_per_s: float, vms: Callable[[], Iterable[str]], now_unix_s: float
    ) -> _Share:
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = _Share(next_unix_s=now_unix_s)
        is_good = 0.0 <= share.good_until_unix_s - now_unix_s <= SENDERS_TTL_S
        if not is_good or share.total_per_s != rate_per_s:
            share.per_s = self._own_per_s(key, rate_per_s, vms())
            share.total_per_s = rate_per_s
            share.good_until_unix_s = now_unix_s + SENDERS_TTL_S
            if share.per_s > 0.0:
                # After an increase of the rate, the wait is no longer than at the new rate.
                share.next_unix_s = min(share.next_unix_s, now_unix_s + 1.0 / share.per_s)
        return share

    def _own_per_s(self, key: str, rate_per_s: float, vms: Iterable[str]) -> float:
        names = {self.own_vm, *vms}
        chosen = rendezvous(f"{self.purpose}/{key}", names, self.senders(rate_per_s))
        return self.used_share * rate_per_s / len(chosen) if self.own_vm in chosen else 0.0
