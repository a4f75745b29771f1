"""Reject requests for which a stand-in has no room, and fall over after too many rejections."""

import os
import time
from collections import deque
from collections.abc import Mapping
from typing import Any

from aiohttp import web
from attrs import define, field

from pomelobarrow.standin.runtime import CRASH_EXIT_CODE

BRITTLE_HEADER = "X-Server-Brittle"
NO_ROOM = "no_room"
PERIOD_S = 1.0


@define(kw_only=True)
class Room:
    """How many requests may wait, and how many rejections a second the process survives."""

    slots: int
    # None: any number may wait.
    max_waiting: int | None = None
    # None: any number of rejections is survived, and no header states a limit.
    brittle_per_s: float | None = None
    _rejected_s: deque[float] = field(factory=deque)

    def update(self, body: Mapping[str, Any]) -> None:
        """Apply a control call."""
        self.max_waiting = body.get("max_waiting", self.max_waiting)
        self.brittle_per_s = body.get("brittle_per_s", self.brittle_per_s)

    def rejects(self, accepted: int) -> bool:
        """Return whether one request more is rejected; end the process after too many of them."""
        if self.max_waiting is None or accepted < self.slots + self.max_waiting:
            return False
        now_s = time.monotonic()
        self._rejected_s.append(now_s)
        while self._rejected_s[0] <= now_s - PERIOD_S:
            self._rejected_s.popleft()
        if self.brittle_per_s is not None and len(self._rejected_s) > self.brittle_per_s:
            os._exit(CRASH_EXIT_CODE)
        return True

    async def add_header(self, request: web.Request, response: web.StreamResponse) -> None:
        """State the survived rejections a second with a response that is about to be sent."""
        if self.brittle_per_s is not None:
            response.headers[BRITTLE_HEADER] = str(self.brittle_per_s)
