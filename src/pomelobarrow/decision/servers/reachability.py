"""Decide whether this VM, and each of its peers, reaches any backend server of a pool.

Load pattern: a VM loses its links to all backend servers, while its clients, its peers and the
store still reach it. A connection that fails alone shows nothing about this VM, since a server may
crash or stay silent for a moment. So a pool counts as unreachable only after several of its servers
have failed in a row, without an answer of any of them in between.

Whether the VM's own links or all servers of the pool are at fault makes no difference to it: a peer
that reaches the pool serves the requests, and without such a peer they are refused at once.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Sequence
from itertools import islice
from random import Random

from attrs import define, field

from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.decision.requests.work import BackendServer

# In a pool with more servers, so many failures in a row are enough.
MAX_FAILED_SERVERS = 4
# Older failures say nothing about the links of now.
FAILURE_RETENTION_S = 10.0
# An answer on a connection that was opened so recently shows that a failure is the server's own.
RECENT_CONNECTION_S = 0.5
# A peer states its unreachable pools with each heartbeat, once a second; one may be late.
STATEMENT_VALID_S = 3.0
# After a refusal a peer that sends this VM no heartbeats is tried again.
REFUSAL_VALID_S = 2.0
# Pools that one peer states at a time.
MAX_STATED_POOLS = 4_096
NO_VMS: frozenset[str] = frozenset()


@define(kw_only=True)
class ServerReachability:
    """The servers that failed to answer this VM lately, and the pools that it can't reach."""

    pool_servers: Callable[[str], Sequence[BackendServer]]
    # By pool and incarnation: when the last connection without an answer failed.
    _failed: "defaultdict[str, dict[str, float]]" = field(factory=lambda: defaultdict(dict))
    # By pool: when the newest connection that brought an answer was opened.
    _connected: dict[str, float] = field(factory=dict)
    # Since when a pool has been unreachable.
    _unreachable: dict[str, float] = field(factory=dict)

    def note_answer(
        self, server: BackendServer, connected_unix_s: float, now_unix_s: float
    ) -> float | None:
        """Record an answer; return for how long its pool had been unreachable, None if it wasn't.

        An answer on a connection that was opened before another failed says nothing about it: a
        device on the way may refuse new connections and keep the open ones.
        """
        previous_unix_s = self._connected.get(server.pool, -math.inf)
        self._connected[server.pool] = max(previous_unix_s, connected_unix_s)
        failed = self._failed.get(server.pool)
        if not failed:
            return None
        later = {key: at for key, at in failed.items() if at > connected_unix_s}
        self._failed[server.pool] = later
        return self._end_if_reachable(server.pool, now_unix_s)

    def note_failure(self, server: BackendServer, opened_unix_s: float, now_unix_s: float) -> bool:
        """Record a connection that failed; return whether its pool became unreachable.

        It proves nothing if one that was opened later has been answered.
        """
        if self.is_answered_since(server.pool, opened_unix_s):
            return False
        self._failed[server.pool][server.incarnation] = now_unix_s
        if server.pool in self._unreachable or not self._has_failed(server.pool, now_unix_s):
            return False
        self._unreachable[server.pool] = now_unix_s
        return True

    def needs_probe(self, pool: str, now_unix_s: float) -> bool:
        """Return whether a pool is unreachable, or nothing shows that a failure is the server's."""
        if pool in self._unreachable:
            return True
        return now_unix_s - self._connected.get(pool, -math.inf) > RECENT_CONNECTION_S

    def servers_to_probe(self, pool: str, rng: Random) -> list[BackendServer]:
        """Return servers whose answers decide about a pool, those without a failure first."""
        failed = self.failed_servers(pool)
        servers = list(self.pool_servers(pool))
        rng.shuffle(servers)
        servers.sort(key=lambda server: server.name in failed)
        return servers[:MAX_FAILED_SERVERS]

    def forget(self, pool: str) -> None:
        """Drop all records of a pool that has no servers left."""
        self._failed.pop(pool, None)
        self._unreachable.pop(pool, None)

    def is_answered_since(self, pool: str, since_unix_s: float) -> bool:
        """Return whether a connection to the pool that was opened since then brought an answer."""
        return self._connected.get(pool, -math.inf) > since_unix_s

    @property
    def answered_pools(self) -> Collection[str]:
        """Return the pools of which a server has ever answered this VM."""
        return self._connected.keys()

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


@define
class PeerReachability:
    """The pools of which peers reach no server, by their own statements."""

    # Called with the keys of pools that a VM of this region did not state before.
    listeners: list[Callable[[Collection[int]], None]] = field(factory=list)
    # By VM and key of the pool: until when the statement holds.
    _unreachable: dict[str, dict[int, float]] = field(factory=dict)

    def observe(
        self,
        vm: str,
        pool_keys: Iterable[int],
        now_unix_s: float,
        is_same_region: bool = True,
    ) -> None:
        """Replace what a peer stated before."""
        stated = islice(pool_keys, MAX_STATED_POOLS)
        until_by_key = dict.fromkeys(stated, now_unix_s + STATEMENT_VALID_S)
        if not until_by_key:
            self.forget(vm)
            return
        new_keys = until_by_key.keys() - self._unreachable.get(vm, {}).keys()
        self._unreachable[vm] = until_by_key
        if new_keys and is_same_region:
            for listener in self.listeners:
                listener(new_keys)

    def note_refusal(self, vm: str, pool: str, now_unix_s: float) -> None:
        """Record that a peer refused a request since it reaches no server of the pool."""
        until_by_key = self._unreachable.setdefault(vm, {})
        until_by_key[short_key(pool)] = now_unix_s + REFUSAL_VALID_S

    def unreachable_vms(self, pool: str, now_unix_s: float) -> frozenset[str]:
        """Return the peers that reach no server of a pool."""
        if not self._unreachable:
            return NO_VMS
        key = short_key(pool)
        return frozenset(
            vm
            for vm, until_by_key in self._unreachable.items()
            if until_by_key.get(key, 0.0) > now_unix_s
        )

    def is_reachable(self, vm: str, pool: str, now_unix_s: float) -> bool:
        """Return whether a peer may reach a server of a pool."""
        return vm not in self.unreachable_vms(pool, now_unix_s)

    def forget(self, vm: str) -> None:
        """Drop what a peer that has gone stated."""
        self._unreachable.pop(vm, None)
