"""Keep to what backend servers announce: rate limits, pauses for this VM, and brittleness."""

import math
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen

from pomelobarrow.decision.common.shared_rate import SharedRates
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.brittle_servers import BrittleServers
from pomelobarrow.decision.servers.server_backoffs import ServerBackoffs

# VMs whose views of the region differ for a moment may select too many senders, so only this
# fraction of a limit is used.
USED_SHARE = 0.9
# Fewer VMs send at a low rate, so that each has a share for which a request can wait.
MIN_SHARE_PER_S = 1.0
BURST_S = 0.5
# A server that announced a limit of zero still gets requests at this rate, since only an answer can
# show that the limit has ended.
MIN_LIMIT_PER_S = 0.1


@frozen(kw_only=True)
class NamedLimit:
    """The limit that a server last announced, None if its latest answer had no limit."""

    per_s: float | None
    named_unix_s: float


def _senders(rate_per_s: float) -> int:
    return max(1, int(rate_per_s / MIN_SHARE_PER_S))


@define(kw_only=True)
class ServerLimits:
    """The limits and pauses of the region's servers, by incarnation, and this VM's shares."""

    own_vm: str = ""
    # Returns all VMs that send to these servers.
    region_vms: Callable[[], Iterable[str]] = tuple
    backoffs: ServerBackoffs = field(factory=ServerBackoffs)
    brittle: BrittleServers = field(factory=BrittleServers)
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
    def is_empty(self) -> bool:
        """Return whether no server has announced anything that limits this VM."""
        return not self._named and self.backoffs.is_empty and self.brittle.is_empty

    @property
    def named(self) -> Mapping[str, NamedLimit]:
        """Return the state of each server that has announced a limit, by incarnation."""
        return self._named

    def observe(self, incarnation: str, per_s: float | None, named_unix_s: float) -> bool:
        """Record a limit announced to this VM or a peer; return whether the limit changed."""
        known = self._named.get(incarnation)
        if known is None and per_s is None:
            return False
        if known is not None and named_unix_s <= known.named_unix_s:
            return False
        self._named[incarnation] = NamedLimit(per_s=per_s, named_unix_s=named_unix_s)
        return known is None or known.per_s != per_s

    def limit_per_s(self, server: BackendServer) -> float:
        """Return a server's request rate limit for all VMs together, infinity if there is none."""
        known = self._named.get(server.incarnation)
        if known is None or known.per_s is None:
            return math.inf
        return max(MIN_LIMIT_PER_S, known.per_s)

    def next_unix_s(self, server: BackendServer, now_unix_s: float) -> float:
        """Return when this VM may next send to a server, infinity if only other VMs may."""
        next_unix_s = max(
            self.backoffs.next_unix_s(server, now_unix_s),
            self.brittle.next_unix_s(server, now_unix_s),
        )
        limit_per_s = self.limit_per_s(server)
        if math.isinf(limit_per_s):
            return next_unix_s
        key = server.incarnation
        rate_next_unix_s = self._rates.next_unix_s(key, limit_per_s, self.region_vms, now_unix_s)
        return max(next_unix_s, rate_next_unix_s)

    def allows(self, server: BackendServer, now_unix_s: float) -> bool:
        """Return whether this VM may send to a server now."""
        return self.is_empty or self.next_unix_s(server, now_unix_s) <= now_unix_s

    def take(self, server: BackendServer, now_unix_s: float) -> None:
        """Count a request sent to a server."""
        if self.is_empty:
            return
        self.backoffs.take(server.incarnation, now_unix_s)
        if server.incarnation in self._named:
            self._rates.take(server.incarnation, now_unix_s)

    def keep_only(self, servers: Iterable[BackendServer]) -> None:
        """Drop the limits of incarnations that are no longer listed."""
        gone = self._named.keys() - {server.incarnation for server in servers}
        for incarnation in gone:
            del self._named[incarnation]
            self._rates.forget(incarnation)
