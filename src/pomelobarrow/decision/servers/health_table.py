"""Keep the health of each listed server."""

import math
from collections.abc import Sequence

from attrs import define, field

from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.server_health import ServerHealth


@define
class HealthTable:
    """The health of the listed servers by name; other names are ignored."""

    _health: dict[str, ServerHealth] = field(factory=dict)
    # From then on no server is ejected.
    _ejected_until_unix_s: float = -math.inf

    def add(self, server_name: str) -> None:
        """Add a listed server, or keep what is known of it."""
        self._health.setdefault(server_name, ServerHealth())

    def forget(self, server_name: str) -> None:
        """Drop a server."""
        self._health.pop(server_name, None)

    def mark_failed(self, server_name: str, now_unix_s: float) -> None:
        """Record that a server was unreachable or broke off an answer."""
        if health := self._health.get(server_name):
            health.mark_failed(now_unix_s)
            self._note_ejection(health)

    def mark_ok(self, server_name: str, now_unix_s: float) -> None:
        """Record that a server answered."""
        if health := self._health.get(server_name):
            health.mark_ok(now_unix_s)

    def forgive(self, server_name: str) -> None:
        """Drop a server's failures and ejections."""
        if server_name in self._health:
            self._health[server_name] = ServerHealth()

    def eject(self, server_name: str, now_unix_s: float) -> None:
        """Eject a server for a while."""
        if health := self._health.get(server_name):
            health.eject(now_unix_s)
            self._note_ejection(health)

    def is_ejected(self, server_name: str, now_unix_s: float) -> bool:
        """Return whether a server gets no work because of recent failures."""
        health = self._health.get(server_name)
        return health is not None and health.is_ejected(now_unix_s)

    def without_ejected(
        self, servers: Sequence[BackendServer], now_unix_s: float
    ) -> Sequence[BackendServer]:
        """Return the servers that aren't ejected."""
        if now_unix_s >= self._ejected_until_unix_s:
            return servers
        return [s for s in servers if not self._health[s.name].is_ejected(now_unix_s)]

    def admitted_share(self, server_name: str, now_unix_s: float) -> float:
        """Return the share of its slots that a server may fill."""
        return self._health[server_name].admitted_share(now_unix_s)

    def _note_ejection(self, health: ServerHealth) -> None:
        self._ejected_until_unix_s = max(self._ejected_until_unix_s, health.ejected_until_unix_s)
