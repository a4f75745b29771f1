"""Choose the backend server with the least expected wait and cost for a request."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from random import Random

from attrs import evolve, frozen

from pomelobarrow.decision.placement.prefix_copy import CopySources, PartCopy
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.requests.work import BackendServer, Placement, Work
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.servers.present_speed import USUAL_SPEED
from pomelobarrow.decision.servers.server_state import ServerState
from pomelobarrow.decision.servers.service_times import ServiceTimes
from pomelobarrow.decision.servers.stale_load import choose_index, decayed_to_mean, with_unseen_work
from pomelobarrow.decision.streams.stream_pauses import (
    EngineLoad,
    PauseTarget,
    pause_cost_reader,
)

# Requests that a server may have per slot. Paying requests may queue a little at the engine, which
# runs them before all trial requests. Trial requests queue in this process, where paying requests
# can overtake them.
SLOT_ALLOWANCE = {Rank.PAYING: 1.25, Rank.TRIAL: 1.0}
# Counts of other VMs' requests are uncertain. Without this margin, servers that only appear full
# would idle.
CAPACITY_MARGIN_DEVIATIONS = 2.0
# In a large pool this many random servers are compared, plus all that may have the prefix cached.
MAX_COMPARED_SERVERS = 16
# Assumed probability that the server a prompt's group hashes to has the group's prefix cached, if
# this VM hasn't observed it.
GROUP_SERVER_CACHE_PROBABILITY = 0.7
# The same if the caller declares the shared part, so that it needn't be estimated.
NAMED_GROUP_CACHE_PROBABILITY = 0.9
# Prefilling a prompt that another server has cached delays every request behind it, and fills a
# second cache with the same blocks. So prefill adds this many times its duration to the cost. On
# deployments of 16 and 7 engines a fifth fewer tokens are prefilled repeatedly; the share of the
# requests' value that is earned rises by 0.04 with 16 engines and doesn't change with 7.
PREFILL_COST_WEIGHT = 2.0
# Lower bound of a first-answer target; targets are fractions of a second.
MIN_TARGET_S = 0.05
# Typical prefill time of a long prompt, to compare servers where no prompt is given.
LONG_PREFILL_S = 0.1
WARM = "prompt cache"
LEAST_WAIT = "least expected wait"
COPIED = "copy of another server's prompt cache"


# Returns whether a server may get one more request of a rank.
Admission = Callable[[ServerState, Rank], bool]
# Returns the states of servers of one pool, all at the same time.
StateReader = Callable[[Sequence[BackendServer]], list[ServerState]]


@frozen
class _WarmServers:
    """The servers that may have a prompt's prefix cached, with the expected cached tokens."""

    tokens_by_name: dict[str, float]
    servers: tuple[BackendServer, ...]

    def tokens(self, state: ServerState) -> float:
        return self.tokens_by_name.get(state.server.name, 0.0)


def has_capacity(state: ServerState, rank: Rank) -> bool:
    """Return whether a server may get one more request of a rank."""
    # The request's own size is ignored: otherwise small requests could starve a large one.
    has_kv_capacity = state.kv_tokens < state.server.kv_capacity_tokens or state.requests == 0
    margin = CAPACITY_MARGIN_DEVIATIONS * state.requests_deviation
    has_slot = state.requests < state.slots * SLOT_ALLOWANCE[rank] + margin
    return has_kv_capacity and has_slot and not _would_delay_paying_work(state, rank)


def choose_server(
    table: LoadTable,
    work: Work,
    now_unix_s: float,
    random: Random,
    excluded: frozenset[str],
    admits: Admission = has_capacity,
    states: StateReader | None = None,
    sources: CopySources | None = None,
    ahead_share: float = 1.0,
) -> Placement | None:
    """Return the placement with the least cost, or None while no server has capacity.

    With sources, a server may copy the prompt's shared part from one of them. Of the requests that
    wait for a slot, servers take up the stated share before this one.
    """
    states = states or state_reader(table, work.pool, now_unix_s)
    usable = [s for s in table.usable_servers(work.pool, now_unix_s) if s.name not in excluded]
    limits = table.limits
    if not limits.is_empty:
        usable = [server for server in usable if limits.allows(server, now_unix_s)]
    warm = _warm_servers(table, work, usable)
    compared = states(_sample(usable, random))
    if len(compared) < len(usable) and not _any_with_capacity(compared, work, admits):
        compared = states(usable)
    if not _any_with_capacity(compared, work, admits):
        return None
    seen = {state.server.name for state in compared}
    others = [server for server in warm.servers if server.name not in seen]
    compared += states(others)
    return _least_cost_placement(table, work, compared, warm, random, admits, sources, ahead_share)


def state_reader(table: LoadTable, pool: str, now_unix_s: float) -> StateReader:
    """Return a reader that computes each server's state once, for several choices at one time.

    A request is placed among the nearby servers first and then among all servers. Computing the
    states of ten servers twice took a third of the time of a placement.
    """
    read: dict[str, ServerState] = {}
    state_of = table.state_reader(pool, now_unix_s)

    def states(servers: Sequence[BackendServer]) -> list[ServerState]:
        for server in servers:
            if server.name not in read:
                read[server.name] = state_of(server)
        return [read[server.name] for server in servers]

    return states


def least_wait_s(table: LoadTable, pool: str, now_unix_s: float) -> float:
    """Return the seconds until the first of a pool's servers could start a new request."""
    states = table.usable(pool, now_unix_s)
    if not states:
        return 0.0
    return min(_waits_s(states, table.service_times(pool), table.view_age_s))


def least_disturbed_engine(table: LoadTable, pool: str, now_unix_s: float) -> EngineLoad:
    """Return the load of the server whose streams one more long prompt would disturb least."""
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
    return (engine.streams + 1) * (engine.backlog_s + engine.prefill_share + LONG_PREFILL_S)


def _would_delay_paying_work(state: ServerState, rank: Rank) -> bool:
    """Return whether a trial request would delay paying work in an engine's prefill.

    An engine prefills the prompts that it has started in order, whatever their rank. Behind a batch
    of long trial prompts, a short paying prompt gets its first token late although it was first in
    every queue. One trial prompt at a time keeps the engine busy and bounds that wait.
    """
    return rank is Rank.TRIAL and state.own_tokens + state.others_tokens > 0


def _sample(servers: Sequence[BackendServer], random: Random) -> Sequence[BackendServer]:
    if len(servers) <= MAX_COMPARED_SERVERS:
        return servers
    return random.sample(servers, MAX_COMPARED_SERVERS)


def _any_with_capacity(states: Sequence[ServerState], work: Work, admits: Admission) -> bool:
    return any(admits(state, work.rank) for state in states)


def _with_capacity(
    states: Sequence[ServerState], work: Work, admits: Admission
) -> list[ServerState]:
    return [state for state in states if admits(state, work.rank)]


def _least_cost_placement(
    table: LoadTable,
    work: Work,
    compared: Sequence[ServerState],
    warm: _WarmServers,
    random: Random,
    admits: Admission,
    sources: CopySources | None,
    ahead_share: float,
) -> Placement:
    states = _with_capacity(compared, work, admits)
    times = table.service_times(work.pool)
    copies = _copies(table, work, states, sources) if sources is not None else {}
    warm = _with_copies(warm, copies) if copies else warm
    waits_s = _waits_s(states, times, table.view_age_s, ahead_share)
    # All compared servers count: work that replaces requests finished on full servers is placed by
    # peers on the servers with capacity too.
    unseen_s = table.unseen_s(compared, work.pool)
    pauses_s = _pause_costs_s(work, states, warm, times)
    delays_s = _delays_s(work, states, waits_s, warm, times)
    costs_s = [sum(each) for each in zip(waits_s, pauses_s, delays_s, strict=True)]
    least_loaded = choose_index(costs_s, unseen_s, random)
    expected_waits_s = with_unseen_work(waits_s, unseen_s)

    def prefill_s(index: int) -> float:
        uncached_tokens = max(0.0, work.prompt_tokens - warm.tokens(states[index]))
        return uncached_tokens * times.s_per_prefill_token

    def first_token_s(index: int) -> float:
        return expected_waits_s[index] + prefill_s(index)

    def cost_s(index: int) -> float:
        prefill_cost_s = PREFILL_COST_WEIGHT * prefill_s(index)
        return first_token_s(index) + prefill_cost_s + pauses_s[index] + delays_s[index]

    # Servers with no more cached tokens are left out: otherwise every VM would choose the same one
    # with the least wait.
    least = warm.tokens(states[least_loaded])
    warmer = [index for index, state in enumerate(states) if warm.tokens(state) > least]
    chosen = min((least_loaded, *warmer), key=cost_s)
    server = states[chosen].server
    copy = copies.get(server.name)
    cached_tokens = table.prefixes.cached_tokens(server.name, work.prefix_hashes)
    return Placement(
        server=server,
        expected_wait_s=first_token_s(chosen),
        cost_s=cost_s(chosen),
        pause_cost_s=pauses_s[chosen],
        cached_tokens=min(cached_tokens, work.prompt_tokens),
        copy_from=copy.source.address if copy else "",
        copied_tokens=copy.saved_tokens if copy else 0,
        reason=COPIED if copy else WARM if warm.tokens(states[chosen]) else LEAST_WAIT,
    )


def _copies(
    table: LoadTable, work: Work, states: Sequence[ServerState], sources: CopySources
) -> dict[str, PartCopy]:
    """Return the servers that had better copy the shared part, with the copies."""
    s_per_token = table.service_times(work.pool).s_per_prefill_token
    copies: dict[str, PartCopy] = {}
    for state in states:
        cached_tokens = table.prefixes.cached_tokens(state.server.name, work.prefix_hashes)
        copy = sources.best_copy(state.server, cached_tokens, s_per_token)
        if copy is not None:
            copies[state.server.name] = copy
    return copies


def _with_copies(warm: _WarmServers, copies: Mapping[str, PartCopy]) -> _WarmServers:
    """Count the tokens that a copy saves as cached."""
    tokens = dict(warm.tokens_by_name)
    for name, copy in copies.items():
        tokens[name] = max(tokens.get(name, 0.0), float(copy.counted_tokens))
    return evolve(warm, tokens_by_name=tokens)


def pause_target(work: Work) -> PauseTarget:
    """Return the latency targets of a request's stream."""
    target_s = max(MIN_TARGET_S, work.first_token_due_unix_s - work.accepted_unix_s)
    return PauseTarget(gap_s=work.gap_target_s, first_answer_s=target_s)


def _pause_costs_s(
    work: Work, states: Sequence[ServerState], warm: _WarmServers, times: ServiceTimes
) -> list[float]:
    """Return the cost of stream pauses that the prompt's prefill causes at each server."""
    if not work.gap_target_s:
        return [0.0] * len(states)
    s_per_token = times.s_per_prefill_token
    cost_s = pause_cost_reader(pause_target(work))
    return [
        cost_s(
            state.requests,
            (state.own_tokens + state.others_tokens) * s_per_token,
            state.prefill_share,
            state.seen_late_share,
            max(0.0, work.prompt_tokens - warm.tokens(state)) * s_per_token,
        )
        for state in states
    ]


def _delays_s(
    work: Work,
    states: Sequence[ServerState],
    waits_s: Sequence[float],
    warm: _WarmServers,
    times: ServiceTimes,
) -> list[float]:
    """Return how much later each server's slow moment makes the first answer.

    It decides between servers only. A slow moment is over before a request has been refused for it
    or has reached another region, so that the expected wait is that at the usual speed.
    """
    delays_s = [0.0] * len(states)
    for index, state in enumerate(states):
        if state.slow_moment is not USUAL_SPEED:
            uncached_tokens = max(0.0, work.prompt_tokens - warm.tokens(state))
            prefill_s = uncached_tokens * times.s_per_prefill_token
            work_s = waits_s[index] + prefill_s + times.first_answer_s
            delays_s[index] = state.slow_moment.delay_s(work_s)
    return delays_s


def _waits_s(
    states: Sequence[ServerState], times: ServiceTimes, age_s: float, ahead_share: float = 1.0
) -> list[float]:
    """Return the seconds until each server could start one more request."""
    mean_tokens = sum(s.own_tokens + s.others_tokens for s in states) / len(states)
    memory_s = mean_tokens * times.s_per_prefill_token
    others_tokens = decayed_to_mean([float(s.others_tokens) for s in states], age_s, memory_s)
    slot_waits_s = _slot_waits_s(states, times, ahead_share)
    return [
        (state.own_tokens + others) * times.s_per_prefill_token + slot_wait_s
        for state, others, slot_wait_s in zip(states, others_tokens, slot_waits_s, strict=True)
    ]


def _slot_waits_s(
    states: Sequence[ServerState], times: ServiceTimes, ahead_share: float
) -> Iterator[float]:
    hold_s = times.hold_s
    for state in states:
        # Requests that peers placed since their last update may already be there, so a server that
        # appears exactly full counts as over its slots.
        requests = state.requests + 1 + state.requests_deviation
        over_slots = max(0.0, requests - state.slots)
        yield over_slots * ahead_share * hold_s / max(state.slots, 1.0)


def _group_key(table: LoadTable, work: Work) -> int | None:
    """Return the block hash that identifies a prompt's group, the same on every VM."""
    if work.shared_tokens and work.prefix_hashes:
        # Hashes are chained: the last shared block's hash depends on all blocks before it.
        return work.prefix_hashes[-1]
    return table.prefixes.group_key(work.prefix_hashes)


def _assumed_tokens(table: LoadTable, work: Work) -> float:
    """Return the tokens that the server a group hashes to is assumed to have cached."""
    if work.shared_tokens:
        return NAMED_GROUP_CACHE_PROBABILITY * work.shared_tokens
    return GROUP_SERVER_CACHE_PROBABILITY * table.prefixes.typical_group_tokens()


def _warm_servers(table: LoadTable, work: Work, usable: Sequence[BackendServer]) -> _WarmServers:
    prefixes = table.prefixes
    key = _group_key(table, work)
    if key is None:
        return _WarmServers({}, ())
    # A cached part of the shared text saves prefill too, so servers are found by its first block;
    # the group's key is its last block.
    first = work.prefix_hashes[0] if work.shared_tokens else key
    holders = prefixes.holders(usable, first)
    tokens = {s.name: float(prefixes.cached_tokens(s.name, work.prefix_hashes)) for s in holders}
    names = {server.name for server in usable}
    group = [s for s in table.group_servers(work.pool, key) if s.name in names][:1]
    for server in group:
        assumed = _assumed_tokens(table, work)
        tokens[server.name] = max(tokens.get(server.name, 0.0), assumed)
    return _WarmServers(
        tokens, tuple({server.name: server for server in (*holders, *group)}.values())
    )
