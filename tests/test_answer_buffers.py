"""Memory for the whole answers that are buffered at a time."""

import asyncio
from random import Random

import pytest
from attrs import define
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelobarrow.backends.answer_buffers import AnswerBuffer, AnswerBuffers
from pomelobarrow.backends.answer_limits import (
    RESERVED_STEP_BYTES,
    UNRESERVED_ANSWER_BYTES,
    AnswerTooLargeError,
)

LIMIT_STEPS, MAX_STEPS = 8, 4


def buffers() -> AnswerBuffers:
    return AnswerBuffers(
        limit_bytes=LIMIT_STEPS * RESERVED_STEP_BYTES,
        max_answer_bytes=MAX_STEPS * RESERVED_STEP_BYTES,
    )


async def test_answer_over_the_limit_is_refused_although_memory_is_free() -> None:
    one = AnswerBuffer(buffers=buffers())
    await one.reserve(MAX_STEPS * RESERVED_STEP_BYTES)
    with pytest.raises(AnswerTooLargeError):
        await one.reserve(MAX_STEPS * RESERVED_STEP_BYTES + 1)


async def test_small_answer_waits_for_no_memory() -> None:
    shared = buffers()
    for _ in range(LIMIT_STEPS // MAX_STEPS):
        await AnswerBuffer(buffers=shared).reserve(MAX_STEPS * RESERVED_STEP_BYTES)
    small = AnswerBuffer(buffers=shared)
    await small.reserve(UNRESERVED_ANSWER_BYTES)
    assert shared.waiting == 0


async def test_cancelled_wait_takes_no_memory() -> None:
    """Guards against memory lost to requests whose deadline passes while they wait."""
    shared = buffers()
    holders = [AnswerBuffer(buffers=shared) for _ in range(LIMIT_STEPS // MAX_STEPS)]
    for each in holders:
        await each.reserve(MAX_STEPS * RESERVED_STEP_BYTES)
    waiting = asyncio.create_task(AnswerBuffer(buffers=shared).reserve(RESERVED_STEP_BYTES))
    while not shared.waiting:
        await asyncio.sleep(0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    for each in holders:
        each.release()
    assert (shared.waiting, shared.reserved_bytes) == (0, 0)


@settings(deadline=None)
@given(st.lists(st.integers(1, MAX_STEPS), min_size=1, max_size=30), st.integers(0, 2**32))
def test_growing_answers_stay_within_the_limit_and_never_block_each_other(
    sizes: list[int], seed: int
) -> None:
    """Guards against answers that each hold a part of the memory and wait for the rest."""

    async def play() -> None:
        shared, random = buffers(), Random(seed)

        async def grow(steps: int) -> None:
            buffer = AnswerBuffer(buffers=shared)
            for step in range(1, steps + 1):
                await buffer.reserve(step * RESERVED_STEP_BYTES)
                assert shared.reserved_bytes <= LIMIT_STEPS * RESERVED_STEP_BYTES
                for _ in range(random.randrange(3)):
                    await asyncio.sleep(0)
            buffer.release()

        tasks = {asyncio.create_task(grow(steps)) for steps in sizes}
        # Without timers, the loop runs on only while a task makes progress.
        for _ in range(20 * len(sizes) * MAX_STEPS):
            await asyncio.sleep(0)
        assert all(task.done() and not task.exception() for task in tasks)
        assert shared.reserved_bytes == 0

    asyncio.run(play())


@define
class Content:
    """A body that arrives step by step."""

    left_steps: int

    async def readany(self) -> bytes:
        self.left_steps -= 1
        return b"x" * RESERVED_STEP_BYTES if self.left_steps >= 0 else b""

    def at_eof(self) -> bool:
        return self.left_steps <= 0


async def test_answers_of_later_attempts_never_block_each_other() -> None:
    """Each request keeps the failed answer of its first attempt while it reads the next one."""
    shared = buffers()
    requests = [AnswerBuffer(buffers=shared) for _ in range(2)]
    for each in requests:
        await each.read(Content(3))  # type: ignore[arg-type]
    later = [
        asyncio.create_task(each.read(Content(3))) for each in requests  # type: ignore[arg-type]
    ]
    while shared.waiting < 2 and not any(task.done() for task in later):
        await asyncio.sleep(0)
    is_blocked = shared.waiting == 2
    for task in later:
        task.cancel()
    await asyncio.gather(*later, return_exceptions=True)
    assert not is_blocked
