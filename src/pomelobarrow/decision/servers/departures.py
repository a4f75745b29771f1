"""Remember which backend servers leave, by whatever way they said so.

A server may state that it leaves in its answers, in its load reports and in the platform's list.
The statement holds for its incarnation and is never taken back: an answer that left the server
earlier, a delayed report or an old copy of the list may lack it, and the server may exit at any
time. A server that starts again is another incarnation.
"""

import enum
from collections.abc import Callable, Iterable

from attrs import define, evolve, field

from pomelobarrow.decision.requests.short_key import server_key
from pomelobarrow.decision.requests.work import BackendServer

# A server that has left the list may return to it with an old copy of the list, or as one whose
# lease is renewed late.
UNLISTED_RETENTION_S = 600.0
# Incarnations that only peers have stated to leave; each VM passes them on to all others.
MAX_STATED_BY_PEERS = 8_192


class DepartureSource(enum.Enum):
    """By which way this VM learned that a server leaves."""

    ANSWER = "answer"
    PEER_ANSWER = "answer passed on by a peer"
    PEER = "peer"
    REPORT = "load report"


# Called with the key of an incarnation and the way by which its departure became known.
DepartureListener = Callable[[int, DepartureSource], None]


@define
class Departures:
    """The incarnations of servers that leave, by key."""

    # Notified of each departure that is new to this VM.
    listeners: list[DepartureListener] = field(factory=list)
    # When each was last listed, or else stated that it leaves.
    _last_known_unix_s: dict[int, float] = field(factory=dict)

    @property
    def keys(self) -> frozenset[int]:
        """Return the keys of all incarnations that leave."""
        return frozenset(self._last_known_unix_s)

    def record(self, key: int, now_unix_s: float) -> bool:
        """Record that an incarnation leaves, as listed; return whether this is new."""
        is_new = key not in self._last_known_unix_s
        self._last_known_unix_s[key] = now_unix_s
        return is_new

    def observe(self, key: int, source: DepartureSource, now_unix_s: float) -> None:
        """Record that an incarnation leaves, and notify the listeners if this is new."""
        is_of_peer = source is DepartureSource.PEER
        if is_of_peer and len(self._last_known_unix_s) >= MAX_STATED_BY_PEERS:
            return
        if not self.record(key, now_unix_s):
            return
        for listener in self.listeners:
            listener(key, source)

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server leaves, by its entry in the list or by its own statement."""
        if server.leaving or not self._last_known_unix_s:
            return server.leaving
        return server_key(server) in self._last_known_unix_s

    def marked(self, server: BackendServer) -> BackendServer:
        """Return a server with the departure that this VM knows of."""
        if server.leaving or not self.is_leaving(server):
            return server
        return evolve(server, leaving=True)

    def forget_old(self, listed: Iterable[BackendServer], now_unix_s: float) -> None:
        """Drop the incarnations that have not been listed for a long time."""
        if not self._last_known_unix_s:
            return
        for key in self._last_known_unix_s.keys() & set(map(server_key, listed)):
            self._last_known_unix_s[key] = now_unix_s
        oldest_unix_s = now_unix_s - UNLISTED_RETENTION_S
        self._last_known_unix_s = {
            key: unix_s
            for key, unix_s in self._last_known_unix_s.items()
            if unix_s >= oldest_unix_s
        }
