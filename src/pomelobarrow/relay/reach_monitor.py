"""Note which backend servers answer this VM, and report pools that it can't reach."""

from collections.abc import Callable

from attrs import define

from pomelobarrow.decision.reachability import ServerReachability
from pomelobarrow.decision.work import BackendServer
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.events import PoolReachable, PoolUnreachable


@define(kw_only=True)
class ReachMonitor:
    """Record answers and failed connections of backend servers."""

    reachability: ServerReachability
    observe: Callable[[object], None]

    def note_answer(self, server: BackendServer, connected_unix_s: float) -> None:
        """Record the head of an answer on a connection that was opened at the given time."""
        unreachable_s = self.reachability.note_answer(server, connected_unix_s, now_unix_s())
        if unreachable_s is not None:
            self.observe(
                PoolReachable(pool=server.pool, server=server.name, unreachable_s=unreachable_s)
            )

    def note_failure(self, server: BackendServer, detail: str) -> None:
        """Record a connection that failed or brought no answer."""
        if self.reachability.note_failure(server, now_unix_s()):
            self.observe(
                PoolUnreachable(
                    pool=server.pool,
                    servers_failed=len(self.reachability.failed_servers(server.pool)),
                    servers_listed=len(self.reachability.pool_servers(server.pool)),
                    detail=detail,
                )
            )
