"""Wait for the rest of a request's body, or refuse the request when a planned stop needs it."""

import asyncio
from collections.abc import Callable

from attrs import define


@define(eq=False)
class BodyWait:
    """Wait for one body until its deadline, or until it is refused."""

    deadline_unix_s: float
    # None once the body has arrived or is waited for no more.
    timeout: asyncio.Timeout | None
    is_refused: bool = False

    def refuse(self) -> bool:
        """End the wait, so that its reader refuses the request; return whether it still lasted."""
        if self.timeout is None or self.is_refused or self.timeout.expired():
            return False
        self.is_refused = True
        self.timeout.reschedule(asyncio.get_running_loop().time())
        return True


# Returns whether a body may still be waited for, by its deadline.
MayWait = Callable[[float], bool]


def wait_for_none(deadline_unix_s: float) -> bool:
    """Return that no body is waited for."""
    return False
