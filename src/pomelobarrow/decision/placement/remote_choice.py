"""Choose a peer for a request: the coordinator of a server of its group, or a better region's VM.

Load pattern: one region's peak fills its servers while another region's are nearly idle, and load
updates of other regions are a second old. Long prompts with shared text go to the server that has
it cached. Others go to the region that is expected to answer first, network round trips and prefill
included.
"""

import math
from collections.abc import Callable, Collection, Mapping, Sequence
from random import Random

from attrs import define, field

from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.members.live_members import LiveMembers
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.placement.coordinators import Coordinators
from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.decision.placement.region_cost import PrefillEstimate, RegionCost, region_cost
from pomelobarrow.decision.placement.server_choice import pause_target
from pomelobarrow.decision.prompts.group_owners import GroupOwners, SentGroups
from pomelobarrow.decision.requests.placement_request import (
    BOUND_TO_OTHER_REGIONS,
    COORDINATED_BY_PEER,
    LOCAL_REGION_LATE,
    NO_LOCAL_SERVER,
    PLACE_AT_PEER,
    REACHED_BY_PEER,
    WARM_ELSEWHERE,
    ExcludedTargets,
    PeerPlacement,
    PlacementRequest,
)
from pomelobarrow.decision.requests.work import BackendServer, Placement
from pomelobarrow.decision.servers.brittle_servers import places_by_vm
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.servers.reachability import PeerReachability

# The local region counts as late while its servers need longer than this share of the target. Below
# it, the round trip and the uncached prompt in another region cost more than the local wait.
LOCAL_WAIT_TARGET_SHARE = 0.35
# Regions whose costs differ by less count as equal. Load updates are a second old, and otherwise
# all VMs would send to the region that looked best at that time.
EQUAL_COST_MARGIN_S = 0.3
# While the local region isn't late, another must cost less by this much: its load update is a
# second old, and traffic between regions is charged.
MIN_REMOTE_SAVING_S = 0.15


@define(kw_only=True)
class RemoteChoice:
    """Chooses a peer by the servers that own prompt groups and by the load of other regions."""

    own_region: str
    table: LoadTable
    members: LiveMembers
    region_loads: Callable[[str], Mapping[str, RegionLoad]]
    servers: Callable[[], Mapping[str, BackendServer]]
    peer_reachability: PeerReachability = field(factory=PeerReachability)
    owners: GroupOwners = field(factory=GroupOwners)
    sent_groups: SentGroups = field(factory=SentGroups)
    coordinators: Coordinators = field(factory=Coordinators)
    rng: Random = field(factory=Random)

    def coordinator(
        self,
        request: PlacementRequest,
        local: Placement | None,
        is_local_in_time: bool,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PeerPlacement | None:
        """Return the VM that coordinates a server of a long shared prompt, unless it is this one.

        A coordinator that can't start the prompt in time refuses it at once. The coordinator of the
        group's second server is tried next; after that the prompt is placed like any other.
        """
        if not request.is_long_shared:
            return None
        if local is not None and request.is_warm_at(local):
            return None
        for server in self._owners(request):
            if server.name in excluded.servers or server.region in excluded.regions:
                continue
            members = self._members_in(server.region, request, excluded, now_unix_s)
            member = self.coordinators.of(server, members)
            if member is not None and member.vm == self.members.view.own_vm:
                if is_local_in_time:
                    return None
            elif member is not None:
                expected_s = self._expected_first_answer_s(request, server.region, now_unix_s)
                reason = COORDINATED_BY_PEER if server.region == self.own_region else WARM_ELSEWHERE
                if expected_s < request.route.first_answer_target_s:
                    return PeerPlacement(
                        member=member,
                        reason=reason,
                        expected_first_answer_s=expected_s,
                        server=server.name,
                    )
        return None

    def _expected_first_answer_s(
        self, request: PlacementRequest, region: str, now_unix_s: float
    ) -> float:
        """Return the expected time to the first answer in a region that has the prompt cached."""
        work = request.work
        prefill = self._prefill_estimate(request, work.prompt_tokens - work.shared_tokens)
        if region == self.own_region:
            return prefill.prefill_s
        load = self.region_loads(work.pool).get(region)
        if load is not None and not load.servers:
            return math.inf
        return region_cost(load, prefill, now_unix_s).first_answer_s

    def _owners(self, request: PlacementRequest) -> tuple[BackendServer, ...]:
        return self.owners.owners(
            request.group,
            request.work.pool,
            request.route,
            self.servers(),
            self.table.closed_domains,
        )

    def _warm_regions(self, request: PlacementRequest, now_unix_s: float) -> dict[str, str]:
        """Return the regions that have a long shared prompt cached, with the server's domain."""
        if not request.is_long_shared:
            return {}
        sent_to = self.sent_groups.regions(request.group, now_unix_s)
        warm = dict.fromkeys(sent_to, "")
        for owner in self._owners(request)[:1]:
            warm[owner.region] = owner.failure_domain
        return warm

    def _prefill_estimate(self, request: PlacementRequest, tokens: int) -> PrefillEstimate:
        s_per_token = self.table.service_times(request.work.pool).s_per_prefill_token
        return PrefillEstimate(prefill_s=tokens * s_per_token, target=pause_target(request.work))

    def choose(
        self,
        request: PlacementRequest,
        local: Placement | None,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PeerPlacement | None:
        """Return a peer in another region that costs less, or None if there is none."""
        warm = self._warm_regions(request, now_unix_s)
        costs = self._remote_costs(request, excluded, warm, now_unix_s)
        if local is not None:
            bound_s = local.cost_s - (0.0 if is_late(request, local) else MIN_REMOTE_SAVING_S)
            costs = {r: cost for r, cost in costs.items() if cost.cost_s < bound_s}
        if not costs:
            return None
        region = self._choose_region(request, costs)
        members = self._members_in(region, request, excluded, now_unix_s)
        member = self._choose_member(request, members, now_unix_s, warm.get(region, ""))
        if member is None:
            return None
        if request.is_long_shared:
            self.sent_groups.note(request.group, region, now_unix_s)
        return PeerPlacement(
            member=member,
            reason=self._remote_reason(request, local, region in warm),
            expected_first_answer_s=costs[region].first_answer_s,
        )

    def peer_in_own_region(
        self,
        request: PlacementRequest,
        local: Placement,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PeerPlacement | None:
        """Return a VM that sends the request to this region's servers in place of this one."""
        if self.own_region in excluded.regions:
            return None
        members = self._members_in(self.own_region, request, excluded, now_unix_s)
        domain = local.server.failure_domain
        member = self._choose_member(request, members, now_unix_s, domain)
        if member is None:
            return None
        return PeerPlacement(
            member=member, reason=REACHED_BY_PEER, expected_first_answer_s=local.expected_wait_s
        )

    def peer_with_places(
        self, request: PlacementRequest, excluded: ExcludedTargets, now_unix_s: float
    ) -> PeerPlacement | None:
        """Return a VM of this region that may send to a brittle server, if this one may not now."""
        if self.own_region in excluded.regions or not request.route.may_run_in(self.own_region):
            return None
        members = [
            member
            for member in self._members_in(self.own_region, request, excluded, now_unix_s)
            if member.vm != self.members.view.own_vm
        ]
        weights = self._places_of(members, request.work.pool)
        if not any(weights):
            return None
        member = self.rng.choices(members, weights)[0]
        return PeerPlacement(member=member, reason=PLACE_AT_PEER, expected_first_answer_s=0.0)

    def has_peer_in_own_region(
        self, request: PlacementRequest, excluded: ExcludedTargets, now_unix_s: float
    ) -> bool:
        """Return whether another VM of this region may reach the request's pool."""
        return bool(self._members_in(self.own_region, request, excluded, now_unix_s))

    def _members_in(
        self,
        region: str,
        request: PlacementRequest,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> list[Member]:
        """Return the VMs of a region that may take the request to a server."""
        left_out = self._left_out(request, excluded, now_unix_s)
        return [m for m in self.members.usable_in(region) if m.vm not in left_out]

    def _left_out(
        self, request: PlacementRequest, excluded: ExcludedTargets, now_unix_s: float
    ) -> Collection[str]:
        """Return the VMs that were tried before or reach no server of the request's pool."""
        pool = request.work.pool
        left_out = excluded.peers | self.peer_reachability.unreachable_vms(pool, now_unix_s)
        if not self.table.reachability.is_reachable(pool):
            left_out.add(self.members.view.own_vm)
        return left_out

    def _remote_reason(
        self, request: PlacementRequest, local: Placement | None, is_warm: bool
    ) -> str:
        if not request.route.may_run_in(self.own_region):
            return BOUND_TO_OTHER_REGIONS
        if is_warm:
            return WARM_ELSEWHERE
        return NO_LOCAL_SERVER if local is None else LOCAL_REGION_LATE

    def _remote_costs(
        self,
        request: PlacementRequest,
        excluded: ExcludedTargets,
        warm: Mapping[str, str],
        now_unix_s: float,
    ) -> dict[str, RegionCost]:
        """Return the request's cost in each other region that may serve it."""
        work = request.work
        loads = self.region_loads(work.pool)
        left_out = self._left_out(request, excluded, now_unix_s)
        regions = {member.region for member in self.members.usable if member.vm not in left_out}
        regions -= {self.own_region, *excluded.regions}
        cold = self._prefill_estimate(request, work.prompt_tokens)
        cached = self._prefill_estimate(request, work.prompt_tokens - work.shared_tokens)
        found: dict[str, RegionCost] = {}
        for region in sorted(regions):
            load = loads.get(region)
            if request.route.may_run_in(region) and (load is None or load.servers):
                prefill = cached if region in warm else cold
                found[region] = region_cost(load, prefill, now_unix_s)
        return found

    def _choose_region(self, request: PlacementRequest, costs: Mapping[str, RegionCost]) -> str:
        """Return a random region, weighted by its slack; long prompts of a group share one."""
        target_s = request.route.first_answer_target_s
        least_s = min(cost.cost_s for cost in costs.values())
        in_time = {
            region: target_s - cost.first_answer_s
            for region, cost in costs.items()
            if cost.first_answer_s < target_s and cost.cost_s <= least_s + EQUAL_COST_MARGIN_S
        }
        if not in_time:
            return min(costs, key=lambda region: costs[region].first_answer_s)
        if request.is_long and request.group:
            return rendezvous(request.group, list(in_time), 1)[0]
        return self.rng.choices(list(in_time), list(in_time.values()))[0]

    def _choose_member(
        self,
        request: PlacementRequest,
        members: list[Member],
        now_unix_s: float,
        failure_domain: str = "",
    ) -> Member | None:
        """Return a random VM, in the server's failure domain if that is known."""
        pool = request.work.pool
        if self.table.limits.brittle.is_brittle(pool, now_unix_s):
            weights = self._places_of(members, pool)
            if any(weights):
                return self.rng.choices(members, weights)[0]
        same_domain = [member for member in members if member.failure_domain == failure_domain]
        return self.rng.choice(same_domain or members) if members else None

    def _places_of(self, members: Sequence[Member], pool: str) -> list[int]:
        """Return how many requests each VM of a region may have at the brittle servers there."""
        if not members:
            return []
        region = members[0].region
        servers = [s for s in self.servers().values() if (s.pool, s.region) == (pool, region)]
        vms = (member.vm for member in self.members.live if member.region == region)
        places = places_by_vm(servers, vms)
        return [places[member.vm] for member in members]


def is_late(request: PlacementRequest, local: Placement) -> bool:
    """Return whether the local wait is long enough that other regions are compared."""
    bound_s = LOCAL_WAIT_TARGET_SHARE * request.route.first_answer_target_s
    return local.expected_wait_s + local.pause_cost_s > bound_s
