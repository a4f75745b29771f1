"""Place a relayed request: on a backend server of this region, on a peer, or not at all."""

from collections.abc import Callable, Mapping
from random import Random

from attrs import define, evolve, field

from pomelobarrow.decision.admission.stream_admission import StreamExpectations, is_worth_taking
from pomelobarrow.decision.admission.urgent_room import is_full
from pomelobarrow.decision.members.live_members import LiveMembers
from pomelobarrow.decision.placement.local_choice import LocalChoice
from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.decision.placement.remote_choice import RemoteChoice, is_late
from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.decision.requests.placement_request import (
    ALL_SERVERS_LATE,
    LOCAL_RATE_LIMITED,
    LONG_PROMPT_TOKENS,
    NO_LOCAL_SERVER,
    NO_ROOM,
    POOL_UNREACHABLE,
    SOFTWARE_GONE,
    ExcludedTargets,
    LocalPlacement,
    NoPlacement,
    PeerPlacement,
    PlacementDecision,
    PlacementRequest,
)
from pomelobarrow.decision.requests.work import BackendServer, Placement, Work
from pomelobarrow.decision.servers.cold_start import ColdLimiter
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.servers.reachability import PeerReachability
from pomelobarrow.decision.servers.server_limits import MIN_LIMIT_PER_S
from pomelobarrow.decision.streams.stream_software import exclude_other_software


@define(kw_only=True)
class Placer:
    """Places requests by the load of local servers, of coordinating peers and of other regions."""

    own_region: str
    own_failure_domain: str
    table: LoadTable
    members: LiveMembers
    cold: ColdLimiter
    region_loads: Callable[[str], Mapping[str, RegionLoad]]
    servers: Callable[[], Mapping[str, BackendServer]]
    peer_reachability: PeerReachability = field(factory=PeerReachability)
    rng: Random = field(factory=Random)
    _local: LocalChoice = field(init=False)
    _remote: RemoteChoice = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.table.is_prefill_coordinated = True
        self._local = LocalChoice(
            own_region=self.own_region,
            own_failure_domain=self.own_failure_domain,
            table=self.table,
            members=self.members,
            cold=self.cold,
            rng=self.rng,
        )
        self._remote = RemoteChoice(
            own_region=self.own_region,
            table=self.table,
            members=self.members,
            region_loads=self.region_loads,
            servers=self.servers,
            peer_reachability=self.peer_reachability,
            rng=self.rng,
        )

    def place(
        self,
        request: PlacementRequest,
        routing: Routing,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PlacementDecision:
        """Return the server or peer to send the request to, or why there is none."""
        self.members.refresh(now_unix_s)
        allowed = self._exclude_other_software(request, excluded)
        if allowed is None:
            return NoPlacement(reason=SOFTWARE_GONE)
        return self._place(request, routing, allowed, now_unix_s)

    def _exclude_other_software(
        self, request: PlacementRequest, excluded: ExcludedTargets
    ) -> ExcludedTargets | None:
        if request.software_key is None:
            return excluded
        listed = [s for s in self.servers().values() if s.pool == request.work.pool]
        return exclude_other_software(request.software_key, listed, excluded)

    def _place(
        self,
        request: PlacementRequest,
        routing: Routing,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PlacementDecision:
        if self.table.reachability.is_reachable(request.work.pool):
            return self._place_by_load(request, routing, excluded, now_unix_s)
        if not request.is_forwarded:
            return self._place_through_peer(request, routing, excluded, now_unix_s)
        # The VM that forwarded the request loses no time and asks another one.
        if self._remote.has_peer_in_own_region(request, excluded, now_unix_s):
            return NoPlacement(reason=POOL_UNREACHABLE)
        return self._place_on_untried_server(request, routing, excluded, now_unix_s)

    def _place_through_peer(
        self,
        request: PlacementRequest,
        routing: Routing,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PlacementDecision:
        """Place a request whose servers this VM can't reach, but VMs of its region may."""
        failed = self.table.reachability.failed_servers(request.work.pool)
        excluded_for_peers = evolve(excluded, servers=excluded.servers - failed)
        decision = self._place_by_load(request, routing, excluded_for_peers, now_unix_s)
        if not isinstance(decision, LocalPlacement):
            return decision
        local = decision.placement
        peer = self._remote.peer_in_own_region(request, local, excluded, now_unix_s)
        if peer is not None:
            return peer
        remote = self._remote.choose(request, None, excluded, now_unix_s)
        if remote is None:
            return self._place_on_untried_server(request, routing, excluded, now_unix_s)
        return self._unless_too_late(request, remote, remote.expected_first_answer_s, now_unix_s)

    def _place_on_untried_server(
        self,
        request: PlacementRequest,
        routing: Routing,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PlacementDecision:
        """Place a request on a server that has not failed: in a large pool a few stand for all."""
        failed = self.table.reachability.failed_servers(request.work.pool)
        without_failed = evolve(excluded, servers=excluded.servers | failed)
        local = self._local.choose(request, routing, without_failed, now_unix_s)
        if local is None:
            return NoPlacement(reason=POOL_UNREACHABLE)
        return self._local_placement(request, local, now_unix_s)

    def _place_by_load(
        self,
        request: PlacementRequest,
        routing: Routing,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> PlacementDecision:
        local = self._local.choose(request, routing, excluded, now_unix_s)
        is_brittle = self.table.limits.brittle.is_brittle(request.work.pool, now_unix_s)
        if is_brittle and local is None:
            return self._place_without_free_place(request, excluded, now_unix_s)
        local_decision = local and self._local_placement(request, local, now_unix_s)
        if request.is_forwarded:
            return local_decision or self._without_server(request.work.pool, now_unix_s)
        is_accepted_locally = isinstance(local_decision, LocalPlacement)
        # The coordinator of a brittle server may have no place there.
        if not is_brittle and (
            coordinator := self._remote.coordinator(
                request, local, is_accepted_locally, excluded, now_unix_s
            )
        ):
            return coordinator
        if local is not None and not _may_use_other_region(request, local):
            return LocalPlacement(placement=local)
        remote = self._remote.choose(request, local, excluded, now_unix_s)
        if remote is not None:
            expected_s = remote.expected_first_answer_s
            return self._unless_too_late(request, remote, expected_s, now_unix_s)
        return local_decision or self._no_placement(request, excluded, now_unix_s)

    def _local_placement(
        self, request: PlacementRequest, local: Placement, now_unix_s: float
    ) -> PlacementDecision:
        decision = LocalPlacement(placement=local)
        return self._unless_too_late(request, decision, local.expected_wait_s, now_unix_s)

    def _unless_too_late(
        self,
        request: PlacementRequest,
        decision: LocalPlacement | PeerPlacement,
        expected_s: float,
        now_unix_s: float,
    ) -> PlacementDecision:
        """Refuse a stream for which even the best server would answer too late."""
        if not request.work.prompt_tokens:
            return decision
        # The bound of short prompts doesn't depend on what they overtake.
        overtakes_others = (
            request.is_long and self._local.competition(request, now_unix_s).overtakes_others
        )
        expectations = _expectations(request, overtakes_others)
        if is_worth_taking(expectations, expected_s, now_unix_s):
            return decision
        return NoPlacement(reason=ALL_SERVERS_LATE, wait_s=expected_s)

    def is_full(self, pool: str, now_unix_s: float) -> bool:
        """Return whether no server of this region has a free slot."""
        servers = self.table.usable_servers(pool, now_unix_s)
        return bool(servers) and is_full(servers, self.table.state_reader(pool, now_unix_s))

    def _place_without_free_place(
        self, request: PlacementRequest, excluded: ExcludedTargets, now_unix_s: float
    ) -> PlacementDecision:
        """Place a request while all places of this VM at brittle servers are in use."""
        if request.is_forwarded:
            return self._no_placement(request, excluded, now_unix_s)
        peer = self._remote.peer_with_places(request, excluded, now_unix_s)
        remote = peer or self._remote.choose(request, None, excluded, now_unix_s)
        return remote or self._no_placement(request, excluded, now_unix_s)

    def _no_placement(
        self, request: PlacementRequest, excluded: ExcludedTargets, now_unix_s: float
    ) -> NoPlacement:
        """Return why: this region has no usable server, or its servers' rate limits are used up."""
        if not request.route.may_run_in(self.own_region):
            return NoPlacement(reason=NO_LOCAL_SERVER)
        pool = request.work.pool
        next_unix_s = self.table.next_allowed_unix_s(pool, excluded.servers, now_unix_s)
        if next_unix_s is None:
            return self._without_server(pool, now_unix_s)
        # Other VMs may use up the rate limit. The caller then retries once they have sent, after
        # the time in which the pool finishes one request.
        drain_per_s = max(self.table.drain_per_s(pool, now_unix_s), MIN_LIMIT_PER_S)
        wait_s = min(next_unix_s - now_unix_s, 1.0 / drain_per_s)
        return NoPlacement(reason=LOCAL_RATE_LIMITED, wait_s=wait_s, next_unix_s=next_unix_s)

    def _without_server(self, pool: str, now_unix_s: float) -> NoPlacement:
        is_full = self.is_full(pool, now_unix_s)
        return NoPlacement(reason=NO_ROOM if is_full else NO_LOCAL_SERVER)

    def record_placement(self, server: BackendServer, now_unix_s: float) -> None:
        """Count a placement against this VM's rate for a cold server."""
        self._local.record_placement(server, now_unix_s)

    def record_copy(
        self, placement: Placement, work: Work, routing: Routing, now_unix_s: float
    ) -> None:
        """Count the copy of a prompt's shared part against the link of its source."""
        self._local.record_copy(placement, work, routing, now_unix_s)

    def record_first_answer(self, work: Work, server: BackendServer, now_unix_s: float) -> None:
        """Record that a server has computed a prompt, and may be copied from."""
        if work.shared_tokens >= LONG_PROMPT_TOKENS:
            self._local.kept.note(work, server, now_unix_s)


def _may_use_other_region(request: PlacementRequest, local: Placement) -> bool:
    """Return whether to compare other regions; a short prompt that is on time stays local."""
    return request.is_long or is_late(request, local)


def _expectations(request: PlacementRequest, overtakes_others: bool) -> StreamExpectations:
    route, work = request.route, request.work
    return StreamExpectations(
        first_answer_due_unix_s=work.first_token_due_unix_s,
        silence_patience_s=route.silence_patience_s,
        is_long=request.is_long,
        overtakes_others=overtakes_others,
        is_resubmission=request.has_returned,
    )
