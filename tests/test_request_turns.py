"""How many requests that were sent ahead start in one step of the event loop."""

import asyncio
from collections import Counter

from attrs import define, field

from pomelobarrow.callers.request_turns import RequestTurns

REQUESTS = 20


@define
class LoopSteps:
    """Count the steps of the running loop."""

    number: int = 0
    _is_stopped: bool = field(default=False, init=False)

    def start(self) -> None:
        self._step()

    def stop(self) -> None:
        self._is_stopped = True

    def _step(self) -> None:
        self.number += 1
        if not self._is_stopped:
            asyncio.get_running_loop().call_soon(self._step)


async def test_one_request_starts_in_each_step() -> None:
    """Clients that sent thousands of requests ahead left others no processor time."""
    turns, steps = RequestTurns(), LoopSteps()
    started: Counter[int] = Counter()
    order: list[int] = []

    async def start(number: int) -> None:
        await turns.take()
        started[steps.number] += 1
        order.append(number)

    steps.start()
    await asyncio.gather(*(start(number) for number in range(REQUESTS)))
    steps.stop()
    assert max(started.values()) == 1
    assert order == list(range(REQUESTS))


async def test_request_whose_client_left_holds_no_others_up() -> None:
    turns = RequestTurns()
    first, second = (asyncio.create_task(turns.take()) for _ in range(2))
    await asyncio.sleep(0)
    first.cancel()
    await second
    await turns.take()
    assert first.cancelled()
