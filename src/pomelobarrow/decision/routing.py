"""Published routes: which pool serves a request's host and path, and what may be done with it."""

import enum
from collections import defaultdict
from collections.abc import Mapping
from functools import cached_property
from random import Random

from attrs import frozen


class RouteKind(enum.Enum):
    """Say how often a request may run and how it is answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@frozen(kw_only=True)
class PoolShare:
    """Name a pool and its part of a route's requests."""

    pool: str
    weight: float = 1.0


@frozen(kw_only=True)
class Route:
    """Hold what is published of one route."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    pools: tuple[PoolShare, ...]
    # The most backend servers that one request may be sent to.
    max_attempts: int = 1
    # 0 is the most urgent.
    urgency: int = 0
    is_resumable: bool = False
    # The seconds until there must be a final answer, and until the first of it is on time.
    timeout_s: float
    first_answer_target_s: float
    # The longest pause between two events of a stream that is on time; 0 where none is stated.
    gap_target_s: float = 0.0
    # A caller leaves a stream that is silent for this long.
    silence_patience_s: float = float("inf")
    # Empty where any region may serve it.
    home_regions: tuple[str, ...] = ()

    @property
    def is_stream(self) -> bool:
        """Say whether the answer is a stream of events."""
        return self.kind is RouteKind.STREAM

    @property
    def is_repeatable(self) -> bool:
        """Say whether a request that may have run can be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or (self.is_stream and self.is_resumable)

    def may_run_in(self, region: str) -> bool:
        """Say whether a region may serve it."""
        return not self.home_regions or region in self.home_regions

    def choose_pool(self, random: Random) -> str:
        """Return a pool, by the shares."""
        if len(self.pools) == 1:
            return self.pools[0].pool
        weights = [share.weight for share in self.pools]
        return random.choices(self.pools, weights)[0].pool


@frozen(kw_only=True)
class RelayPool:
    """Hold what is published of a pool that requests are relayed to."""

    name: str
    max_connections: int = 0
    # A server that has just started bears so many requests a second, of all VMs together.
    cold_requests_per_s: float = 0.0
    cold_s: float = 0.0
    kv_capacity_tokens: int = 0


@frozen(kw_only=True)
class CallerLimits:
    """Hold what a caller may send and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@frozen(kw_only=True, slots=False)
class Routing:
    """Hold one published version of all routes and pools."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[RelayPool, ...] = ()
    limits: CallerLimits = CallerLimits()

    @cached_property
    def _by_host(self) -> Mapping[str, tuple[Route, ...]]:
        by_host: defaultdict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            by_host[route.host.lower()].append(route)
        return {host: tuple(sorted(each, key=_longest_first)) for host, each in by_host.items()}

    @cached_property
    def pool_by_name(self) -> Mapping[str, RelayPool]:
        """Return the pools by their names."""
        return {pool.name: pool for pool in self.pools}

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that begins the path."""
        routes = self.routes_of_host(host)
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def routes_of_host(self, host: str) -> tuple[Route, ...]:
        """Return all routes of a host."""
        return self._by_host.get(host.lower(), ())


def _longest_first(route: Route) -> int:
    return -len(route.path_prefix)
