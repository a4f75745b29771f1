"""Decide whether this VM reaches any backend server of a pool.

Load pattern: a VM loses its links to all backend servers, while its clients, its peers and the
store still reach it. A connection that fails alone shows nothing about this VM, since a server may
crash or stay silent for a moment. So a pool counts as unreachable only after several of its servers
have failed in a row, without an answer of any of them in between.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence

from attrs import define, field

from pomelobarrow.decision.work import BackendServer

# In a pool with more servers, so many failures in a row are enough.
MAX_FAILED_SERVERS = 4
# Older failures say nothing about the links of now.
FAILURE_RETENTION_S = 10.0


@define(kw_only=True)
class ServerReachability:
    """The servers that failed to answer this VM lately, and the pools that it can't reach."""

    pool_servers: Callable[[str], Sequence[BackendServer]]
    # By pool and incarnation: when the last connection without an answer failed.
    _failed: "defaultdict[str, dict[str, float]]" = field(factory=lambda: defaultdict(dict))
    # Since when a pool has been unreachable.
    _unreachable: dict[str, float] = field(factory=dict)

    def note_answer(
        self, server: BackendServer, connected_unix_s: float, now_unix_s: float
    ) -> float | None:
        """Record an answer; return for how long its pool had been unreachable, None if it wasn't.

        An answer on a connection that was opened before another failed says nothing about it: a
        device on the way may refuse new connections and keep the open ones.
        """
        failed = self._failed.get(server.pool)
        if failed is None:
            return None
        later = {key: at for key, at in failed.items() if at > connected_unix_s}
        self._failed[server.pool] = later
        return self._end_if_reachable(server.pool, now_unix_s)

    def note_failure(self, server: BackendServer, now_unix_s: float) -> bool:
        """Record a connection without an answer; return whether its pool became unreachable."""
        self._failed[server.pool][server.incarnation] = now_unix_s
        if server.pool in self._unreachable or not self._has_failed(server.pool, now_unix_s):
            return False
        self._unreachable[server.pool] = now_unix_s
        return True

    def is_reachable(self, pool: str) -> bool:
        """Return whether this VM may reach a server of a pool."""
        return pool not in self._unreachable

    def failed_servers(self, pool: str) -> frozenset[str]:
        """Return the names of the servers that failed and have not been shown to answer since."""
        failed = self._failed.get(pool, {})
        return frozenset(s.name for s in self.pool_servers(pool) if s.incarnation in failed)

    @property
    def unreachable_pools(self) -> frozenset[str]:
        """Return the pools of which this VM reaches no server."""
        return frozenset(self._unreachable)

    def _has_failed(self, pool: str, now_unix_s: float) -> bool:
        oldest_unix_s = now_unix_s - FAILURE_RETENTION_S
        listed = {server.incarnation for server in self.pool_servers(pool)}
        recent = {
            key: at for key, at in self._failed[pool].items() if key in listed if at > oldest_unix_s
        }
        self._failed[pool] = recent
        return bool(recent) and len(recent) >= min(len(listed), MAX_FAILED_SERVERS)

    def _end_if_reachable(self, pool: str, now_unix_s: float) -> float | None:
        since_unix_s = self._unreachable.get(pool)
        if since_unix_s is None or self._has_failed(pool, now_unix_s):
            return None
        del self._unreachable[pool]
        return now_unix_s - since_unix_s
