"""Memoize which servers a prompt group hashes to."""

from collections.abc import Sequence

from attrs import define, field

from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.requests.work import BackendServer

# The second one is used while the first may get no work.
SERVERS_PER_GROUP = 2
MAX_GROUPS = 4_096


@define
class GroupServers:
    """Memoizes a pool's group servers, as hashing over hundreds of servers each time is slow."""

    _pool: Sequence[BackendServer] = ()
    _by_key: dict[int, tuple[BackendServer, ...]] = field(factory=dict)

    def of(self, key: int, pool: Sequence[BackendServer]) -> tuple[BackendServer, ...]:
        """Return the group's servers, first choice first."""
        if pool is not self._pool or len(self._by_key) >= MAX_GROUPS:
            self._pool = pool
            self._by_key.clear()
        servers = self._by_key.get(key)
        if servers is None:
            by_name = {server.name: server for server in pool}
            names = rendezvous(str(key), by_name, SERVERS_PER_GROUP)
            servers = self._by_key[key] = tuple(by_name[name] for name in names)
        return servers
