"""What clients may make a process hold, and who yields if that is used up."""

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.admission.client_budget import (
    MIN_PROGRESS_BYTES,
    SMALL_HOLDING_BYTES,
    SMALL_RESERVE_SHARE,
    STALLED_S,
    UNCOUNTED_BYTES,
    BudgetLimits,
    ClientBudget,
    Decision,
    HeldBytes,
    Holding,
    Phase,
    ProcessBudget,
)

NOW = 1_000.0
LATER = NOW + STALLED_S
LIMITS = BudgetLimits(connections=4, held_bytes=1 << 20)
# What large holdings may take together.
LARGE_BYTES = int((1.0 - SMALL_RESERVE_SHARE) * LIMITS.held_bytes)
HALF = HeldBytes(body_bytes=LARGE_BYTES // 2)


def budget_of(limits: BudgetLimits = LIMITS) -> ClientBudget:
    process = ProcessBudget(limit_bytes=10 * limits.held_bytes)
    return ClientBudget(limits=limits, process=process)


def opened(budget: ClientBudget, phase: Phase = Phase.RECEIVING, now: float = NOW) -> Holding:
    holding = Holding()
    assert budget.open(holding, now).is_granted
    budget.move(holding, phase, now)
    return holding


def filled(budget: ClientBudget, phase: Phase = Phase.RECEIVING) -> tuple[Holding, Holding]:
    """Return two connections that hold all that large requests may."""
    first, second = opened(budget, phase), opened(budget, phase)
    for holding in (first, second):
        assert budget.resize(holding, HALF, NOW) == Decision(is_granted=True)
    return first, second


def test_bodies_are_held_up_to_the_limit() -> None:
    budget = budget_of()
    filled(budget)
    third = opened(budget)
    body = HeldBytes(body_bytes=SMALL_HOLDING_BYTES + 1)
    assert budget.resize(third, body, NOW) == Decision(is_granted=False)
    assert budget.held_bytes == 2 * HALF.body_bytes


def test_small_requests_have_room_beside_large_ones() -> None:
    """Guards against a few bodies that refuse all other clients."""
    budget = budget_of()
    filled(budget)
    small = HeldBytes(body_bytes=SMALL_HOLDING_BYTES)
    assert budget.resize(opened(budget), small, NOW).is_granted


def test_body_that_stands_still_yields_to_another_one() -> None:
    """Guards against clients that stop a byte short of the end of their bodies and stay."""
    budget = budget_of()
    first, second = filled(budget)
    budget.note_received(first, MIN_PROGRESS_BYTES, LATER)
    third = opened(budget, now=LATER)
    assert budget.resize(third, HALF, LATER) == Decision(is_granted=True, evicted=(second,))
    assert (first.is_open, second.is_open) == (True, False)
    assert budget.held_bytes == 2 * HALF.body_bytes
    assert budget.connections == 2


def test_body_that_trickles_counts_as_standing_still() -> None:
    budget = budget_of()
    first, _ = filled(budget)
    budget.note_received(first, MIN_PROGRESS_BYTES - 1, LATER)
    assert budget.resize(opened(budget, now=LATER), HALF, LATER).evicted == (first,)


def test_slow_body_is_left_alone_while_there_is_room() -> None:
    budget = budget_of()
    slow = opened(budget)
    budget.resize(slow, HALF, NOW)
    assert budget.resize(opened(budget, now=LATER), HALF, LATER) == Decision(is_granted=True)
    assert slow.is_open


def test_request_that_a_server_has_is_never_closed_for_others() -> None:
    budget = budget_of()
    filled(budget, Phase.RUNNING)
    assert budget.resize(opened(budget), HALF, LATER) == Decision(is_granted=False)


def test_answer_that_nobody_reads_yields() -> None:
    budget = budget_of()
    unread_bytes = [LARGE_BYTES]
    reader = Holding(unread_bytes=lambda: unread_bytes[0])
    budget.open(reader, NOW)
    budget.move(reader, Phase.SENDING, NOW)
    assert budget.note_unread(reader, NOW) == Decision(is_granted=True)
    unread_bytes[0] -= 1
    body = HeldBytes(body_bytes=SMALL_HOLDING_BYTES + 1)
    # It has read a little, which counts from now on.
    assert not budget.resize(opened(budget, now=LATER), body, LATER).is_granted
    much_later = LATER + STALLED_S
    assert budget.resize(opened(budget, now=much_later), body, much_later).evicted == (reader,)
    assert budget.held_bytes == body.body_bytes


def test_unread_answers_beyond_the_limit_close_those_that_stall() -> None:
    budget = budget_of()
    first, _ = filled(budget)
    reader = Holding(unread_bytes=lambda: LIMITS.held_bytes)
    budget.open(reader, LATER)
    assert first in budget.note_unread(reader, LATER).evicted


def test_what_each_connection_may_hold_is_not_counted() -> None:
    budget = budget_of(BudgetLimits(connections=4, held_bytes=0))
    holding = opened(budget)
    assert budget.resize(holding, HeldBytes(head_bytes=UNCOUNTED_BYTES), NOW).is_granted
    assert not budget.resize(holding, HeldBytes(head_bytes=UNCOUNTED_BYTES + 1), NOW).is_granted
    assert budget.held_bytes == 0


@pytest.mark.parametrize("phase", [Phase.IDLE, Phase.RECEIVING])
def test_new_connection_takes_the_place_of_one_without_a_request(phase: Phase) -> None:
    """Guards against open connections that take all descriptors."""
    budget = budget_of()
    first, *_ = [opened(budget, phase) for _ in range(LIMITS.connections)]
    newest = Holding()
    assert budget.open(newest, NOW) == Decision(is_granted=True, evicted=(first,))
    assert budget.connections == LIMITS.connections


def test_new_connection_is_not_closed_for_the_next_one() -> None:
    """A request in transit was lost beside clients that had sent a part of a head."""
    budget = budget_of()
    heads = [opened(budget) for _ in range(LIMITS.connections)]
    newest, next_one = Holding(), Holding()
    assert budget.open(newest, LATER).evicted == (heads[0],)
    assert budget.open(next_one, LATER).evicted == (heads[1],)
    assert newest.is_open


def test_connection_that_was_used_last_is_closed_last() -> None:
    budget = budget_of()
    first, second, *_ = [opened(budget, Phase.IDLE) for _ in range(LIMITS.connections)]
    budget.move(first, Phase.RUNNING, NOW)
    budget.move(first, Phase.IDLE, NOW)
    assert budget.open(Holding(), NOW).evicted == (second,)


def test_new_connection_takes_the_place_of_one_whose_requests_have_not_started() -> None:
    """Clients with thousands of requests ahead kept all connections, so that others were closed."""
    budget = budget_of()
    running, first, second = (
        opened(budget, phase) for phase in (Phase.RUNNING, Phase.QUEUED, Phase.QUEUED)
    )
    idle = opened(budget, Phase.IDLE)
    for victim in (idle, first, second):
        new = Holding()
        assert budget.open(new, LATER) == Decision(is_granted=True, evicted=(victim,))
        budget.move(new, Phase.RUNNING, LATER)
    assert budget.open(Holding(), LATER) == Decision(is_granted=False)
    assert running.is_open


def test_connection_may_be_limited_to_less_than_there_is_room_for() -> None:
    budget = budget_of()
    limited = Holding(max_bytes=HALF.body_bytes)
    budget.open(limited, NOW)
    assert budget.resize(limited, HALF, NOW).is_granted
    more = evolve(HALF, head_bytes=1)
    assert budget.resize(limited, more, NOW) == Decision(is_granted=False)
    assert budget.held_bytes == HALF.body_bytes


def test_connection_is_refused_while_all_others_run_requests() -> None:
    budget = budget_of()
    for _ in range(LIMITS.connections):
        opened(budget, Phase.RUNNING)
    assert budget.open(Holding(), LATER) == Decision(is_granted=False)


def test_closed_connection_can_hold_nothing() -> None:
    budget = budget_of()
    holding = opened(budget)
    budget.close(holding)
    assert budget.resize(holding, HALF, NOW) == Decision(is_granted=False)
    budget.close(holding)
    assert (budget.connections, budget.held_bytes) == (0, 0)


def test_listeners_together_hold_no_more_than_the_process_may() -> None:
    """Guards against a largest body at clients' listeners and one of a peer at the same time."""
    process = ProcessBudget(limit_bytes=HALF.body_bytes)
    first, second = (ClientBudget(limits=LIMITS, process=process) for _ in range(2))
    holding = opened(first)
    assert first.resize(holding, HALF, NOW).is_granted
    assert not second.resize(opened(second), HALF, NOW).is_granted
    first.close(holding)
    assert second.resize(opened(second), HALF, NOW).is_granted
    assert process.held_bytes == HALF.body_bytes


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["open", "close", "move", "resize", "receive", "unread"]),
        st.integers(0, 5),
        st.sampled_from(list(Phase)),
        st.integers(0, 1 << 20),
        st.sampled_from([0.0, 0.5, STALLED_S]),
    ),
    max_size=60,
)


@given(STEPS)
def test_counts_are_those_of_the_open_connections(
    steps: list[tuple[str, int, Phase, int, float]],
) -> None:
    budget, now = budget_of(), NOW
    sizes = [0] * 6
    holdings = [Holding(unread_bytes=lambda number=number: sizes[number]) for number in range(6)]
    for name, number, phase, size_bytes, passed_s in steps:
        holding, now = holdings[number], now + passed_s
        if name == "open" and not holding.is_open:
            budget.open(holding, now)
        elif name == "close":
            budget.close(holding)
        elif name == "move":
            budget.move(holding, phase, now)
        elif name == "resize":
            budget.resize(holding, evolve(holding.held, body_bytes=size_bytes), now)
        elif name == "receive":
            budget.note_received(holding, size_bytes, now)
        else:
            sizes[number] = size_bytes
            budget.note_unread(holding, now)
        running = [each for each in holdings if each.is_open]
        assert budget.connections == len(running) <= LIMITS.connections
        assert budget.held_bytes == sum(each.held.counted_bytes for each in running)
        assert budget.process.held_bytes == budget.held_bytes
