"""Choose the backend server that answers first."""

from random import Random

from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.load_table import LoadTable, ServerState
from pomelobarrow.decision.service_times import ServiceTimes
from pomelobarrow.decision.work import Placement, Work

# Paying work may wait a little at the engine, which runs it before all trial work; trial work
# waits here, where paying work can pass it.
SLOT_ALLOWANCE = {Rank.PAYING: 1.25, Rank.TRIAL: 1.0}


def choose_server(
    table: LoadTable, work: Work, now_unix_s: float, random: Random, excluded: frozenset[str]
) -> Placement | None:
    """Return the placement with the least expected wait, or None while nothing has room."""
    states = [s for s in table.usable(work.pool, now_unix_s) if s.server.name not in excluded]
    with_room = [s for s in states if has_room(s, work.rank)]
    if not with_room:
        return None
    cached = {
        s.server.name: table.prefixes.cached_tokens(s.server.name, work.prefix_hashes)
        for s in with_room
    }
    times = table.service_times(work.pool)
    placements = [_placement(s, work, cached.get(s.server.name, 0), times) for s in with_room]
    random.shuffle(placements)
    return min(placements, key=lambda placement: placement.expected_wait_s)


def has_room(state: ServerState, rank: Rank) -> bool:
    """Say whether a server may get one more request of a rank."""
    # The request's own size isn't asked: small ones would else pass a large one for ever.
    has_kv_room = state.kv_tokens < state.server.kv_capacity_tokens or state.requests == 0
    return has_kv_room and state.requests < state.slots * SLOT_ALLOWANCE[rank]


def expected_wait_s(
    state: ServerState, work: Work, cached_tokens: int, times: ServiceTimes
) -> float:
    """Return the seconds until the first token on a server."""
    uncached_tokens = max(0, work.prompt_tokens - cached_tokens)
    prefill_s = (state.tokens + uncached_tokens) * times.s_per_prefill_token
    over_slots = max(0.0, state.requests + 1 - state.slots)
    return prefill_s + over_slots * times.hold_s / max(state.slots, 1.0)


def _placement(
    state: ServerState, work: Work, cached_tokens: int, times: ServiceTimes
) -> Placement:
    cached_tokens = min(cached_tokens, work.prompt_tokens)
    return Placement(
        server=state.server,
        expected_wait_s=expected_wait_s(state, work, cached_tokens, times),
        cached_tokens=cached_tokens,
        reason="warm cache" if cached_tokens else "least expected wait",
    )
