"""Keep to the requests a second that a backend server says it takes from all VMs together."""

import math
import re
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen

from pomelobarrow.decision.shared_rate import SharedRates
from pomelobarrow.decision.work import BackendServer

# VMs whose views of the region differ for a moment may name more senders than there should be.
USED_SHARE = 0.9
# Fewer VMs send at a low rate, so that each has a part that a caller can wait for.
LEAST_PART_PER_S = 1.0
BURST_S = 0.5
# A server that takes nothing gets a request now and then: nothing but an answer tells that its
# limit has ended.
MIN_LIMIT_PER_S = 0.1
_DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?")


@frozen(kw_only=True)
class NamedLimit:
    """Hold what a server said last: its limit, or None where an answer named none any more."""

    per_s: float | None
    named_unix_s: float


def parse_limit(text: str) -> float | None:
    """Return a limit as written; None for what can't be read, as if none were named."""
    return float(text) if _DECIMAL.fullmatch(text.strip()) else None


def _senders(rate_per_s: float) -> int:
    return max(1, int(rate_per_s / LEAST_PART_PER_S))


@define(kw_only=True)
class ServerLimits:
    """Hold the limits of the region's servers, by incarnation, and this VM's parts of them."""

    own_vm: str = ""
    # All VMs that send to these servers.
    region_vms: Callable[[], Iterable[str]] = tuple
    _named: dict[str, NamedLimit] = field(factory=dict)
    _rates: SharedRates = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rates = SharedRates(
            own_vm=self.own_vm,
            purpose="limit",
            senders=_senders,
            used_share=USED_SHARE,
            burst_s=BURST_S,
        )

    @property
    def named(self) -> Mapping[str, NamedLimit]:
        """Return what is known of each server that has named a limit."""
        return self._named

    def observe(self, incarnation: str, per_s: float | None, named_unix_s: float) -> bool:
        """Take in what a server said, to this VM or a peer; say whether that changes its limit."""
        held = self._named.get(incarnation)
        if held is None and per_s is None:
            return False
        if held is not None and named_unix_s <= held.named_unix_s:
            return False
        self._named[incarnation] = NamedLimit(per_s=per_s, named_unix_s=named_unix_s)
        return held is None or held.per_s != per_s

    def limit_per_s(self, server: BackendServer) -> float:
        """Return what a server takes from all VMs together, infinity without a limit."""
        held = self._named.get(server.incarnation)
        if held is None or held.per_s is None:
            return math.inf
        return max(MIN_LIMIT_PER_S, held.per_s)

    def next_unix_s(self, server: BackendServer, now_unix_s: float) -> float:
        """Return when this VM may send to a server next, infinity where others send there."""
        limit_per_s = self.limit_per_s(server)
        if math.isinf(limit_per_s):
            return now_unix_s
        key = server.incarnation
        return self._rates.next_unix_s(key, limit_per_s, self.region_vms, now_unix_s)

    def allows(self, server: BackendServer, now_unix_s: float) -> bool:
        """Say whether this VM may send to a server now."""
        return not self._named or self.next_unix_s(server, now_unix_s) <= now_unix_s

    def take(self, server: BackendServer, now_unix_s: float) -> None:
        """Count a request that is sent to a server."""
        if server.incarnation in self._named:
            self._rates.take(server.incarnation, now_unix_s)

    def keep_only(self, servers: Iterable[BackendServer]) -> None:
        """Drop what incarnations said that are no more listed."""
        gone = self._named.keys() - {server.incarnation for server in servers}
        for incarnation in gone:
            del self._named[incarnation]
            self._rates.forget(incarnation)
