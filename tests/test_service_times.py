"""The speed of prefill is learned apart from what any first token takes."""

import pytest

from pomelobarrow.decision.service_times import ServiceTimes

S_PER_TOKEN = 1e-5
BASE_S = 0.08


def test_fixed_cost_of_first_tokens_is_not_read_as_prefill() -> None:
    """An engine answers many short prompts and some long ones; each has a fixed cost of 80 ms.

    With the 80 ms of a 380-token prompt read as prefill, the engine looked ten times slower than
    it was: expected waits grew as much, and work left its region for nothing.
    """
    times = ServiceTimes()
    for _ in range(50):
        for _ in range(20):
            times.observe_start(380, BASE_S + 380 * S_PER_TOKEN)
        times.observe_start(17_000, BASE_S + 17_000 * S_PER_TOKEN)
    assert times.s_per_prefill_token == pytest.approx(S_PER_TOKEN, rel=0.1)


def test_first_tokens_that_came_before_they_could_teach_nothing() -> None:
    times = ServiceTimes()
    before = times.s_per_prefill_token
    times.observe_start(17_000, 0.0)
    assert times.s_per_prefill_token == before
