"""Keep the requests at servers that fall over when they reject too much below their slots.

Load pattern: the servers of a pool state that each of them ends if it rejects more than a few
requests a second, from all VMs together. How many may wait there is unknown and may fall to none,
and VMs learn of each other's requests a second late. So each VM has its own part of a server's
slots and keeps its requests there within it; what finds no place waits in the VM. A server that
ended pushes no work onto the others this way.
"""

import math
from collections.abc import Callable, Iterable
from functools import lru_cache

from attrs import define, field

from pomelobarrow.decision.rendezvous import rendezvous
from pomelobarrow.decision.work import BackendServer

# A server may still work on requests that this VM gave up.
USED_SHARE = 0.9
# An answer without the statement ends it only after this time, since answers may overtake another.
ENDS_AFTER_S = 1.0
# Without any answer, a pool may be as brittle as it was.
RETENTION_S = 30.0
# After a rejection a VM regains one place in this time.
REGAIN_PLACE_S = 2.0
# A request that waits for a place checks again after this time, should nothing wake it earlier.
PLACE_CHECK_S = 0.25
MAX_CACHED_SHARES = 1_024


@define
class _Reduced:
    """The places that a rejection left at a server of a pool, and when."""

    pool: str
    places: int
    rejected_unix_s: float


@define(kw_only=True)
class BrittleServers:
    """The pools whose servers state that they are brittle, and this VM's places at them."""

    own_vm: str = ""
    # Returns all VMs that send to these servers.
    region_vms: Callable[[], Iterable[str]] = tuple
    # Returns the requests that this VM has at a server, by its name.
    own_requests: Callable[[str], int] = lambda server_name: 0
    # By pool: when a server last stated that it is brittle.
    _stated: dict[str, float] = field(factory=dict)
    _reduced: dict[str, _Reduced] = field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no pool is known to be brittle."""
        return not self._stated

    def is_brittle(self, pool: str, now_unix_s: float) -> bool:
        """Return whether the servers of a pool are brittle now."""
        if not self._stated:
            return False
        return now_unix_s - self._stated.get(pool, -math.inf) < RETENTION_S

    def observe(self, pool: str, is_brittle: bool, now_unix_s: float) -> bool:
        """Record what an answer states; return whether the pool has become brittle."""
        if is_brittle:
            was_brittle = self.is_brittle(pool, now_unix_s)
            self._stated[pool] = now_unix_s
            return not was_brittle
        if self._stated and now_unix_s - self._stated.get(pool, math.inf) > ENDS_AFTER_S:
            del self._stated[pool]
            self._reduced = {k: each for k, each in self._reduced.items() if each.pool != pool}
        return False

    def note_rejection(self, server: BackendServer, now_unix_s: float) -> None:
        """Reduce this VM's places at a brittle server that had no room for a request."""
        if self.is_brittle(server.pool, now_unix_s):
            # The rejected request is still among them.
            places = max(1, self.own_requests(server.name) - 1)
            self._reduced[server.incarnation] = _Reduced(server.pool, places, now_unix_s)

    def places(self, server: BackendServer, now_unix_s: float) -> int:
        """Return how many requests this VM may have at a brittle server."""
        vms = tuple(sorted({self.own_vm, *self.region_vms()}))
        share = _share(server.name, server.slots, self.own_vm, vms)
        reduced = self._reduced.get(server.incarnation)
        if reduced is None:
            return share
        regained = int((now_unix_s - reduced.rejected_unix_s) / REGAIN_PLACE_S)
        return min(share, reduced.places + regained)

    def next_unix_s(self, server: BackendServer, now_unix_s: float) -> float:
        """Return when this VM may send to a server, infinity if only other VMs may."""
        if not self.is_brittle(server.pool, now_unix_s):
            return now_unix_s
        places = self.places(server, now_unix_s)
        if not places:
            return math.inf
        is_free = self.own_requests(server.name) < places
        return now_unix_s if is_free else now_unix_s + PLACE_CHECK_S

    def expected_wait_s(
        self, servers: Iterable[BackendServer], ahead: int, hold_s: float, now_unix_s: float
    ) -> float:
        """Return the expected wait behind other requests for a place at any of these servers."""
        places = sum(self.places(server, now_unix_s) for server in servers)
        return (ahead + 1) * hold_s / places if places else math.inf


@lru_cache(maxsize=MAX_CACHED_SHARES)
def _share(server_name: str, slots: int, own_vm: str, vms: tuple[str, ...]) -> int:
    """Return a VM's part of a server's slots; all VMs with the same view agree on the parts."""
    used = math.ceil(USED_SHARE * slots)
    share, remaining = divmod(used, len(vms))
    has_one_more = remaining and own_vm in rendezvous(f"slots/{server_name}", vms, remaining)
    return share + bool(has_one_more)
