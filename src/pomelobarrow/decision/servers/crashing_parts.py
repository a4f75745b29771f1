"""Decide which parts of the requests on a crashed server may have crashed it.

Load pattern: one part of prompts crashes each server that begins to answer it, whatever else the
request holds, so that no two such requests are alike. Dozens of other requests are on a server that
crashes, most of them with the same first part. Servers also crash by themselves, many at once.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence

from attrs import define, field

# An answer that goes on for this long has been begun by a server that did not crash on it.
ANSWER_SURVIVED_S = 0.25
# Answers per pool that are compared with the requests on a crashed server.
RECENT_ANSWERS = 32


@define(kw_only=True)
class PartAnswers:
    """The parts of the prompts that servers have recently answered, by pool."""

    # Returns when a server last answered a prompt with a part, minus infinity if never.
    answered_unix_s: Callable[[int], float]
    _recent_by_pool: dict[str, deque[tuple[float, frozenset[int]]]] = field(factory=dict)

    def note(self, pool: str, parts: Iterable[int], now_unix_s: float) -> None:
        """Record an answer to a prompt with these parts."""
        recent = self._recent_by_pool.setdefault(pool, deque(maxlen=RECENT_ANSWERS))
        recent.append((now_unix_s, frozenset(parts)))

    def suspects(self, pool: str, parts: Iterable[int]) -> list[int]:
        """Return the parts without an answer since the pool last answered a prompt without them.

        While a pool answers nothing at all, its servers crash for a reason of their own.
        """
        recent = self._recent_by_pool.get(pool, ())
        return [part for part in parts if self._is_suspect(part, recent)]

    def presumed(self, pool: str, parts: Sequence[int]) -> list[int]:
        """Return the last of these parts if this VM knows no answer of the pool at all yet.

        The parts before it are shared by more prompts, which would all be refused with them.
        """
        narrowest = parts[-1:]
        is_unknown = pool not in self._recent_by_pool
        is_unanswered = all(self.answered_unix_s(part) == -math.inf for part in narrowest)
        return list(narrowest) if is_unknown and is_unanswered else []

    def _is_suspect(self, part: int, recent: Iterable[tuple[float, frozenset[int]]]) -> bool:
        last_unix_s = self.answered_unix_s(part)
        return any(at > last_unix_s and part not in others for at, others in recent)
