"""Timeouts of requests, and their end in a planned stop."""

import asyncio

import pytest

from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.timeouts import RequestTimeouts


async def run(
    timeouts: RequestTimeouts, left_s: float, has_begun: asyncio.Event | None = None
) -> None:
    """Run a request that never ends by itself."""
    timeout = timeouts.begin(now_unix_s() + left_s)
    try:
        async with timeout:
            if has_begun is not None:
                has_begun.set()
            await asyncio.Event().wait()
    finally:
        del timeouts.in_progress[timeout]


async def test_deadline_ends_a_request() -> None:
    timeouts = RequestTimeouts()
    with pytest.raises(TimeoutError):
        await run(timeouts, 0.0)
    assert not timeouts.in_progress


async def test_end_of_a_stop_ends_requests_in_progress_and_later_ones() -> None:
    timeouts, has_begun = RequestTimeouts(), asyncio.Event()
    running = asyncio.create_task(run(timeouts, 60.0, has_begun))
    await has_begun.wait()
    timeouts.end_by(now_unix_s())
    with pytest.raises(TimeoutError):
        await running
    with pytest.raises(TimeoutError):
        await run(timeouts, 60.0)


async def test_end_of_a_stop_does_not_extend_a_deadline() -> None:
    timeouts = RequestTimeouts()
    timeouts.end_by(now_unix_s() + 60.0)
    with pytest.raises(TimeoutError):
        await run(timeouts, 0.0)


async def test_end_of_a_stop_lets_the_answer_of_an_ended_request_go_out() -> None:
    """Guards against a stop that fails because a request has just got its answer."""
    timeouts = RequestTimeouts()
    timeout = timeouts.begin(now_unix_s() + 60.0)
    async with timeout:
        pass
    timeouts.end_by(now_unix_s())
    del timeouts.in_progress[timeout]
