"""The speed of prefill is learned apart from what any first token takes."""

import pytest

from pomelobarrow.decision.service_times import ENOUGH_OWN_SAMPLES, ServiceTimes

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


def test_reading_counts_as_fast_until_a_prompt_was_read() -> None:
    """Right after its start a VM is asked for a prompt of 17,000 tokens, to be begun within 0.8 s.

    Its engines read that in a fifth of a second. By a guess of 10,000 tokens a second the VM
    refused it, and all like it until one was read.
    """
    assert 17_000 * ServiceTimes().s_per_prefill_token < 0.4


def test_first_tokens_that_came_before_they_could_teach_nothing() -> None:
    times = ServiceTimes()
    before = times.s_per_prefill_token
    times.observe_start(17_000, 0.0)
    assert times.s_per_prefill_token == before


def seen_by(long_prompts: int) -> ServiceTimes:
    times = ServiceTimes()
    for _ in range(long_prompts):
        times.observe_start(17_000, 17_000 * S_PER_TOKEN)
    return times


def test_a_vm_without_long_prompts_learns_the_speed_from_its_peers() -> None:
    """A VM refuses short prompts at engines that would begin them at once.

    It is one of 65 in its region and has had no long prompt yet. By the speed that is assumed
    before any was seen, the prompts that its peers have placed take nine times longer to read.
    """
    times = seen_by(0)
    times.observe_peer("vm-2", seen_by(3).own_sums())

    assert times.s_per_prefill_token == pytest.approx(S_PER_TOKEN, rel=0.1)


def test_a_vm_that_has_seen_enough_itself_needs_no_peers() -> None:
    slow = ServiceTimes()
    for _ in range(50):
        slow.observe_start(17_000, 3 * 17_000 * S_PER_TOKEN)
    few, enough = seen_by(ENOUGH_OWN_SAMPLES - 1), seen_by(ENOUGH_OWN_SAMPLES)
    for times in (few, enough):
        times.observe_peer("vm-2", slow.own_sums())

    assert few.s_per_prefill_token > 1.5 * S_PER_TOKEN
    assert enough.s_per_prefill_token == pytest.approx(S_PER_TOKEN, rel=0.1)


def test_a_peer_that_tells_again_counts_once() -> None:
    times = seen_by(1)
    times.observe_peer("vm-2", seen_by(3).own_sums())
    once = times.s_per_prefill_token
    times.observe_peer("vm-2", seen_by(3).own_sums())

    assert times.s_per_prefill_token == once


def test_what_a_forgotten_peer_told_is_dropped() -> None:
    times = seen_by(0)
    before = times.s_per_prefill_token
    times.observe_peer("vm-2", seen_by(3).own_sums())
    times.forget_peer("vm-2")

    assert times.s_per_prefill_token == before


@pytest.mark.parametrize("wrong", [float("nan"), float("inf"), -1.0])
def test_sums_that_make_no_sense_are_left_out(wrong: float) -> None:
    times = seen_by(3)
    before = times.s_per_prefill_token
    sums = list(times.own_sums())
    times.observe_peer("vm-2", [wrong, *sums[1:]])
    times.observe_peer("vm-2", sums[:3])

    assert times.s_per_prefill_token == before
