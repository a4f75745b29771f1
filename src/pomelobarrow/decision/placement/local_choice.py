"""Choose a backend server of this region for a request.

Load pattern: many VMs place requests on the same servers, half of which are in another failure
domain. Traffic between failure domains is charged, so a nearby server (one in this VM's own failure
domain) is preferred while it is free. The request rate of a cold server is limited over all VMs.
"""

from random import Random

from attrs import define, field

from pomelobarrow.decision.admission.urgent_room import Competition, UrgentDemand, has_room
from pomelobarrow.decision.members.live_members import LiveMembers
from pomelobarrow.decision.placement.prefix_copy import CopyQueues, CopySources, copy_link
from pomelobarrow.decision.placement.server_choice import (
    Admission,
    StateReader,
    choose_server,
    state_reader,
)
from pomelobarrow.decision.prompts.kept_parts import KeptParts
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.decision.requests.placement_request import ExcludedTargets, PlacementRequest
from pomelobarrow.decision.requests.work import BackendServer, Placement, Work
from pomelobarrow.decision.servers.cold_start import ColdLimiter
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.servers.server_state import ServerState

# A nearby server is preferred while its expected wait is within this share of the target.
NEARBY_WAIT_TARGET_SHARE = 0.1
MAX_CACHED_LISTS = 64


@define(kw_only=True)
class LocalChoice:
    """Chooses a server of the own region, preferring the own failure domain."""

    own_region: str
    own_failure_domain: str
    table: LoadTable
    members: LiveMembers
    cold: ColdLimiter
    rng: Random = field(factory=Random)
    kept: KeptParts = field(factory=KeptParts)
    copy_queues: CopyQueues = field(factory=CopyQueues)
    urgent_demand: UrgentDemand = field(factory=UrgentDemand)
    # The lists of servers and the names found in them, by the identity of the list.
    _names_by_servers: dict[int, tuple[tuple[BackendServer, ...], frozenset[str]]] = field(
        factory=dict, init=False
    )

    def choose(
        self,
        request: PlacementRequest,
        routing: Routing,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> Placement | None:
        """Return the server with the least expected wait, or a nearby one if that is free."""
        if not request.route.may_run_in(self.own_region):
            return None
        cold = self._cold_servers(request.work.pool, routing, now_unix_s)
        excluded_names = frozenset(excluded.servers | cold)
        admits, ahead_share = self._admission(request, now_unix_s)
        states = state_reader(self.table, request.work.pool, now_unix_s)
        nearby = self._choose_nearby(
            request, excluded_names, states, admits, ahead_share, now_unix_s
        )
        if nearby is not None:
            return nearby
        return choose_server(
            self.table,
            request.work,
            now_unix_s,
            self.rng,
            excluded_names,
            admits,
            states,
            self._copy_sources(request, routing, excluded, now_unix_s),
            ahead_share,
        )

    def _copy_sources(
        self,
        request: PlacementRequest,
        routing: Routing,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> CopySources | None:
        """Return the servers to copy a long shared part from, None if there are none."""
        work = request.work
        link = copy_link(routing.pool_by_name.get(work.pool))
        if link is None or not request.is_long_shared:
            return None
        usable = self.table.usable_servers(work.pool, now_unix_s)
        untried = (server for server in usable if server.name not in excluded.servers)
        holders = self.kept.holders(work, untried, now_unix_s)
        if not holders:
            return None
        prefixes, queues = self.table.prefixes, self.copy_queues
        return CopySources(
            link=link,
            tokens_by_source=tuple(
                (s, prefixes.cached_tokens(s.name, work.prefix_hashes)) for s in holders
            ),
            queue_s={s.address: queues.wait_s(s.address, now_unix_s) for s in holders},
        )

    def competition(self, request: PlacementRequest, now_unix_s: float) -> Competition:
        """Return how a request competes with the others of its pool."""
        pool, urgency = request.work.pool, request.route.urgency
        return self.urgent_demand.competition(pool, urgency, now_unix_s)

    def _admission(self, request: PlacementRequest, now_unix_s: float) -> tuple[Admission, float]:
        """Return which servers have room for a request, and what share goes before it there."""
        pool, urgency = request.work.pool, request.route.urgency
        self.urgent_demand.observe(pool, urgency, request.work.prompt_tokens, now_unix_s)
        competition = self.competition(request, now_unix_s)
        has_returned = request.has_returned

        def admits(state: ServerState, _: Rank) -> bool:
            return has_room(state, competition.is_less_urgent, has_returned)

        return admits, competition.ahead_share

    def _choose_nearby(
        self,
        request: PlacementRequest,
        excluded_names: frozenset[str],
        states: StateReader,
        admits: Admission,
        ahead_share: float,
        now_unix_s: float,
    ) -> Placement | None:
        """Return a free server of this VM's own failure domain; for long shared prompts a warm one.

        Traffic between failure domains is charged and gains nothing while a nearby server is free.
        """
        work = request.work
        servers = self.table.pool_servers(work.pool)
        other_domain_names = self._other_domain_names(servers)
        if not other_domain_names or len(other_domain_names) == len(servers):
            return None
        if request.is_long_shared and not self._is_warm_nearby(request):
            return None
        nearby = choose_server(
            self.table,
            work,
            now_unix_s,
            self.rng,
            excluded_names | other_domain_names,
            admits,
            states,
            ahead_share=ahead_share,
        )
        if nearby is None or nearby.expected_wait_s > NEARBY_WAIT_TARGET_SHARE * (
            request.route.first_answer_target_s
        ):
            return None
        return nearby if request.is_warm_at(nearby) or not request.is_long_shared else None

    def _is_warm_nearby(self, request: PlacementRequest) -> bool:
        """Return whether a nearby server may have most of the shared text cached."""
        work, prefixes = request.work, self.table.prefixes
        return any(
            server.failure_domain == self.own_failure_domain
            and request.is_warm(prefixes.cached_tokens(server.name, work.prefix_hashes))
            for server in self.table.pool_servers(work.pool)
        )

    def _other_domain_names(self, servers: tuple[BackendServer, ...]) -> frozenset[str]:
        """Return the names of the servers outside this VM's own failure domain."""
        known = self._names_by_servers.get(id(servers))
        if known is not None and known[0] is servers:
            return known[1]
        names = frozenset(s.name for s in servers if s.failure_domain != self.own_failure_domain)
        if len(self._names_by_servers) >= MAX_CACHED_LISTS:
            self._names_by_servers.clear()
        self._names_by_servers[id(servers)] = (servers, names)
        return names

    def _cold_servers(self, pool: str, routing: Routing, now_unix_s: float) -> set[str]:
        """Return the cold servers that this VM's share of the rate limit excludes now."""
        spec = routing.pool_by_name.get(pool)
        rate_per_s = spec.cold_requests_per_s if spec else 0.0
        servers = self.table.pool_servers(pool)
        cold = [server for server in servers if server.cold_until_unix_s > now_unix_s]
        if not cold or not rate_per_s:
            return set()
        # A VM that has yet to join doesn't know which VMs share the rate.
        if not self.members.are_known and self._has_warm_server(pool, now_unix_s):
            return {server.name for server in cold}
        vms = [member.vm for member in self.members.live if member.region == self.own_region]
        return {
            server.name
            for server in cold
            if not self.cold.allows(server, rate_per_s, vms, now_unix_s)
        }

    def _has_warm_server(self, pool: str, now_unix_s: float) -> bool:
        usable = self.table.usable_servers(pool, now_unix_s)
        return any(server.cold_until_unix_s <= now_unix_s for server in usable)

    def record_copy(
        self, placement: Placement, work: Work, routing: Routing, now_unix_s: float
    ) -> None:
        """Count a placement's copy against the link of its source."""
        link = copy_link(routing.pool_by_name.get(work.pool))
        if link is not None and placement.copy_from:
            transfer_s = link.transfer_s(work.shared_tokens - placement.cached_tokens)
            self.copy_queues.note(placement.copy_from, transfer_s, now_unix_s)

    def record_placement(self, server: BackendServer, now_unix_s: float) -> None:
        """Count a placement against this VM's rate for a cold server."""
        if server.cold_until_unix_s > now_unix_s:
            self.cold.take(server, now_unix_s)
