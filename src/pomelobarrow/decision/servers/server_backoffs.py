"""Keep to the pauses that servers ask this VM for, and return to them gradually.

Load pattern: a server rejects every request for some seconds, each time with the time for which it
wants nothing. Each rejection frees its place at once, so the server has the least load in every
view and attracts the next request. After its pause, requests of all VMs would arrive in the same
moment. A VM therefore returns at a random time shortly after the pause, with a single request, and
each answer doubles the number of requests that it may have there.
"""

import math
from random import Random

from attrs import define, field

from pomelobarrow.decision.requests.work import BackendServer

# The return is delayed by up to this share of the pause.
RETURN_JITTER_SHARE = 0.2
MAX_RETURN_JITTER_S = 0.5
# A server that has answered as many requests at once as this counts as recovered.
RECOVERED_WINDOW = 64
# While requests wait for a place at a returning server, they check again after this time.
RETURN_CHECK_S = 0.05
# The return is over after this time, also if a request of it was never released.
ENDED_RETENTION_S = 60.0


@define
class _Backoff:
    """A pause, and after it the number of requests that this VM may have and has at the server."""

    until_unix_s: float = -math.inf
    return_unix_s: float = -math.inf
    window: int = 1
    in_flight: int = 0


@define
class ServerBackoffs:
    """The pauses that servers of the region asked this VM for, by incarnation."""

    rng: Random = field(factory=Random)
    _backoffs: dict[str, _Backoff] = field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Return whether no server asked for a pause that this VM has yet to return from."""
        return not self._backoffs

    def observe(self, incarnation: str, backoff_s: float, now_unix_s: float) -> bool:
        """Record a request for a pause; return whether the server was not in one already.

        Of pauses that overlap the one that ends last counts.
        """
        if backoff_s <= 0.0:
            return False
        self._forget_old(now_unix_s)
        backoff = self._backoffs.setdefault(incarnation, _Backoff())
        is_new = backoff.until_unix_s <= now_unix_s
        if now_unix_s + backoff_s <= backoff.until_unix_s:
            return False
        backoff.until_unix_s = now_unix_s + backoff_s
        jitter_s = min(MAX_RETURN_JITTER_S, RETURN_JITTER_SHARE * backoff_s)
        backoff.return_unix_s = backoff.until_unix_s + jitter_s * self.rng.random()
        backoff.window, backoff.in_flight = 1, 0
        return is_new

    def is_backing_off(self, server: BackendServer, now_unix_s: float) -> bool:
        """Return whether a server wants nothing from this VM now."""
        if not self._backoffs:
            return False
        backoff = self._backoffs.get(server.incarnation)
        return backoff is not None and now_unix_s < backoff.return_unix_s

    def next_unix_s(self, server: BackendServer, now_unix_s: float) -> float:
        """Return when this VM may send the server a request, or should check again."""
        backoff = self._backoffs.get(server.incarnation)
        if backoff is None:
            return now_unix_s
        if now_unix_s < backoff.return_unix_s:
            return backoff.return_unix_s
        is_over = now_unix_s >= backoff.return_unix_s + ENDED_RETENTION_S
        has_place = is_over or backoff.in_flight < backoff.window
        return now_unix_s if has_place else now_unix_s + RETURN_CHECK_S

    def take(self, incarnation: str, now_unix_s: float) -> None:
        """Count a request sent to a server."""
        backoff = self._returning(incarnation, now_unix_s)
        if backoff is not None:
            backoff.in_flight += 1

    def note_answer(self, incarnation: str, sent_unix_s: float) -> None:
        """Count an answer to a request of this time; its server may take twice as many now."""
        backoff = self._returning(incarnation, sent_unix_s)
        if backoff is None:
            return
        backoff.window *= 2
        if backoff.window >= RECOVERED_WINDOW:
            del self._backoffs[incarnation]

    def release(self, incarnation: str, sent_unix_s: float) -> None:
        """Free the place of a request that was sent at this time and has ended."""
        backoff = self._returning(incarnation, sent_unix_s)
        if backoff is not None and backoff.in_flight:
            backoff.in_flight -= 1

    def _forget_old(self, now_unix_s: float) -> None:
        """Drop pauses that ended long ago.

        An older copy of the list may lack a server for a moment, so the list does not decide.
        """
        oldest_unix_s = now_unix_s - ENDED_RETENTION_S
        old = [key for key, each in self._backoffs.items() if each.return_unix_s < oldest_unix_s]
        for incarnation in old:
            del self._backoffs[incarnation]

    def _returning(self, incarnation: str, sent_unix_s: float) -> _Backoff | None:
        """Return the pause that had ended when a request was sent; None if there was none."""
        backoff = self._backoffs.get(incarnation)
        return backoff if backoff and sent_unix_s >= backoff.return_unix_s else None
