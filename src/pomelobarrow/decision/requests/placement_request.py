"""The input of a placement decision, its possible results, and the targets already tried."""

from attrs import define, field, frozen

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.published.routing import Route
from pomelobarrow.decision.requests.work import Placement, Work

# Prompts of at least this length are sent to where their group was sent before, so that one cache
# holds them.
LONG_PROMPT_TOKENS = 2_000
# On the first attempt a caller grants the route's whole time limit. One that grants less than this
# share of it has been refused before and is retrying.
FIRST_ATTEMPT_TIME_SHARE = 0.97
# Time that forwarding takes off what the caller granted: two round trips to the farthest region.
MAX_HOP_S = 0.3
# A server is warm for a shared prompt if it has cached at least this share of it.
WARM_SHARE = 0.5
WARM_ELSEWHERE = "another region keeps this prompt warm"
COORDINATED_BY_PEER = "another VM coordinates this prompt's server"
LOCAL_REGION_FASTEST = "this region answers first"
BOUND_TO_OTHER_REGIONS = "the route is bound to other regions"
LOCAL_REGION_LATE = "this region would be late"
ALL_SERVERS_LATE = "every server is too far behind"
LOCAL_RATE_LIMITED = (
    "this region's servers take no more requests now, by limits or pauses of their own"
)
POOL_UNREACHABLE = "this VM reaches no server of the pool"
REACHED_BY_PEER = "another VM of this region reaches the pool's servers"
PLACE_AT_PEER = "another VM of this region may send to the pool's brittle servers"
NO_LOCAL_SERVER = "this region has no server for it"
NO_ROOM = "every server has as many requests as it may get of this urgency"
SOFTWARE_GONE = "no server in service runs the software version that began the stream"


@frozen(kw_only=True)
class PlacementRequest:
    """A request to place; `group` identifies the requests that share the text of its prompt."""

    route: Route
    work: Work
    group: str = ""
    # The software that began the stream, as a key; None for a request whose client has no event.
    software_key: int | None = None
    # Forwarded by a peer: it runs in this region or is refused, and isn't forwarded again.
    is_forwarded: bool = False

    @property
    def is_long(self) -> bool:
        """Return whether the prompt is long enough to delay the requests after it."""
        return self.work.prompt_tokens >= LONG_PROMPT_TOKENS

    @property
    def is_long_shared(self) -> bool:
        """Return whether the shared text is long enough to send the request where it is cached."""
        return self.work.shared_tokens >= LONG_PROMPT_TOKENS

    @property
    def has_returned(self) -> bool:
        """Return whether the caller has come back from a rejection."""
        granted_s = self.work.deadline_unix_s - self.work.accepted_unix_s
        hop_s = MAX_HOP_S if self.is_forwarded else 0.0
        return granted_s + hop_s < FIRST_ATTEMPT_TIME_SHARE * self.route.timeout_s

    def is_warm_at(self, placement: Placement) -> bool:
        """Return whether the placement's server has cached most of the shared text."""
        return self.is_warm(placement.cached_tokens)

    def is_warm(self, cached_tokens: int) -> bool:
        """Return whether so many cached tokens are most of the shared text."""
        return cached_tokens >= WARM_SHARE * self.work.shared_tokens


@frozen(kw_only=True)
class LocalPlacement:
    """The request goes to a backend server of this region."""

    placement: Placement
    reason: str = LOCAL_REGION_FASTEST


@frozen(kw_only=True)
class PeerPlacement:
    """The request goes to a peer: one in another region, or a server's coordinator."""

    member: Member
    reason: str
    expected_first_answer_s: float
    # The server that the peer coordinates, if it was chosen as coordinator.
    server: str = ""


@frozen(kw_only=True)
class NoPlacement:
    """The request can't be sent to any server or peer."""

    reason: str
    wait_s: float = 0.0
    # When the next server of this region may be sent to, if only rate limits prevent a placement.
    next_unix_s: float | None = None


PlacementDecision = LocalPlacement | PeerPlacement | NoPlacement


@define(kw_only=True)
class ExcludedTargets:
    """Servers, peers and regions that a request was already sent to or that were unreachable."""

    servers: set[str] = field(factory=set)
    peers: set[str] = field(factory=set)
    regions: set[str] = field(factory=set)

    def names(self) -> list[str]:
        """Return all names in one sorted list, for logs."""
        return sorted(self.servers | self.peers | self.regions)
