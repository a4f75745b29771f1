"""Test what calls between peers leave behind when their connection is lost."""

import asyncio

import pytest
from grpclib.exceptions import StreamTerminatedError
from grpclib.utils import Wrapper

from pomelobarrow.peers.calls import take_back_cancels


async def wait_on_lost_connection() -> None:
    wrapper = Wrapper()
    loop = asyncio.get_running_loop()
    loop.call_later(0.01, wrapper.cancel, StreamTerminatedError("connection lost"))
    with take_back_cancels(), wrapper:
        await asyncio.sleep(10)


async def ask_after_lost_connection(deadline_s: float) -> None:
    async with asyncio.timeout(deadline_s):
        with pytest.raises(StreamTerminatedError):
            await wait_on_lost_connection()
        await asyncio.sleep(10)


async def test_timeout_after_a_lost_connection_is_a_timeout() -> None:
    """A caller's deadline passes after the link to a peer was lost.

    The link is lost, grpclib wakes the call by cancelling it, and the deadline passes while the
    peer is asked what became of the request. Taken for a cancellation, the deadline closed the
    caller's connection without an answer.
    """
    with pytest.raises(TimeoutError):
        await ask_after_lost_connection(deadline_s=0.05)


async def test_cancellation_by_the_caller_is_kept() -> None:
    task = asyncio.create_task(wait_on_lost_connection())
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
