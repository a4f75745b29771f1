"""Start the requests that clients send ahead one after the other."""

import asyncio
from collections import deque

from attrs import define, field


@define
class RequestTurns:
    """Start one request in each step of the event loop.

    Without it a client with sixty connections and thousands of requests on each gets sixty times
    the processor time of one that waits for its answers.
    """

    _waiting: deque["asyncio.Future[None]"] = field(factory=deque, init=False)

    async def take(self) -> None:
        """Wait for the next step that no request before this one takes."""
        loop = asyncio.get_running_loop()
        if not self._waiting:
            loop.call_soon(self._start_next, loop)
        turn: asyncio.Future[None] = loop.create_future()
        self._waiting.append(turn)
        await turn

    def _start_next(self, loop: asyncio.AbstractEventLoop) -> None:
        turn = self._waiting.popleft()
        if not turn.done():
            turn.set_result(None)
        if self._waiting:
            loop.call_soon(self._start_next, loop)
