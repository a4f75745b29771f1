"""Name the server that keeps a prompt group warm, the same on every VM."""

from collections.abc import Mapping

from attrs import define, field

from pomelobarrow.decision.rendezvous import rendezvous
from pomelobarrow.decision.routing import Route
from pomelobarrow.decision.work import BackendServer

MAX_GROUPS = 4_096


@define
class GroupOwners:
    """Hold the last answers; they count while the list of servers is the same.

    Each region on its own would read every group's prompt once more. Hashing the group over the
    servers of all regions gives each of them its part, by the number of its servers, with nothing
    exchanged.
    """

    _servers: Mapping[str, BackendServer] = field(factory=dict)
    _owner_by_group: dict[tuple[str, str], BackendServer | None] = field(factory=dict)

    def owner(
        self,
        group: str,
        pool: str,
        route: Route,
        servers: Mapping[str, BackendServer],
        closed_domains: frozenset[str],
    ) -> BackendServer | None:
        """Return the group's server, None where none may serve the route."""
        if servers is not self._servers or len(self._owner_by_group) >= MAX_GROUPS:
            self._servers = servers
            self._owner_by_group.clear()
        key = (route.name, group)
        if key not in self._owner_by_group:
            names = [
                server.name
                for server in servers.values()
                if server.pool == pool and _is_eligible(server, route, closed_domains)
            ]
            chosen = rendezvous(group, names, 1)
            self._owner_by_group[key] = servers[chosen[0]] if chosen else None
        return self._owner_by_group[key]


def _is_eligible(server: BackendServer, route: Route, closed_domains: frozenset[str]) -> bool:
    is_open = server.failure_domain not in closed_domains
    return is_open and not server.leaving and route.may_run_in(server.region)
