"""Distribute the region's backend servers over its live VMs."""

from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.requests.work import BackendServer


@define(kw_only=True)
class ServerShare:
    """Cache which servers are assigned to this VM for one purpose.

    Ranking dozens of VMs for each of hundreds of servers every second takes as much CPU time as
    the work on the servers itself. The ranks change only with the set of live VMs.
    """

    own_vm: str
    purpose: str
    vms_per_server: int
    _live: tuple[str, ...] = ()
    _is_own: dict[str, bool] = field(factory=dict)

    def of(self, servers: Iterable[BackendServer], live_vms: Iterable[str]) -> list[BackendServer]:
        """Return the servers that are assigned to this VM while these VMs are live."""
        live = tuple(live_vms)
        if live != self._live:
            self._live = live
            self._is_own.clear()
        return [server for server in servers if self._is_assigned(server.name)]

    def _is_assigned(self, server: str) -> bool:
        if server not in self._is_own:
            chosen = rendezvous(f"{self.purpose}/{server}", self._live, self.vms_per_server)
            self._is_own[server] = self.own_vm in chosen
        return self._is_own[server]
