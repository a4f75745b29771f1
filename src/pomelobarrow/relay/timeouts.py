"""Limit requests to their deadlines, and all of them to the end of a planned stop."""

import asyncio
import math
from contextlib import suppress

from attrs import define, field

from pomelobarrow.kernel.clock import now_unix_s


@define
class RequestTimeouts:
    """Hold the timeouts of the requests in progress, in the order in which they began.

    Whoever answers a request removes its timeout.
    """

    end_unix_s: float = math.inf
    in_progress: dict[asyncio.Timeout, None] = field(factory=dict, init=False)

    def begin(self, deadline_unix_s: float) -> asyncio.Timeout:
        """Return the timeout of a request, for its deadline or the end of the stop."""
        end_unix_s = deadline_unix_s if deadline_unix_s < self.end_unix_s else self.end_unix_s
        timeout = asyncio.timeout(end_unix_s - now_unix_s())
        self.in_progress[timeout] = None
        return timeout

    def end_by(self, end_unix_s: float) -> None:
        """Limit the requests in progress and all later ones to this time."""
        self.end_unix_s = end_unix_s
        end_s = asyncio.get_running_loop().time() + max(0.0, end_unix_s - now_unix_s())
        for timeout in self.in_progress:
            due_s = timeout.when()
            if due_s is not None and due_s > end_s:
                # The answer of a request whose timeout is over is being sent.
                with suppress(RuntimeError):
                    timeout.reschedule(end_s)
