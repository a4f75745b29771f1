"""Choose a peer for a request: who coordinates a server of its group, or one of a better region.

Load pattern: one region's peak fills its servers while another's stand nearly idle, and news of
either is a second old. Long prompts whose text many share go to who keeps it, others to a region
that is expected to answer sooner, trip and reading included.
"""

import math
from collections.abc import Callable, Mapping
from random import Random

from attrs import define, field

from pomelobarrow.decision.coordinators import coordinator_of
from pomelobarrow.decision.group_owners import GroupOwners, SentGroups
from pomelobarrow.decision.live_members import LiveMembers
from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.member import Member
from pomelobarrow.decision.placement_request import (
    BOUND_TO_OTHER_REGIONS,
    COORDINATED_BY_PEER,
    LOCAL_REGION_LATE,
    NO_LOCAL_SERVER,
    WARM_ELSEWHERE,
    ExcludedTargets,
    PeerPlacement,
    PlacementRequest,
)
from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.decision.region_cost import Reading, RegionCost, region_cost
from pomelobarrow.decision.rendezvous import rendezvous
from pomelobarrow.decision.server_choice import pause_target
from pomelobarrow.decision.work import BackendServer, Placement

# A region is left while its servers need longer than this part of the target; below it, the trip
# and the cold prompt elsewhere cost more than the wait here.
LEAVE_AT_TARGET_SHARE = 0.35
# Regions whose costs differ by less are taken as equal: news of them is a second old, and all VMs
# would send to the one that looked best then.
ALIKE_AT_S = 0.3
# A region that isn't late is left only for one that costs less by this much: what is known of that
# is a second old, and bytes between regions are paid for.
LEAVE_MARGIN_S = 0.15


@define(kw_only=True)
class RemoteChoice:
    """Hold what the choice depends on."""

    own_region: str
    table: LoadTable
    members: LiveMembers
    region_loads: Callable[[str], Mapping[str, RegionLoad]]
    servers: Callable[[], Mapping[str, BackendServer]]
    owners: GroupOwners = field(factory=GroupOwners)
    sent_groups: SentGroups = field(factory=SentGroups)
    rng: Random = field(factory=Random)

    def coordinator(
        self,
        request: PlacementRequest,
        here: Placement | None,
        is_here_early: bool,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PeerPlacement | None:
        """Return the VM that coordinates a server of a long shared prompt, unless it is this one.

        A coordinator that can't begin the prompt in time turns it back at once. Then the group's
        second server is asked for, and after that the prompt goes like any other.
        """
        if not request.is_long_shared:
            return None
        if here is not None and request.is_warm_at(here):
            return None
        for server in self._owners(request):
            if server.name in excluded.servers or server.region in excluded.regions:
                continue
            members = self.members.usable_in(server.region)
            member = coordinator_of(server, (m for m in members if m.vm not in excluded.peers))
            if member is not None and member.vm == self.members.view.own_vm:
                if is_here_early:
                    return None
            elif member is not None:
                expected_s = self._expected_there(request, server.region, now_unix_s)
                reason = COORDINATED_BY_PEER if server.region == self.own_region else WARM_ELSEWHERE
                if expected_s < request.route.first_answer_target_s:
                    return PeerPlacement(
                        member=member,
                        reason=reason,
                        expected_first_answer_s=expected_s,
                        server=server.name,
                    )
        return None

    def _expected_there(self, request: PlacementRequest, region: str, now_unix_s: float) -> float:
        """Return when a prompt that is warm there is answered, as far as this VM can know."""
        work = request.work
        reading = self._reading(request, work.prompt_tokens - work.shared_tokens)
        if region == self.own_region:
            return reading.prompt_s
        load = self.region_loads(work.pool).get(region)
        if load is not None and not load.servers:
            return math.inf
        return region_cost(load, reading, now_unix_s).first_answer_s

    def _owners(self, request: PlacementRequest) -> tuple[BackendServer, ...]:
        return self.owners.owners(
            request.group,
            request.work.pool,
            request.route,
            self.servers(),
            self.table.closed_domains,
        )

    def _warm_regions(self, request: PlacementRequest, now_unix_s: float) -> dict[str, str]:
        """Return the regions that keep a long shared prompt warm, each with a failure domain."""
        if not request.is_long_shared:
            return {}
        sent_to = self.sent_groups.regions(request.group, now_unix_s)
        warm = dict.fromkeys(sent_to, "")
        for owner in self._owners(request)[:1]:
            warm[owner.region] = owner.failure_domain
        return warm

    def _reading(self, request: PlacementRequest, tokens: int) -> Reading:
        s_per_token = self.table.service_times(request.work.pool).s_per_prefill_token
        return Reading(prompt_s=tokens * s_per_token, target=pause_target(request.work))

    def choose(
        self,
        request: PlacementRequest,
        here: Placement | None,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PeerPlacement | None:
        warm = self._warm_regions(request, now_unix_s)
        costs = self._costs_elsewhere(request, excluded, warm, now_unix_s)
        if here is not None:
            bound_s = here.cost_s - (0.0 if is_late(request, here) else LEAVE_MARGIN_S)
            costs = {r: cost for r, cost in costs.items() if cost.cost_s < bound_s}
        if not costs:
            return None
        region = self._choose_region(request, costs)
        member = self._choose_member(region, excluded, warm.get(region, ""))
        if member is None:
            return None
        if request.is_long_shared:
            self.sent_groups.note(request.group, region, now_unix_s)
        return PeerPlacement(
            member=member,
            reason=self._reason_to_leave(request, here, region in warm),
            expected_first_answer_s=costs[region].first_answer_s,
        )

    def _reason_to_leave(
        self, request: PlacementRequest, here: Placement | None, is_warm_there: bool
    ) -> str:
        if not request.route.may_run_in(self.own_region):
            return BOUND_TO_OTHER_REGIONS
        if is_warm_there:
            return WARM_ELSEWHERE
        return NO_LOCAL_SERVER if here is None else LOCAL_REGION_LATE

    def _costs_elsewhere(
        self,
        request: PlacementRequest,
        excluded: ExcludedTargets,
        warm: Mapping[str, str],
        now_unix_s: float,
    ) -> dict[str, RegionCost]:
        """Return what the request costs in each other region that may serve it."""
        work = request.work
        loads = self.region_loads(work.pool)
        members = (m for m in self.members.usable if m.vm not in excluded.peers)
        regions = {member.region for member in members}
        regions -= {self.own_region, *excluded.regions}
        cold = self._reading(request, work.prompt_tokens)
        cached = self._reading(request, work.prompt_tokens - work.shared_tokens)
        found: dict[str, RegionCost] = {}
        for region in sorted(regions):
            load = loads.get(region)
            if request.route.may_run_in(region) and (load is None or load.servers):
                reading = cached if region in warm else cold
                found[region] = region_cost(load, reading, now_unix_s)
        return found

    def _choose_region(self, request: PlacementRequest, costs: Mapping[str, RegionCost]) -> str:
        """Spread over the regions by how early each is; long prompts keep to one."""
        target_s = request.route.first_answer_target_s
        least_s = min(cost.cost_s for cost in costs.values())
        in_time = {
            region: target_s - cost.first_answer_s
            for region, cost in costs.items()
            if cost.first_answer_s < target_s and cost.cost_s <= least_s + ALIKE_AT_S
        }
        if not in_time:
            return min(costs, key=lambda region: costs[region].first_answer_s)
        if request.is_long and request.group:
            return rendezvous(request.group, list(in_time), 1)[0]
        return self.rng.choices(list(in_time), list(in_time.values()))[0]

    def _choose_member(
        self, region: str, excluded: ExcludedTargets, failure_domain: str = ""
    ) -> Member | None:
        """Return a peer of a region, one beside the server where that is known."""
        members = [m for m in self.members.usable_in(region) if m.vm not in excluded.peers]
        beside = [member for member in members if member.failure_domain == failure_domain]
        return self.rng.choice(beside or members) if members else None


def is_late(request: PlacementRequest, here: Placement) -> bool:
    """Say whether this region needs too long for a request to be kept without a look around."""
    bound_s = LEAVE_AT_TARGET_SHARE * request.route.first_answer_target_s
    return here.expected_wait_s + here.pause_cost_s > bound_s
