"""Published routes: which pool serves a host and path, and how its requests may be handled."""

import enum
from collections import defaultdict
from collections.abc import Mapping
from functools import cached_property
from random import Random

from attrs import evolve, frozen

from pomelobarrow.decision.published.accounts import Account

# Stands for the homes of a route and an account that have none in common. No region has this name.
NOWHERE = ""


class RouteKind(enum.Enum):
    """Whether a request may run more than once, and whether it is answered by a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@frozen(kw_only=True)
class PoolShare:
    """A pool and the weight with which it gets a route's requests."""

    pool: str
    weight: float = 1.0


@frozen(kw_only=True)
class Route:
    """One published route."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    pools: tuple[PoolShare, ...]
    # The maximum number of backend servers that one request may be sent to.
    max_attempts: int = 1
    # 0 is the most urgent.
    urgency: int = 0
    is_resumable: bool = False
    # Time limit of the whole answer, and target for the first byte or event of it.
    timeout_s: float
    first_answer_target_s: float
    # Longest pause allowed between two events of a stream; 0 means no target.
    gap_target_s: float = 0.0
    # Callers close a stream on which nothing arrives for this long.
    silence_patience_s: float = float("inf")
    # Regions that may serve the route; empty means all.
    home_regions: tuple[str, ...] = ()
    # Whether requests need no account's key.
    is_public: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.kind is RouteKind.STREAM

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may already have run can be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or (self.is_stream and self.is_resumable)

    def may_run_in(self, region: str) -> bool:
        """Return whether a region may serve the route."""
        return not self.home_regions or region in self.home_regions

    @property
    def may_run_anywhere(self) -> bool:
        """Return whether any region may serve the route; none may if its account shares none."""
        return NOWHERE not in self.home_regions

    def choose_pool(self, random: Random) -> str:
        """Return a random pool, weighted by the pools' shares."""
        if len(self.pools) == 1:
            return self.pools[0].pool
        weights = [share.weight for share in self.pools]
        return random.choices(self.pools, weights)[0].pool


@frozen(kw_only=True)
class RelayPool:
    """A published pool of backend servers that requests are relayed to."""

    name: str
    max_connections: int = 0
    # For `cold_s` after its start a server gets at most this rate, from all VMs together.
    cold_requests_per_s: float = 0.0
    cold_s: float = 0.0
    kv_capacity_tokens: int = 0
    # The size of a cached prompt token, and the speed of the link over which servers of the pool
    # copy such tokens from each other; 0 if they can't.
    kv_bytes_per_token: int = 0
    copy_link_mbps: float = 0.0


@frozen(kw_only=True)
class CallerLimits:
    """Limits on the size of a caller's request and on the time to send it or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


@frozen(kw_only=True, slots=False)
class Routing:
    """One published version of all routes and pools."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[RelayPool, ...] = ()
    limits: CallerLimits = CallerLimits()
    accounts: tuple[Account, ...] = ()
    # Whether routes that aren't public need an account's key. None in a version that a VM of an
    # earlier release has read: that release passed on no accounts.
    needs_account: bool | None = None

    @cached_property
    def version_text(self) -> str:
        """Return the version as a header carries it."""
        return str(self.version)

    @cached_property
    def account_by_key_sha256(self) -> Mapping[str, Account]:
        """Return the accounts by the hashes of their keys."""
        return {hashed: each for each in self.accounts for hashed in each.token_sha256}

    @cached_property
    def account_by_name(self) -> Mapping[str, Account]:
        """Return the accounts by name."""
        return {account.name: account for account in self.accounts}

    @cached_property
    def _routes_of_accounts(self) -> dict[tuple[str, str], Route]:
        return {}

    def route_of_account(self, route: Route, account: Account) -> Route:
        """Return a route as it applies to an account: its urgency, and only homes of both."""
        key = (route.name, account.name)
        if key not in self._routes_of_accounts:
            self._routes_of_accounts[key] = _route_of_account(route, account)
        return self._routes_of_accounts[key]

    @cached_property
    def _by_host(self) -> Mapping[str, tuple[Route, ...]]:
        by_host: defaultdict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            by_host[route.host.lower()].append(route)
        return {host: tuple(sorted(each, key=_longest_first)) for host, each in by_host.items()}

    @cached_property
    def pool_by_name(self) -> Mapping[str, RelayPool]:
        """Return the pools by name."""
        return {pool.name: pool for pool in self.pools}

    def find(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, if any."""
        routes = self.routes_of_host(host)
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def routes_of_host(self, host: str) -> tuple[Route, ...]:
        """Return all routes of a host."""
        return self._by_host.get(host.lower(), ())


def _route_of_account(route: Route, account: Account) -> Route:
    urgency = route.urgency if account.urgency is None else account.urgency
    return evolve(route, urgency=urgency, home_regions=_common_homes(route, account))


def _common_homes(route: Route, account: Account) -> tuple[str, ...]:
    if not route.home_regions or not account.home_regions:
        return route.home_regions or account.home_regions
    common = tuple(home for home in route.home_regions if home in account.home_regions)
    return common or (NOWHERE,)


def _longest_first(route: Route) -> int:
    return -len(route.path_prefix)
