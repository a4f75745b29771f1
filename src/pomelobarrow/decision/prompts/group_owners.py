"""Determine the servers that cache a prompt group's shared text, the same on every VM."""

from collections.abc import Mapping

from attrs import define, field

from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.published.routing import Route
from pomelobarrow.decision.requests.work import BackendServer

MAX_GROUPS = 4_096
# A pool, the regions that may serve a prompt, and the prompt's group.
_GroupKey = tuple[str, tuple[str, ...], str]
# The second owner gets what the first can't start in time. A third would mean another prefill of
# each group's prompt, in a third cache.
OWNERS_PER_GROUP = 2
# A region that was sent a group's prompt within this time still has it cached: its engines prefill
# some 200,000 tokens in that time, and their caches hold more.
WARM_RETENTION_S = 10.0


@define
class GroupOwners:
    """Assigns prompt groups to servers, memoized while the list of servers is the same.

    If each region assigned groups on its own, every region would prefill every group's prompt.
    Hashing a group over the servers of all regions gives each region a share of the groups in
    proportion to its servers, without coordination.
    """

    _servers: Mapping[str, BackendServer] = field(factory=dict)
    # By the regions that may serve the group's prompts, which differ between accounts of a route.
    _owners_by_group: dict[_GroupKey, tuple[BackendServer, ...]] = field(factory=dict)

    def owners(
        self,
        group: str,
        pool: str,
        route: Route,
        servers: Mapping[str, BackendServer],
        closed_domains: frozenset[str],
    ) -> tuple[BackendServer, ...]:
        """Return the group's servers, first choice first; empty if none may serve the route."""
        if servers is not self._servers or len(self._owners_by_group) >= MAX_GROUPS:
            self._servers = servers
            self._owners_by_group.clear()
        key = (pool, route.home_regions, group)
        if key not in self._owners_by_group:
            names = [
                server.name
                for server in servers.values()
                if server.pool == pool and _is_eligible(server, route, closed_domains)
            ]
            chosen = rendezvous(group, names, OWNERS_PER_GROUP)
            self._owners_by_group[key] = tuple(servers[name] for name in chosen)
        return self._owners_by_group[key]


@define
class SentGroups:
    """The regions that this VM recently sent each group's prompts to.

    While a group's owner is overloaded, its prompts go to another region. If they counted as
    uncached there each time, they would be sent to yet another region and prefilled there again.
    """

    _sent_unix_s: dict[str, dict[str, float]] = field(factory=dict)

    def note(self, group: str, region: str, now_unix_s: float) -> None:
        """Record that a prompt of a group was sent to a region."""
        if group not in self._sent_unix_s and len(self._sent_unix_s) >= MAX_GROUPS:
            self._sent_unix_s.clear()
        self._sent_unix_s.setdefault(group, {})[region] = now_unix_s

    def regions(self, group: str, now_unix_s: float) -> list[str]:
        """Return the regions that were recently sent a prompt of the group."""
        sent = self._sent_unix_s.get(group, {})
        return [
            each for each, unix_s in sent.items() if 0 <= now_unix_s - unix_s <= WARM_RETENTION_S
        ]


def _is_eligible(server: BackendServer, route: Route, closed_domains: frozenset[str]) -> bool:
    is_open = server.failure_domain not in closed_domains
    return is_open and not server.leaving and route.may_run_in(server.region)
