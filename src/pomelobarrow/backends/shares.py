"""Share the region's backend servers out among its live VMs."""

from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.decision.rendezvous import rendezvous
from pomelobarrow.decision.work import BackendServer


@define(kw_only=True)
class ServerShare:
    """Remember which servers fall to this VM for one purpose.

    Ranking some dozens of VMs for each of some hundreds of servers every second took as much
    processor time as what was done with the servers; the ranks only change with the live VMs.
    """

    own_vm: str
    purpose: str
    vms_per_server: int
    _live: tuple[str, ...] = ()
    _is_own: dict[str, bool] = field(factory=dict)

    def of(self, servers: Iterable[BackendServer], live_vms: Iterable[str]) -> list[BackendServer]:
        """Return the servers that fall to this VM while these VMs are live."""
        live = tuple(live_vms)
        if live != self._live:
            self._live = live
            self._is_own.clear()
        return [server for server in servers if self._falls_here(server.name)]

    def _falls_here(self, server: str) -> bool:
        if server not in self._is_own:
            chosen = rendezvous(f"{self.purpose}/{server}", self._live, self.vms_per_server)
            self._is_own[server] = self.own_vm in chosen
        return self._is_own[server]
