"""The event loop's delay is observed while a block runs."""

import asyncio
import time

from pomelobarrow.kernel.loop_delay import TICK_S, observed_loop_delay

BLOCKED_S = 3 * TICK_S


async def test_block_of_the_loop_is_observed() -> None:
    with observed_loop_delay() as delay:
        # The observer begins its first tick.
        await asyncio.sleep(0)
        blocked_until_s = time.monotonic() + BLOCKED_S
        while time.monotonic() < blocked_until_s:
            pass
        # Its delayed tick has ended once a later one would be due.
        await asyncio.sleep(TICK_S)
    assert delay.longest_s >= BLOCKED_S - TICK_S
