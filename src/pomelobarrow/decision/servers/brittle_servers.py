"""Keep the requests at servers that fall over when they reject too much below their slots.

Load pattern: the servers of a pool state that each of them ends if it rejects more than a few
requests a second, from all VMs together. How many may wait there is unknown and may fall to none,
and VMs learn of each other's requests a second late. So each VM has its own part of a server's
slots and keeps its requests there within it; what finds no place waits in the VM. A server that
ended pushes no work onto the others this way.

In a large region a part is one place or none, which may be free at one VM while requests wait at
another. So a VM whose places are all in use sends a request through another one that has some.
"""

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from functools import lru_cache
from itertools import islice

from attrs import define, field

from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.decision.requests.work import BackendServer

# A server may still work on requests that this VM gave up.
USED_SHARE = 0.9
# An answer without the statement ends it only after this time, since answers may overtake another.
ENDS_AFTER_S = 1.0
# Without any answer, a pool may be as brittle as it was.
RETENTION_S = 30.0
# After a rejection a VM regains one place in this time.
REGAIN_PLACE_S = 2.0
# What a peer stated of its own answers holds for this time; heartbeats arrive once a second.
STATEMENT_VALID_S = 3.0
# A request that waits for a place checks again after this time, should nothing wake it earlier.
PLACE_CHECK_S = 0.25
# More than a region has servers.
MAX_CACHED_SERVERS = 1_024
# Pools that peers state at a time.
MAX_STATED_BY_PEERS = 4_096


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
    # By key of the pool: when a peer last stated that its servers are.
    _stated_by_peers: dict[int, float] = field(factory=dict)
    _reduced: dict[str, _Reduced] = field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no pool is known to be brittle."""
        return not self._stated and not self._stated_by_peers

    def is_brittle(self, pool: str, now_unix_s: float) -> bool:
        """Return whether the servers of a pool are brittle now."""
        if self._stated and now_unix_s - self._stated.get(pool, -math.inf) < RETENTION_S:
            return True
        if not self._stated_by_peers:
            return False
        stated_unix_s = self._stated_by_peers.get(short_key(pool), -math.inf)
        return now_unix_s - stated_unix_s < STATEMENT_VALID_S

    def stated_lately(self, now_unix_s: float) -> list[str]:
        """Return the pools whose servers have just stated to this VM that they are brittle."""
        oldest_unix_s = now_unix_s - STATEMENT_VALID_S
        return [pool for pool, at in self._stated.items() if at > oldest_unix_s]

    def observe_of_peer(self, pool_keys: Iterable[int], now_unix_s: float) -> None:
        """Record the pools whose servers stated to a peer that they are brittle."""
        if self._stated_by_peers:
            oldest_unix_s = now_unix_s - STATEMENT_VALID_S
            valid = {k: at for k, at in self._stated_by_peers.items() if at > oldest_unix_s}
            self._stated_by_peers = valid
        stated = islice(pool_keys, max(0, MAX_STATED_BY_PEERS - len(self._stated_by_peers)))
        self._stated_by_peers.update(dict.fromkeys(stated, now_unix_s))

    def observe(self, pool: str, is_brittle: bool, now_unix_s: float) -> bool:
        """Record what an answer states; return whether the pool has become brittle."""
        if is_brittle:
            was_brittle = self.is_brittle(pool, now_unix_s)
            self._stated[pool] = now_unix_s
            return not was_brittle
        if not self.is_empty and now_unix_s - self._stated.get(pool, -math.inf) > ENDS_AFTER_S:
            self._stated.pop(pool, None)
            self._stated_by_peers.pop(short_key(pool), None)
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
        part = _parts(server.name, server.slots, vms).get(self.own_vm, 0)
        reduced = self._reduced.get(server.incarnation)
        if reduced is None:
            return part
        regained = int((now_unix_s - reduced.rejected_unix_s) / REGAIN_PLACE_S)
        return min(part, reduced.places + regained)

    def vms_without_places(
        self, servers: Collection[BackendServer], now_unix_s: float
    ) -> frozenset[str]:
        """Return the VMs of this region that may send to none of these servers of one pool."""
        if self.is_empty or not any(self.is_brittle(s.pool, now_unix_s) for s in servers):
            return frozenset()
        vms = {self.own_vm, *self.region_vms()}
        return frozenset(vms - places_by_vm(servers, vms).keys())

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


def places_by_vm(servers: Iterable[BackendServer], vms: Iterable[str]) -> Counter[str]:
    """Return how many requests each VM of a region may have at brittle servers in all."""
    names = tuple(sorted(vms))
    places: Counter[str] = Counter()
    for server in servers:
        places.update(_parts(server.name, server.slots, names))
    return places


@lru_cache(maxsize=MAX_CACHED_SERVERS)
def _parts(server_name: str, slots: int, vms: tuple[str, ...]) -> Mapping[str, int]:
    """Return the VMs' parts of a server's slots; all VMs with the same view agree on them."""
    part, remaining = divmod(math.ceil(USED_SHARE * slots), len(vms))
    places = dict.fromkeys(vms, part) if part else {}
    places.update(dict.fromkeys(rendezvous(f"slots/{server_name}", vms, remaining), part + 1))
    return places
