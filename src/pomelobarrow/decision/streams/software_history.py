"""Know which software may have begun a stream of which there is no record.

Load pattern: the servers of a version leave, or a route moves to another pool, while streams run.
Clients take up their streams some milliseconds later, at VMs that may have just started.
"""

import functools
import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.decision.requests.work import BackendServer

# Clients take up a stream within the time that they grant the request; few grant more than this.
STREAM_RETENTION_S = 120.0
# After the end of the longest stream that its route allows, a client takes it up within this time.
TAKE_UP_S = 60.0
# Former versions of the routes that are remembered; operators change pools of routes rarely.
MAX_FORMER_ROUTES = 64
MAX_CACHED_KEYS = 1_024
# No version comes and goes within this time after the first start of all VMs. Operators may publish
# the first configuration some seconds after that.
FIRST_LISTS_S = 15.0


def software_key(server: BackendServer) -> int:
    """Return the key of a server's software; servers whose entries name no version share one."""
    return _software_key(server.pool, server.software_version)


@functools.lru_cache(MAX_CACHED_KEYS)
def _software_key(pool: str, version: str) -> int:
    return short_key(f"{pool}\0{version}")


@frozen
class StreamTarget:
    """The host and the path of a stream's request, which determine its route."""

    host: str
    path: str


@frozen
class RoutePools:
    """The pools that one version of the configuration gives to streams."""

    # By host: prefixes, the longest first, and their pools; none where a route has no streams.
    _by_host: Mapping[str, tuple[tuple[str, frozenset[str]], ...]]
    # The time limit of the stream that may last longest.
    longest_stream_s: float = field(default=0.0, kw_only=True, eq=False)

    def of_target(self, target: StreamTarget) -> frozenset[str]:
        """Return the pools that may begin a stream of this target."""
        routes = self._by_host.get(target.host.lower(), ())
        matching = (pools for prefix, pools in routes if target.path.startswith(prefix))
        return next(matching, frozenset())


def route_pools(routing: Routing) -> RoutePools:
    """Return the pools of all routes."""
    hosts = {route.host.lower() for route in routing.routes}
    return RoutePools(
        {
            host: tuple(
                (
                    route.path_prefix,
                    frozenset(share.pool for share in route.pools if route.is_stream),
                )
                for route in routing.routes_of_host(host)
            )
            for host in hosts
        },
        longest_stream_s=max((r.timeout_s for r in routing.routes if r.is_stream), default=0.0),
    )


@frozen(kw_only=True)
class HistoryStatement:
    """The software that may have begun a stream, as a VM that is asked knows."""

    software_keys: frozenset[int]
    # For how long that VM has known the servers and routes.
    known_for_s: float
    # How long before the question its lists were last known to be complete; 0 if they were read
    # after it, infinity if that isn't known.
    list_age_s: float


def only_software(
    statements: Iterable[HistoryStatement], retention_s: float = STREAM_RETENTION_S
) -> int | None:
    """Return the software of a stream of which there is no record, None if it isn't certain.

    The stream may have begun at any time until it was taken up. VMs that know the route have to
    know, together, all that was listed until then; what any other has seen counts, too.
    """
    stated = tuple(statements)
    keys = frozenset[int]().union(*(each.software_keys for each in stated))
    known_s = _known_without_gap_s(each for each in stated if each.software_keys)
    return next(iter(keys)) if known_s >= retention_s and len(keys) == 1 else None


def _known_without_gap_s(statements: Iterable[HistoryStatement]) -> float:
    """Return for how long before the question all that was listed is known."""
    known_s = 0.0
    for each in sorted(statements, key=lambda each: each.list_age_s):
        if each.list_age_s > known_s:
            break
        known_s = max(known_s, each.known_for_s)
    return known_s


@define(kw_only=True)
class SoftwareHistory:
    """The software that recent streams may be of, by the list of servers and the routes."""

    # Nothing was before lists that arrive until then, since all VMs start for the first time.
    first_lists_until_unix_s: float = -math.inf
    # Returns the time up to which the lists observed here are known to be complete.
    proven_unix_s: Callable[[], float] = lambda: math.inf
    # By pool and software: until when it was listed, if it no longer is.
    _gone_unix_s: dict[str, dict[int, float]] = field(factory=dict, init=False)
    # The software of the servers that are listed, by pool.
    _listed: dict[str, set[int]] = field(factory=dict, init=False)
    _routes: RoutePools | None = field(default=None, init=False)
    # For how long a stream may still be taken up after it has begun.
    retention_s: float = field(default=STREAM_RETENTION_S, init=False)
    # Routes that were in force before, and until when.
    _former_routes: deque[tuple[RoutePools, float]] = field(factory=deque, init=False)
    # From when on this VM knows the servers, and from when on it knows the routes.
    _servers_known_unix_s: float = field(default=float("inf"), init=False)
    _routes_known_unix_s: float = field(default=float("inf"), init=False)

    def observe(self, servers: Mapping[str, BackendServer], now_unix_s: float) -> None:
        """Record the present list; the one before was valid until now."""
        known_unix_s = self._known_from_unix_s(now_unix_s)
        self._servers_known_unix_s = min(self._servers_known_unix_s, known_unix_s)
        for pool, keys in self._listed.items():
            self._gone_unix_s.setdefault(pool, {}).update(dict.fromkeys(keys, now_unix_s))
        self._listed = {}
        for server in servers.values():
            self._listed.setdefault(server.pool, set()).add(software_key(server))
        self._forget_old(now_unix_s)

    def observe_routing(self, routing: Routing, now_unix_s: float) -> bool:
        """Record the routes in force; return whether others were in force before."""
        former, self._routes = self._routes, route_pools(routing)
        # Streams of former routes go on, so that the time never shrinks.
        self.retention_s = max(self.retention_s, self._routes.longest_stream_s + TAKE_UP_S)
        if former is None:
            self._routes_known_unix_s = self._known_from_unix_s(now_unix_s)
            return False
        if former == self._routes:
            return False
        self._former_routes.append((former, now_unix_s))
        if len(self._former_routes) > MAX_FORMER_ROUTES:
            _, self._routes_known_unix_s = self._former_routes.popleft()
        return True

    def known_for_s(self, now_unix_s: float) -> float:
        """Return for how long this VM has known which servers and routes there are."""
        known_unix_s = max(self._servers_known_unix_s, self._routes_known_unix_s)
        return max(0.0, now_unix_s - known_unix_s)

    def recent(self, pool: str, now_unix_s: float) -> frozenset[int]:
        """Return the versions of a pool whose streams may still be taken up."""
        oldest_unix_s = now_unix_s - self.retention_s
        gone = self._gone_unix_s.get(pool, {})
        left = (key for key, until_unix_s in gone.items() if until_unix_s > oldest_unix_s)
        return frozenset(self._listed.get(pool, ())).union(left)

    def recent_by_pool(self, now_unix_s: float) -> dict[str, frozenset[int]]:
        """Return the same for each pool."""
        return {pool: self.recent(pool, now_unix_s) for pool in {*self._listed, *self._gone_unix_s}}

    def recent_of_target(self, target: StreamTarget, now_unix_s: float) -> frozenset[int]:
        """Return the software that may have begun a stream of a target that is taken up now."""
        oldest_unix_s = now_unix_s - self.retention_s
        routes = [
            former for former, until_unix_s in self._former_routes if until_unix_s > oldest_unix_s
        ]
        if self._routes is not None:
            routes.append(self._routes)
        pools = frozenset[str]().union(*(each.of_target(target) for each in routes))
        return self._of_pools(pools, now_unix_s)

    def statement(
        self, target: StreamTarget, now_unix_s: float, asked_unix_s: float
    ) -> HistoryStatement:
        """Return what this VM knows of streams of a target, for a question of the given time."""
        return HistoryStatement(
            software_keys=self.recent_of_target(target, now_unix_s),
            known_for_s=self.known_for_s(now_unix_s),
            list_age_s=max(0.0, asked_unix_s - self.proven_unix_s()),
        )

    def assumed(self, target: StreamTarget, now_unix_s: float) -> int | None:
        """Return the only software that recent streams can be of if the present list is complete.

        None if this VM knows of several, or hasn't known the lists for long enough.
        """
        stated = evolve(self.statement(target, now_unix_s, now_unix_s), list_age_s=0.0)
        return only_software((stated,), self.retention_s)

    def _known_from_unix_s(self, received_unix_s: float) -> float:
        """Return from when on the first list shows all that there was."""
        return 0.0 if received_unix_s <= self.first_lists_until_unix_s else received_unix_s

    def _of_pools(self, pools: Iterable[str], now_unix_s: float) -> frozenset[int]:
        return frozenset[int]().union(*(self.recent(pool, now_unix_s) for pool in pools))

    def _forget_old(self, now_unix_s: float) -> None:
        oldest_unix_s = now_unix_s - self.retention_s
        for pool, gone in list(self._gone_unix_s.items()):
            kept = {key: unix_s for key, unix_s in gone.items() if unix_s > oldest_unix_s}
            if kept:
                self._gone_unix_s[pool] = kept
            else:
                del self._gone_unix_s[pool]
