"""What placing knows of a request, and the places that it has been to."""

from attrs import define, field, frozen

from pomelobarrow.decision.member import Member
from pomelobarrow.decision.routing import Route
from pomelobarrow.decision.work import Placement, Work

# Longer prompts go where the same group went before, so that one cache holds them.
LONG_PROMPT_TOKENS = 2_000
# Less than this part of a shared prompt in a cache here counts as not there.
WARM_SHARE = 0.5
WARM_ELSEWHERE = "another region keeps this prompt warm"
COORDINATED_BY_PEER = "another VM coordinates this prompt's server"
LOCAL_REGION_FASTEST = "this region answers first"
BOUND_TO_OTHER_REGIONS = "the route is bound to other regions"
LOCAL_REGION_LATE = "this region would be late"
ALL_SERVERS_LATE = "every server is too far behind"
LOCAL_RATE_LIMITED = "this region's servers take no more requests a second"
NO_LOCAL_SERVER = "this region has no server for it"


@frozen(kw_only=True)
class PlacementRequest:
    """Hold a request as placing sees it; `group` names those that share its prompt's text."""

    route: Route
    work: Work
    group: str = ""
    # It was passed on by a peer: it runs here or is refused.
    is_forwarded: bool = False

    @property
    def is_long(self) -> bool:
        """Say whether its prompt delays what comes after it."""
        return self.work.prompt_tokens >= LONG_PROMPT_TOKENS

    @property
    def is_long_shared(self) -> bool:
        """Say whether it is worth going where its shared text is kept."""
        return self.work.shared_tokens >= LONG_PROMPT_TOKENS

    def is_warm_at(self, placement: Placement) -> bool:
        """Say whether a server holds most of its shared text."""
        return placement.cached_tokens >= WARM_SHARE * self.work.shared_tokens


@frozen(kw_only=True)
class LocalPlacement:
    """Name a backend server of this region."""

    placement: Placement
    reason: str = LOCAL_REGION_FASTEST


@frozen(kw_only=True)
class PeerPlacement:
    """Name a peer: in another region, or the one that coordinates a server."""

    member: Member
    reason: str
    expected_first_answer_s: float
    # The server that it coordinates, where it is asked for that.
    server: str = ""


@frozen(kw_only=True)
class NoPlacement:
    """Say why a request can't be sent anywhere."""

    reason: str
    wait_s: float = 0.0
    # When a server of this region may be sent to next, where only its own limit is in the way.
    next_unix_s: float | None = None


Decision = LocalPlacement | PeerPlacement | NoPlacement


@define(kw_only=True)
class ExcludedTargets:
    """Hold whom a request has been to, or could not reach."""

    servers: set[str] = field(factory=set)
    peers: set[str] = field(factory=set)
    regions: set[str] = field(factory=set)

    def names(self) -> list[str]:
        """Return all of them, for logs."""
        return sorted(self.servers | self.peers | self.regions)
