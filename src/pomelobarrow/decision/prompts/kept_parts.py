"""Remember which backend servers have answered a prompt, and so have its shared part cached."""

import math
from collections import OrderedDict
from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.decision.requests.work import BackendServer, Work

MAX_PARTS = 4_096
# An engine that is busy replaces its whole cache in a few times this time, and a part that is used
# stays. A part believed to be cached that isn't costs its request the computation of the part.
RETENTION_S = 10.0
# The last shared block, whose hash depends on all blocks before it, and the model.
_PartKey = tuple[int, str | None]


@define
class KeptParts:
    """Remembers the last answer of each server to a prompt with a shared part.

    A server that was sent a prompt may still be computing it; one that has answered has computed
    all of it. Answers are kept by incarnation: a server that restarted has nothing cached.
    """

    _answered_unix_s: OrderedDict[_PartKey, dict[str, float]] = field(factory=OrderedDict)

    def note(self, work: Work, server: BackendServer, now_unix_s: float) -> None:
        """Record a server's first answer to a request."""
        key = _key(work)
        if key is None:
            return
        self._answered_unix_s.setdefault(key, {})[server.incarnation] = now_unix_s
        self._answered_unix_s.move_to_end(key)
        while len(self._answered_unix_s) > MAX_PARTS:
            self._answered_unix_s.popitem(last=False)

    def holders(
        self, work: Work, servers: Iterable[BackendServer], now_unix_s: float
    ) -> list[BackendServer]:
        """Return those servers that answered a prompt with the same shared part recently."""
        key = _key(work)
        answered = self._answered_unix_s.get(key) if key is not None else None
        if not answered:
            return []
        oldest_unix_s = now_unix_s - RETENTION_S
        return [s for s in servers if answered.get(s.incarnation, -math.inf) >= oldest_unix_s]

    def __len__(self) -> int:
        return len(self._answered_unix_s)


def _key(work: Work) -> _PartKey | None:
    return (work.prefix_hashes[-1], work.model) if work.prefix_hashes else None
