"""Bound how many requests a server may have in flight, so that more urgent ones start in time.

Load pattern: a burst of short prompts fills the queues of all servers of a region that also gets
long, more urgent prompts. Servers take up the more urgent ones first, but every short prompt that
they hold delays them: its prefill and its tokens share the server's steps. Once the queues are
full, servers reject what many VMs send at the same moment, and a request that may be sent only once
is lost by that. Requests beyond the bound are rejected by the VM itself, which costs less and
leaves their attempts unused; those that have come back from a rejection get more room than new
ones. The expected wait of the more urgent prompts leaves out the queued requests that servers take
up after them; otherwise they are rejected as late while less urgent ones are served.
"""

from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.server_state import ServerState

# Servers queue some requests themselves. Beyond this many in flight per slot they reject requests,
# or the wait exceeds any target.
MAX_IN_FLIGHT_PER_SLOT = 4.0
# Leaves room for what other VMs send before their counts arrive, and for what has come back.
LESS_URGENT_IN_FLIGHT_PER_SLOT = 2.0
# Room above that bound for requests that have come back from a rejection.
RETURNED_IN_FLIGHT_PER_SLOT = 2.0
# Routes with less traffic than this share of a pool's prompt tokens need no room.
MIN_URGENT_SHARE = 0.05
HALF_LIFE_S = 1.5
# A request that at least half of the others precede or equal overtakes too few to count on it.
MAX_OVERTAKING_SHARE = 0.5


@define
class _Recent:
    """Prompts of one urgency, as sums that halve with time."""

    requests: float = 0.0
    tokens: float = 0.0
    updated_unix_s: float = 0.0

    def decay(self, now_unix_s: float) -> None:
        share = 0.5 ** (max(0.0, now_unix_s - self.updated_unix_s) / HALF_LIFE_S)
        self.requests *= share
        self.tokens *= share
        self.updated_unix_s = now_unix_s


@frozen(kw_only=True)
class Competition:
    """How a request competes with the others of its pool."""

    # Whether the pool also gets more urgent prompts.
    is_less_urgent: bool = False
    # The share of the pool's requests that servers don't take up after this one.
    ahead_share: float = 1.0

    @property
    def overtakes_others(self) -> bool:
        """Return whether servers take up nothing of the pool before it, and much after it."""
        return not self.is_less_urgent and self.ahead_share < MAX_OVERTAKING_SHARE


NO_COMPETITION = Competition()


@define
class UrgentDemand:
    """The prompts that a VM has been asked for lately, by pool and urgency."""

    _by_pool: dict[str, dict[int, _Recent]] = field(factory=dict)

    def observe(self, pool: str, urgency: int, prompt_tokens: int, now_unix_s: float) -> None:
        """Count a request."""
        if not prompt_tokens:
            return
        recent = self._by_pool.setdefault(pool, {}).setdefault(urgency, _Recent())
        recent.decay(now_unix_s)
        recent.requests += 1.0
        recent.tokens += prompt_tokens

    def competition(self, pool: str, urgency: int, now_unix_s: float) -> Competition:
        """Return how a request of an urgency competes with the others of its pool."""
        by_urgency = self._by_pool.get(pool, {})
        if len(by_urgency) < 2:
            return NO_COMPETITION
        for recent in by_urgency.values():
            recent.decay(now_unix_s)
        more_urgent = sum(recent.tokens for each, recent in by_urgency.items() if each < urgency)
        ahead = sum(recent.requests for each, recent in by_urgency.items() if each <= urgency)
        tokens = sum(recent.tokens for recent in by_urgency.values())
        requests = sum(recent.requests for recent in by_urgency.values())
        return Competition(
            is_less_urgent=more_urgent > MIN_URGENT_SHARE * tokens,
            ahead_share=ahead / requests if requests else 1.0,
        )


def has_room(state: ServerState, is_less_urgent: bool, has_returned: bool) -> bool:
    """Return whether a server may get one more request."""
    if not is_less_urgent:
        return state.requests < MAX_IN_FLIGHT_PER_SLOT * state.server.slots
    per_slot = LESS_URGENT_IN_FLIGHT_PER_SLOT + has_returned * RETURNED_IN_FLIGHT_PER_SLOT
    return state.requests < per_slot * state.server.slots


def is_full(
    servers: Sequence[BackendServer], state_of: Callable[[BackendServer], ServerState]
) -> bool:
    """Return whether a pool has servers and none of them has a free slot."""
    return bool(servers) and all(state_of(each).requests >= each.slots for each in servers)
