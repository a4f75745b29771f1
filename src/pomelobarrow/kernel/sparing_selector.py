"""Run several iterations of the event loop for each poll while callbacks are ready."""

import asyncio
import selectors

# A request takes some ten iterations, of which three wait for I/O. asyncio polls before each of
# them, although most only continue what the one before has made ready.
SKIPPED_POLLS = 3

Ready = list[tuple[selectors.SelectorKey, int]]


class SparingSelector(selectors.EpollSelector):
    """Skip up to a few polls in a row that would return at once."""

    def __init__(self) -> None:
        super().__init__()
        self._skipped = 0

    def select(self, timeout: float | None = None) -> Ready:
        """Return the files that are ready; none if the poll is skipped."""
        if timeout is not None and timeout <= 0 and self._skipped < SKIPPED_POLLS:
            self._skipped += 1
            return []
        self._skipped = 0
        return super().select(timeout)


def sparing_loop() -> asyncio.AbstractEventLoop:
    """Return a new event loop that polls sparingly."""
    return asyncio.SelectorEventLoop(SparingSelector())
