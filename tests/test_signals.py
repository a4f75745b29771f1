"""What the signals of a supervisor and of an operator do to a planned stop."""

import asyncio
import os
import signal
from collections.abc import AsyncIterator

import pytest

from pomelobarrow.kernel.daemon import handle_signals


class Stops:
    """The events that the signals set."""

    def __init__(self) -> None:
        self.requested, self.now = asyncio.Event(), asyncio.Event()
        handle_signals(self.requested, self.now)

    async def after(self, *numbers: signal.Signals) -> tuple[bool, bool]:
        """Send signals to this process; return whether a stop is requested, and at once."""
        for number in numbers:
            os.kill(os.getpid(), number)
            # A signal wakes the loop through its own pipe.
            await asyncio.sleep(0.05)
        return self.requested.is_set(), self.now.is_set()


@pytest.fixture
async def stops() -> AsyncIterator[Stops]:
    yield Stops()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().remove_signal_handler(number)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_signal_begins_a_planned_stop(stops: Stops, number: signal.Signals) -> None:
    assert await stops.after(number) == (True, False)


async def test_repeated_sigterm_does_not_cut_what_a_planned_stop_waits_for(stops: Stops) -> None:
    """Guards against requests that a supervisor cuts by asking for the same stop once more."""
    assert await stops.after(signal.SIGTERM, signal.SIGTERM) == (True, False)
    assert await stops.after(signal.SIGTERM) == (True, False)


@pytest.mark.parametrize("first", [signal.SIGTERM, signal.SIGINT])
async def test_interrupt_ends_a_planned_stop_at_once(stops: Stops, first: signal.Signals) -> None:
    assert await stops.after(first, signal.SIGINT) == (True, True)
