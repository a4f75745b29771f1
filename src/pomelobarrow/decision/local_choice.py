"""Choose a backend server of this region for a request.

Load pattern: many VMs place requests at the same servers, half of which stand in another failure
domain. Bytes between the domains are paid for, so that a near server goes first while it is free;
cold servers get no more than they bear from all VMs together.
"""

from random import Random

from attrs import define, field

from pomelobarrow.decision.cold_start import ColdLimiter
from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.live_members import LiveMembers
from pomelobarrow.decision.load_table import LoadTable, ServerState
from pomelobarrow.decision.placement_request import ExcludedTargets, PlacementRequest
from pomelobarrow.decision.routing import Routing
from pomelobarrow.decision.server_choice import StateReader, choose_server, state_reader
from pomelobarrow.decision.work import BackendServer, Placement

# Servers queue some requests themselves. Past this many in flight for each slot they refuse, or the
# wait would exceed any target.
MAX_IN_FLIGHT_PER_SLOT = 4.0
# A near server is taken while it is expected to begin within this part of the target.
NEAR_AT_TARGET_SHARE = 0.1


@define(kw_only=True)
class LocalChoice:
    """Hold what the choice depends on."""

    own_region: str
    own_failure_domain: str
    table: LoadTable
    members: LiveMembers
    cold: ColdLimiter
    rng: Random = field(factory=Random)

    def choose(
        self,
        request: PlacementRequest,
        routing: Routing,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> Placement | None:
        """Return the server that answers first, a near one where that is as good."""
        if not request.route.may_run_in(self.own_region):
            return None
        cold = self._cold_servers(request.work.pool, routing, now_unix_s)
        barred = frozenset(excluded.servers | cold)
        states = state_reader(self.table, request.work.pool, now_unix_s)
        near = self._choose_near(request, barred, states, now_unix_s)
        if near is not None:
            return near
        return choose_server(
            self.table, request.work, now_unix_s, self.rng, barred, _admits, states
        )

    def _choose_near(
        self,
        request: PlacementRequest,
        barred: frozenset[str],
        states: StateReader,
        now_unix_s: float,
    ) -> Placement | None:
        """Return a server of this VM's own failure domain that is as good as any, if there is one.

        Bytes between failure domains cost, and gain nothing where a near server is free.
        """
        work = request.work
        servers = self.table.pool_servers(work.pool)
        far = {s.name for s in servers if s.failure_domain != self.own_failure_domain}
        if not far or len(far) == len(servers):
            return None
        near = choose_server(self.table, work, now_unix_s, self.rng, barred | far, _admits, states)
        if near is None or near.expected_wait_s > NEAR_AT_TARGET_SHARE * (
            request.route.first_answer_target_s
        ):
            return None
        return near if request.is_warm_at(near) or not request.is_long_shared else None

    def _cold_servers(self, pool: str, routing: Routing, now_unix_s: float) -> set[str]:
        """Return the cold servers that this VM may not send to now."""
        spec = routing.pool_by_name.get(pool)
        rate_per_s = spec.cold_requests_per_s if spec else 0.0
        servers = self.table.pool_servers(pool)
        cold = [server for server in servers if server.cold_until_unix_s > now_unix_s]
        if not cold or not rate_per_s:
            return set()
        vms = [member.vm for member in self.members.live if member.region == self.own_region]
        return {
            server.name
            for server in cold
            if not self.cold.allows(server, rate_per_s, vms, now_unix_s)
        }

    def record_placement(self, server: BackendServer, now_unix_s: float) -> None:
        """Count a placement against a cold server's allowance."""
        if server.cold_until_unix_s > now_unix_s:
            self.cold.take(server, now_unix_s)


def _admits(state: ServerState, rank: Rank) -> bool:
    return state.requests < MAX_IN_FLIGHT_PER_SLOT * state.server.slots
