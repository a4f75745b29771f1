"""Choose the VM that places long prompts on a backend server, the same on every VM.

Where 65 VMs send a region's long prompts to 18 engines, each VM receives the load of only a quarter
of the others, a second late. Its estimate then doesn't predict when an engine answers: long prompts
queue at one engine while another is idle, and some are refused unnecessarily. So they are forwarded
to one VM per server, which has itself sent all the prompt tokens pending there and can tell which
prompts the server has cached. With 60 VMs, 119 of 4,900 streams pause too long, against 280 if
every VM places its own prompts.
"""

from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.requests.work import BackendServer

# More than the pools of all regions have servers.
MAX_CACHED_SERVERS = 4_096


@define
class Coordinators:
    """Determines each server's coordinator, memoized while the candidates are the same."""

    _chosen_by_server: dict[str, tuple[frozenset[str], str]] = field(factory=dict)

    def of(self, server: BackendServer, members: Iterable[Member]) -> Member | None:
        """Return the coordinator, a member in the server's failure domain if there is one.

        The views of two VMs differ briefly after a member joins or leaves. A server then has two
        coordinators, which receive each other's load like any two VMs.
        """
        by_vm = {member.vm: member for member in members}
        domain = server.failure_domain
        in_domain = {vm for vm, member in by_vm.items() if member.failure_domain == domain}
        candidates = frozenset(in_domain or by_vm)
        if not candidates:
            return None
        known = self._chosen_by_server.get(server.name)
        if known is not None and known[0] == candidates:
            return by_vm[known[1]]
        if len(self._chosen_by_server) >= MAX_CACHED_SERVERS:
            self._chosen_by_server.clear()
        chosen = rendezvous(server.name, candidates, 1)[0]
        self._chosen_by_server[server.name] = (candidates, chosen)
        return by_vm[chosen]
