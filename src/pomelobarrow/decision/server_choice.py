"""Choose the backend server that answers first."""

from collections.abc import Sequence
from random import Random

from attrs import frozen

from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.load_table import LoadTable, ServerState
from pomelobarrow.decision.rendezvous import rendezvous
from pomelobarrow.decision.service_times import ServiceTimes
from pomelobarrow.decision.stale_view import choose_index, filled, shrunk
from pomelobarrow.decision.work import Placement, Work

# Paying work may wait a little at the engine, which runs it before all trial work; trial work
# waits here, where paying work can pass it.
SLOT_ALLOWANCE = {Rank.PAYING: 1.25, Rank.TRIAL: 1.0}
# Counts of others are uncertain. Without this margin servers that only look full would idle.
ROOM_MARGIN_DEVIATIONS = 2.0
# How surely the server that a prompt's group hashes to holds the group's prefix, unseen.
GROUP_SERVER_TRUST = 0.7


@frozen(kw_only=True)
class _Candidate:
    state: ServerState
    # The wait for the prefill and the slots of other requests.
    wait_s: float
    # The request's own prefill, with what is expected to be cached taken off.
    prefill_s: float
    reason: str

    @property
    def first_token_s(self) -> float:
        return self.wait_s + self.prefill_s


def choose_server(
    table: LoadTable, work: Work, now_unix_s: float, random: Random, excluded: frozenset[str]
) -> Placement | None:
    """Return the placement with the least expected wait, or None while nothing has room."""
    states = [s for s in table.usable(work.pool, now_unix_s) if s.server.name not in excluded]
    with_room = [s for s in states if has_room(s, work.rank)]
    if not with_room:
        return None
    times = table.service_times(work.pool)
    waits_s = _waits_s(with_room, times, table.view_age_s)
    unseen_s = table.unseen_s(states, work.pool)
    emptiest = choose_index(waits_s, unseen_s, random)
    expected_waits_s = filled(waits_s, unseen_s)
    cached = _expected_cached_tokens(table, work, states, with_room)

    def candidate(place: int) -> _Candidate:
        prefill_tokens = max(0.0, work.prompt_tokens - cached[place])
        return _Candidate(
            state=with_room[place],
            wait_s=expected_waits_s[place],
            prefill_s=prefill_tokens * times.s_per_prefill_token,
            reason="least expected wait" if place == emptiest else "prompt cache",
        )

    # Servers that are no warmer aren't compared: every VM would take the same least waiting one.
    warmer = [place for place, tokens in enumerate(cached) if tokens > cached[emptiest]]
    candidates = [candidate(place) for place in (emptiest, *warmer)]
    return _placement(table, work, min(candidates, key=lambda c: c.first_token_s))


def has_room(state: ServerState, rank: Rank) -> bool:
    """Say whether a server may get one more request of a rank."""
    # The request's own size isn't asked: small ones would else pass a large one for ever.
    has_kv_room = state.kv_tokens < state.server.kv_capacity_tokens or state.requests == 0
    margin = ROOM_MARGIN_DEVIATIONS * state.requests_deviation
    has_slot = state.requests < state.slots * SLOT_ALLOWANCE[rank] + margin
    return has_kv_room and has_slot and not _is_in_the_way(state, rank)


def _is_in_the_way(state: ServerState, rank: Rank) -> bool:
    """Say whether trial work would stand before paying work in an engine's prefill.

    An engine computes the prompts that it has started in turn, whatever their rank. With a batch of
    long trial prompts there, a short paying one got its first token late although it had gone first
    in every queue. One trial prompt at a time keeps the engine busy and is the most to wait for.
    """
    return rank is Rank.TRIAL and state.own_tokens + state.others_tokens > 0


def _waits_s(states: Sequence[ServerState], times: ServiceTimes, age_s: float) -> list[float]:
    """Return the seconds until each server turns to one more request."""
    mean_tokens = sum(s.own_tokens + s.others_tokens for s in states) / len(states)
    memory_s = mean_tokens * times.s_per_prefill_token
    others_tokens = shrunk([float(s.others_tokens) for s in states], age_s, memory_s)
    return [
        (state.own_tokens + others) * times.s_per_prefill_token + _slot_wait_s(state, times)
        for state, others in zip(states, others_tokens, strict=True)
    ]


def _slot_wait_s(state: ServerState, times: ServiceTimes) -> float:
    over_slots = max(0.0, state.requests + 1 - state.slots)
    return over_slots * times.hold_s / max(state.slots, 1.0)


def _expected_cached_tokens(
    table: LoadTable, work: Work, states: Sequence[ServerState], with_room: Sequence[ServerState]
) -> list[float]:
    prefixes = table.prefixes
    names = [s.server.name for s in with_room]
    cached = [float(prefixes.cached_tokens(name, work.prefix_hashes)) for name in names]
    group_server = _group_server(table, work, states)
    if group_server in names:
        place = names.index(group_server)
        cached[place] = max(cached[place], GROUP_SERVER_TRUST * prefixes.typical_group_tokens())
    return cached


def _group_server(table: LoadTable, work: Work, states: Sequence[ServerState]) -> str | None:
    key = table.prefixes.group_key(work.prefix_hashes)
    if key is None:
        return None
    return rendezvous(str(key), (s.server.name for s in states), 1)[0]


def _placement(table: LoadTable, work: Work, chosen: _Candidate) -> Placement:
    server = chosen.state.server
    cached_tokens = table.prefixes.cached_tokens(server.name, work.prefix_hashes)
    return Placement(
        server=server,
        expected_wait_s=chosen.first_token_s,
        cached_tokens=min(cached_tokens, work.prompt_tokens),
        reason=chosen.reason,
    )
