"""Keep a rate that several VMs share, with no message for each request.

Load pattern: all VMs of a region send to one server that takes few requests a second. A few of
them, the same in every VM's view, send at an equal part of the rate, and all others send elsewhere.
"""

import math
from collections.abc import Callable, Iterable

from attrs import define, field

from pomelobarrow.decision.rendezvous import rendezvous

# Who lives changes seldom, and to rank the VMs of a large region takes long.
SENDERS_GOOD_FOR_S = 0.5


@define
class _Part:
    """Hold this VM's part of one rate; 0 where it isn't among the senders."""

    per_s: float = 0.0
    next_unix_s: float = float("-inf")
    shared_out_of_per_s: float = 0.0
    good_until_unix_s: float = float("-inf")


@define(kw_only=True)
class SharedRates:
    """Hold this VM's parts of the rates of one purpose."""

    own_vm: str
    purpose: str
    # How many VMs send at a rate.
    senders: Callable[[float], int]
    # What is left free for VMs whose views of the region differ.
    used_share: float
    # What wasn't sent in this time may be made up for at once.
    burst_s: float = 0.0
    _parts: dict[str, _Part] = field(factory=dict)

    def next_unix_s(
        self, key: str, rate_per_s: float, vms: Callable[[], Iterable[str]], now_unix_s: float
    ) -> float:
        """Return when this VM may send next, infinity where it is no sender."""
        part = self._part(key, rate_per_s, vms, now_unix_s)
        return part.next_unix_s if part.per_s > 0.0 else math.inf

    def take(self, key: str, now_unix_s: float) -> None:
        """Count a request that is sent."""
        part = self._parts.get(key)
        if part is not None and part.per_s > 0.0:
            earliest_unix_s = max(part.next_unix_s, now_unix_s - self.burst_s)
            part.next_unix_s = earliest_unix_s + 1.0 / part.per_s

    def forget(self, key: str) -> None:
        """Drop a rate that is no more."""
        self._parts.pop(key, None)

    def _part(
        self, key: str, rate_per_s: float, vms: Callable[[], Iterable[str]], now_unix_s: float
    ) -> _Part:
        part = self._parts.get(key)
        if part is None:
            part = self._parts[key] = _Part(next_unix_s=now_unix_s)
        is_good = 0.0 <= part.good_until_unix_s - now_unix_s <= SENDERS_GOOD_FOR_S
        if not is_good or part.shared_out_of_per_s != rate_per_s:
            part.per_s = self._own_per_s(key, rate_per_s, vms())
            part.shared_out_of_per_s = rate_per_s
            part.good_until_unix_s = now_unix_s + SENDERS_GOOD_FOR_S
            if part.per_s > 0.0:
                # At a rate that rose, the wait for the old one is over sooner.
                part.next_unix_s = min(part.next_unix_s, now_unix_s + 1.0 / part.per_s)
        return part

    def _own_per_s(self, key: str, rate_per_s: float, vms: Iterable[str]) -> float:
        names = {self.own_vm, *vms}
        chosen = rendezvous(f"{self.purpose}/{key}", names, self.senders(rate_per_s))
        return self.used_share * rate_per_s / len(chosen) if self.own_vm in chosen else 0.0
