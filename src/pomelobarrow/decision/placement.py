"""Decide where a relayed request goes next: a backend server here, a peer elsewhere, nowhere."""

from collections.abc import Callable, Mapping
from random import Random

from attrs import define, field

from pomelobarrow.decision.cold_start import ColdLimiter
from pomelobarrow.decision.live_members import LiveMembers
from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.local_choice import LocalChoice
from pomelobarrow.decision.placement_request import (
    ALL_SERVERS_LATE,
    LOCAL_RATE_LIMITED,
    NO_LOCAL_SERVER,
    Decision,
    ExcludedTargets,
    LocalPlacement,
    NoPlacement,
    PeerPlacement,
    PlacementRequest,
)
from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.decision.remote_choice import RemoteChoice, is_late
from pomelobarrow.decision.routing import Routing
from pomelobarrow.decision.server_limits import MIN_LIMIT_PER_S
from pomelobarrow.decision.stream_admission import StreamExpectations, is_worth_taking
from pomelobarrow.decision.work import BackendServer, Placement

# A caller that comes for the first time still has its route's whole time; one with less than this
# part of it has been turned away before.
FIRST_COME_SHARE = 0.97


@define(kw_only=True)
class Placer:
    """Hold what placing depends on."""

    own_region: str
    own_failure_domain: str
    table: LoadTable
    members: LiveMembers
    cold: ColdLimiter
    region_loads: Callable[[str], Mapping[str, RegionLoad]]
    servers: Callable[[], Mapping[str, BackendServer]]
    rng: Random = field(factory=Random)
    _local: LocalChoice = field(init=False)
    _remote: RemoteChoice = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.table.is_coordinated = True
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
            rng=self.rng,
        )

    def place(
        self,
        request: PlacementRequest,
        routing: Routing,
        excluded: ExcludedTargets,
        now_unix_s: float,
    ) -> Decision:
        """Return where a request goes next."""
        self.members.refresh(now_unix_s)
        here = self._local.choose(request, routing, excluded, now_unix_s)
        here_or_nowhere = _here_or_nowhere(request, here, now_unix_s)
        if request.is_forwarded:
            return here_or_nowhere
        is_taken_here = isinstance(here_or_nowhere, LocalPlacement)
        coordinator = self._remote.coordinator(request, here, is_taken_here, excluded, now_unix_s)
        if coordinator is not None:
            return coordinator
        if here is not None and not _may_leave(request, here):
            return LocalPlacement(placement=here)
        elsewhere = self._remote.choose(request, here, excluded, now_unix_s)
        if elsewhere is not None:
            expected_s = elsewhere.expected_first_answer_s
            return _unless_behind(request, elsewhere, expected_s, now_unix_s)
        if here is None:
            return self._nowhere(request, excluded, now_unix_s)
        return here_or_nowhere

    def _nowhere(
        self, request: PlacementRequest, excluded: ExcludedTargets, now_unix_s: float
    ) -> NoPlacement:
        """Say whether nothing but the limits of this region's servers is in the way."""
        if not request.route.may_run_in(self.own_region):
            return NoPlacement(reason=NO_LOCAL_SERVER)
        pool = request.work.pool
        next_unix_s = self.table.next_allowed_unix_s(pool, excluded.servers, now_unix_s)
        if next_unix_s is None:
            return NoPlacement(reason=NO_LOCAL_SERVER)
        # Where others send at the rate, coming back once they have sent is all there is.
        drain_per_s = max(self.table.drain_per_s(pool, now_unix_s), MIN_LIMIT_PER_S)
        wait_s = min(next_unix_s - now_unix_s, 1.0 / drain_per_s)
        return NoPlacement(reason=LOCAL_RATE_LIMITED, wait_s=wait_s, next_unix_s=next_unix_s)

    def record_placement(self, server: BackendServer, now_unix_s: float) -> None:
        """Count a placement against a cold server's allowance."""
        self._local.record_placement(server, now_unix_s)


def _here_or_nowhere(
    request: PlacementRequest, here: Placement | None, now_unix_s: float
) -> Decision:
    if here is None:
        return NoPlacement(reason=NO_LOCAL_SERVER)
    return _unless_behind(request, LocalPlacement(placement=here), here.expected_wait_s, now_unix_s)


def _unless_behind(
    request: PlacementRequest,
    decision: LocalPlacement | PeerPlacement,
    expected_s: float,
    now_unix_s: float,
) -> Decision:
    """Refuse a stream where even the best server is too far behind."""
    if not request.work.prompt_tokens:
        return decision
    if is_worth_taking(_promise(request), expected_s, now_unix_s):
        return decision
    return NoPlacement(reason=ALL_SERVERS_LATE, wait_s=expected_s)


def _may_leave(request: PlacementRequest, here: Placement) -> bool:
    """Say whether another region might be better; a short prompt that is early here stays."""
    return request.is_long or is_late(request, here)


def _promise(request: PlacementRequest) -> StreamExpectations:
    route, work = request.route, request.work
    granted_s = work.deadline_unix_s - work.accepted_unix_s
    return StreamExpectations(
        first_answer_due_unix_s=work.first_token_due_unix_s,
        silence_patience_s=route.silence_patience_s,
        is_long=request.is_long,
        is_resubmission=granted_s < FIRST_COME_SHARE * route.timeout_s,
    )
