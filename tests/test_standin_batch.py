"""Test batch scheduling by priority, arrival, slots, prefill budget and memory."""

import pytest

from pomelobarrow.standin.batch import Batch, Sequence
from pomelobarrow.standin.run_log import RunState

PAYING, TRIAL = 0, 1


@pytest.fixture
def stored() -> list[Sequence]:
    return []


@pytest.fixture
def batch(stored: list[Sequence]) -> Batch:
    return Batch(
        slots=2,
        prefill_tokens_per_step=100,
        kv_capacity_tokens=1000,
        count_cached_tokens=lambda sequence: 60 if sequence.blocks else 0,
        store_cached=stored.append,
    )


def sequence(number: int, *, priority: int = PAYING, **fields: object) -> Sequence:
    given = {"prompt_tokens": 10, "max_tokens": 3, **fields}
    return Sequence(request_id=f"r{number}", number=number, priority=priority, **given)


def test_paying_work_starts_before_earlier_trial_work(batch: Batch) -> None:
    queued = [sequence(1, priority=TRIAL), sequence(2, priority=TRIAL), sequence(3), sequence(4)]
    for one in queued:
        batch.add(one)
    batch.step(0.0)
    assert [one.number for one in batch.running] == [3, 4]
    assert [one.state for one in queued[:2]] == [RunState.WAITING] * 2


def test_prefill_is_shared_in_order_and_delays_the_first_token(batch: Batch) -> None:
    long, short = sequence(1, prompt_tokens=150), sequence(2, prompt_tokens=20)
    batch.add(long)
    batch.add(short)
    batch.step(0.0)
    assert (long.output_tokens, short.output_tokens) == (0, 0)
    batch.step(0.0)
    assert (long.output_tokens, short.output_tokens) == (1, 1)


def test_cached_prompt_tokens_need_no_prefill(batch: Batch, stored: list[Sequence]) -> None:
    warm = sequence(1, prompt_tokens=150, blocks=(1,))
    batch.add(warm)
    batch.step(0.0)
    assert (warm.cached_tokens, warm.output_tokens) == (60, 1)
    assert stored == [warm]


def test_finished_sequence_frees_its_slot(batch: Batch) -> None:
    one = sequence(1, max_tokens=2)
    batch.add(one)
    batch.step(1.0)
    batch.step(2.0)
    assert (one.state, one.started_unix_s, one.finished_unix_s) == (RunState.FINISHED, 1.0, 2.0)
    assert batch.idle


def test_sequences_wait_for_memory(batch: Batch) -> None:
    large, next_one = sequence(1, max_tokens=985), sequence(2)
    batch.add(large)
    batch.add(next_one)
    batch.step(0.0)
    assert next_one.state is RunState.WAITING


def test_sequence_larger_than_all_memory_runs_alone(batch: Batch) -> None:
    batch.add(sequence(1, max_tokens=5000))
    batch.step(0.0)
    assert len(batch.running) == 1


@pytest.mark.parametrize(
    ("steps", "state"), [(0, RunState.NOT_RUN), (1, RunState.CANCELLED), (3, RunState.FINISHED)]
)
def test_cancel_says_how_far_the_sequence_got(batch: Batch, steps: int, state: RunState) -> None:
    one = sequence(1)
    batch.add(one)
    for _ in range(steps):
        batch.step(0.0)
    batch.cancel(one, 0.0)
    assert one.state is state
    assert batch.idle
