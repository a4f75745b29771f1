"""Choose the backend server that answers first."""

from collections.abc import Callable, Iterator, Sequence
from random import Random

from attrs import frozen

from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.load_table import LoadTable, ServerState
from pomelobarrow.decision.service_times import ServiceTimes
from pomelobarrow.decision.stale_load import choose_index, decayed_to_mean, with_unseen_work
from pomelobarrow.decision.stream_pauses import EngineLoad, PauseTarget, pause_cost_s
from pomelobarrow.decision.work import BackendServer, Placement, Work

# Paying work may wait a little at the engine, which runs it before all trial work; trial work
# waits here, where paying work can pass it.
SLOT_ALLOWANCE = {Rank.PAYING: 1.25, Rank.TRIAL: 1.0}
# Counts of others are uncertain. Without this margin servers that only look full would idle.
ROOM_MARGIN_DEVIATIONS = 2.0
# Of a large pool this many random servers are compared, and all that may hold the prefix.
COMPARED_SERVERS = 16
# How surely the server that a prompt's group hashes to holds the group's prefix, unseen.
GROUP_SERVER_TRUST = 0.7
# The same where the caller names the part that is shared: nobody else's guess is in it.
NAMED_GROUP_TRUST = 0.9
# A prompt read again holds up every request behind it, and fills a second cache with what the first
# one holds. So its reading counts this many times more than the time that it takes. Measured on
# deployments of 16 and 7 engines: a fifth fewer tokens read again; 0.04 and no worth gained.
REREAD_WEIGHT = 2.0
# Targets are shares of seconds; none is shorter.
MIN_TARGET_S = 0.05
# What a long prompt takes to read, for comparing servers before the prompt is known.
LONG_READING_S = 0.1
WARM = "prompt cache"
LEAST_WAIT = "least expected wait"


# Says whether a server may get one more request of a rank.
Admission = Callable[[ServerState, Rank], bool]
# Returns the states of some servers, all of one pool and one moment.
StateReader = Callable[[Sequence[BackendServer]], list[ServerState]]


@frozen
class _Warm:
    """Hold the servers that may have a prompt's prefix, with the tokens expected there."""

    tokens_by_name: dict[str, float]
    servers: tuple[BackendServer, ...]

    def tokens(self, state: ServerState) -> float:
        return self.tokens_by_name.get(state.server.name, 0.0)


def has_room(state: ServerState, rank: Rank) -> bool:
    """Say whether a server may get one more request of a rank."""
    # The request's own size isn't asked: small ones would else pass a large one for ever.
    has_kv_room = state.kv_tokens < state.server.kv_capacity_tokens or state.requests == 0
    margin = ROOM_MARGIN_DEVIATIONS * state.requests_deviation
    has_slot = state.requests < state.slots * SLOT_ALLOWANCE[rank] + margin
    return has_kv_room and has_slot and not _is_in_the_way(state, rank)


def choose_server(
    table: LoadTable,
    work: Work,
    now_unix_s: float,
    random: Random,
    excluded: frozenset[str],
    admits: Admission = has_room,
    states: StateReader | None = None,
) -> Placement | None:
    """Return the placement with the least expected wait, or None while nothing has room."""
    states = states or state_reader(table, work.pool, now_unix_s)
    usable = [
        server
        for server in table.usable_servers(work.pool, now_unix_s)
        if server.name not in excluded and table.limits.allows(server, now_unix_s)
    ]
    warm = _warm_servers(table, work, usable)
    compared = states(_sample(usable, random))
    if len(compared) < len(usable) and not _with_room(compared, work, admits):
        compared = states(usable)
    if not _with_room(compared, work, admits):
        return None
    seen = {state.server.name for state in compared}
    others = [server for server in warm.servers if server.name not in seen]
    compared += states(others)
    return _least_wait(table, work, compared, warm, random, admits)


def state_reader(table: LoadTable, pool: str, now_unix_s: float) -> StateReader:
    """Return what reads each server's state once, for choices at one moment.

    A request is placed among the near servers first and then among all: read twice, the states of
    ten servers took a third of a placing.
    """
    read: dict[str, ServerState] = {}

    def states(servers: Sequence[BackendServer]) -> list[ServerState]:
        missing = [server for server in servers if server.name not in read]
        for state in table.states(missing, pool, now_unix_s):
            read[state.server.name] = state
        return [read[server.name] for server in servers]

    return states


def least_wait_s(table: LoadTable, pool: str, now_unix_s: float) -> float:
    """Return the seconds until the first of a pool's servers turns to new work."""
    states = table.usable(pool, now_unix_s)
    if not states:
        return 0.0
    return min(_waits_s(states, table.service_times(pool), table.view_age_s))


def least_disturbed_engine(table: LoadTable, pool: str, now_unix_s: float) -> EngineLoad:
    """Return what a long prompt meets at the server whose streams it disturbs least."""
    states = table.usable(pool, now_unix_s)
    s_per_token = table.service_times(pool).s_per_prefill_token
    engines = [_engine(state, s_per_token) for state in states]
    return min(engines, key=_disturbance, default=EngineLoad())


def _engine(state: ServerState, s_per_token: float) -> EngineLoad:
    return EngineLoad(
        streams=state.requests,
        backlog_s=(state.own_tokens + state.others_tokens) * s_per_token,
        prefill_share=state.prefill_share,
        seen_late_share=state.seen_late_share,
    )


def _disturbance(engine: EngineLoad) -> float:
    return (engine.streams + 1) * (engine.backlog_s + engine.prefill_share + LONG_READING_S)


def _is_in_the_way(state: ServerState, rank: Rank) -> bool:
    """Say whether trial work would stand before paying work in an engine's prefill.

    An engine computes the prompts that it has started in turn, whatever their rank. With a batch of
    long trial prompts there, a short paying one got its first token late although it had gone first
    in every queue. One trial prompt at a time keeps the engine busy and is the most to wait for.
    """
    return rank is Rank.TRIAL and state.own_tokens + state.others_tokens > 0


def _sample(servers: Sequence[BackendServer], random: Random) -> Sequence[BackendServer]:
    if len(servers) <= COMPARED_SERVERS:
        return servers
    return random.sample(servers, COMPARED_SERVERS)


def _with_room(states: Sequence[ServerState], work: Work, admits: Admission) -> list[ServerState]:
    return [state for state in states if admits(state, work.rank)]


def _least_wait(
    table: LoadTable,
    work: Work,
    compared: Sequence[ServerState],
    warm: _Warm,
    random: Random,
    admits: Admission,
) -> Placement:
    states = _with_room(compared, work, admits)
    times = table.service_times(work.pool)
    waits_s = _waits_s(states, times, table.view_age_s)
    # What peers place comes to the servers with room, also what replaces work on the full ones.
    unseen_s = table.unseen_s(compared, work.pool)
    pauses_s = _pause_costs_s(work, states, warm, times)
    costs_s = [wait + pause for wait, pause in zip(waits_s, pauses_s, strict=True)]
    emptiest = choose_index(costs_s, unseen_s, random)
    expected_waits_s = with_unseen_work(waits_s, unseen_s)

    def reading_s(place: int) -> float:
        uncached_tokens = max(0.0, work.prompt_tokens - warm.tokens(states[place]))
        return uncached_tokens * times.s_per_prefill_token

    def first_token_s(place: int) -> float:
        return expected_waits_s[place] + reading_s(place)

    def cost_s(place: int) -> float:
        return first_token_s(place) + REREAD_WEIGHT * reading_s(place) + pauses_s[place]

    # Servers that are no warmer aren't compared: every VM would take the same least waiting one.
    least = warm.tokens(states[emptiest])
    warmer = [place for place, state in enumerate(states) if warm.tokens(state) > least]
    chosen = min((emptiest, *warmer), key=cost_s)
    server = states[chosen].server
    cached_tokens = table.prefixes.cached_tokens(server.name, work.prefix_hashes)
    return Placement(
        server=server,
        expected_wait_s=first_token_s(chosen),
        cost_s=cost_s(chosen),
        pause_cost_s=pauses_s[chosen],
        cached_tokens=min(cached_tokens, work.prompt_tokens),
        reason=WARM if warm.tokens(states[chosen]) else LEAST_WAIT,
    )


def pause_target(work: Work) -> PauseTarget:
    """Return what a request's stream is promised."""
    target_s = max(MIN_TARGET_S, work.first_token_due_unix_s - work.accepted_unix_s)
    return PauseTarget(gap_s=work.gap_target_s, first_answer_s=target_s)


def _pause_costs_s(
    work: Work, states: Sequence[ServerState], warm: _Warm, times: ServiceTimes
) -> list[float]:
    """Return what reading the prompt costs each server's streams."""
    if not work.gap_target_s:
        return [0.0] * len(states)
    target = pause_target(work)
    s_per_token = times.s_per_prefill_token
    return [
        pause_cost_s(
            target,
            _engine(state, s_per_token),
            max(0.0, work.prompt_tokens - warm.tokens(state)) * s_per_token,
        )
        for state in states
    ]


def _waits_s(states: Sequence[ServerState], times: ServiceTimes, age_s: float) -> list[float]:
    """Return the seconds until each server turns to one more request."""
    mean_tokens = sum(s.own_tokens + s.others_tokens for s in states) / len(states)
    memory_s = mean_tokens * times.s_per_prefill_token
    others_tokens = decayed_to_mean([float(s.others_tokens) for s in states], age_s, memory_s)
    slot_waits_s = _slot_waits_s(states, times)
    return [
        (state.own_tokens + others) * times.s_per_prefill_token + slot_wait_s
        for state, others, slot_wait_s in zip(states, others_tokens, slot_waits_s, strict=True)
    ]


def _slot_waits_s(states: Sequence[ServerState], times: ServiceTimes) -> Iterator[float]:
    hold_s = times.hold_s
    for state in states:
        # What peers have placed unseen may be there already: a server that looks just full isn't.
        requests = state.requests + 1 + state.requests_deviation
        over_slots = max(0.0, requests - state.slots)
        yield over_slots * hold_s / max(state.slots, 1.0)


def _group_key(table: LoadTable, work: Work) -> int | None:
    """Return what names a prompt's group, the same on every VM."""
    if work.shared_tokens and work.prefix_hashes:
        # The hash of the last shared block stands for all before it.
        return work.prefix_hashes[-1]
    return table.prefixes.group_key(work.prefix_hashes)


def _assumed_tokens(table: LoadTable, work: Work) -> float:
    """Return the tokens that a group's own server is expected to hold, unseen."""
    if work.shared_tokens:
        return NAMED_GROUP_TRUST * work.shared_tokens
    return GROUP_SERVER_TRUST * table.prefixes.typical_group_tokens()


def _warm_servers(table: LoadTable, work: Work, usable: Sequence[BackendServer]) -> _Warm:
    prefixes = table.prefixes
    key = _group_key(table, work)
    if key is None:
        return _Warm({}, ())
    # A part of the shared text saves reading too; all of it has the group's key as its last block.
    first = work.prefix_hashes[0] if work.shared_tokens else key
    holders = [server for server in usable if prefixes.holds(server.name, first)]
    tokens = {s.name: float(prefixes.cached_tokens(s.name, work.prefix_hashes)) for s in holders}
    names = {server.name for server in usable}
    group = [s for s in table.group_servers(work.pool, key) if s.name in names][:1]
    for server in group:
        assumed = _assumed_tokens(table, work)
        tokens[server.name] = max(tokens.get(server.name, 0.0), assumed)
    return _Warm(tokens, tuple({server.name: server for server in (*holders, *group)}.values()))
