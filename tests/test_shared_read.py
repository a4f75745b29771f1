"""Callers that wait for a read of the platform share those that begin after they called."""

import asyncio

from attrs import define, field

from pomelobarrow.published.shared_read import SharedRead


@define
class Platform:
    """Let each read wait until it may end."""

    begun: int = 0
    may_end: asyncio.Semaphore = field(factory=lambda: asyncio.Semaphore(0))

    async def read(self) -> None:
        self.begun += 1
        await self.may_end.acquire()


async def settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


async def test_read_that_began_before_the_call_does_not_serve_it() -> None:
    """It may miss what was published just before the call."""
    platform = Platform()
    shared = SharedRead(read=platform.read)
    first = asyncio.create_task(shared())
    await settle()
    second = asyncio.create_task(shared())
    platform.may_end.release()
    await first
    await settle()
    assert (platform.begun, second.done()) == (2, False)
    platform.may_end.release()
    await second


async def test_callers_that_wait_share_the_next_read() -> None:
    platform = Platform()
    shared = SharedRead(read=platform.read)
    callers = [asyncio.create_task(shared())]
    await settle()
    callers += [asyncio.create_task(shared()) for _ in range(50)]
    for _ in range(2):
        platform.may_end.release()
    await asyncio.gather(*callers)
    assert platform.begun == 2


async def test_caller_that_gives_up_does_not_cancel_the_read_of_others() -> None:
    """Reads that took longer than their callers waited were begun again and never ended."""
    platform = Platform()
    shared = SharedRead(read=platform.read)
    first = asyncio.create_task(shared())
    await settle()
    callers = [asyncio.create_task(shared()) for _ in range(3)]
    await settle()
    first.cancel()
    callers[0].cancel()
    await settle()
    assert platform.begun == 1
    for _ in range(2):
        platform.may_end.release()
    await asyncio.gather(*callers[1:])
    assert platform.begun == 2


async def test_read_that_raises_serves_its_callers() -> None:
    reads = 0

    async def read() -> None:
        nonlocal reads
        reads += 1
        raise ValueError("unexpected")

    shared = SharedRead(read=read)
    await asyncio.gather(shared(), shared())
    await shared()
    assert reads == 2
