"""Record what a backend server states about itself with an answer."""

from collections.abc import Callable

from pomelobarrow.decision.published.announcements import ServerAnnouncement
from pomelobarrow.decision.requests.short_key import server_key
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.departures import DepartureSource
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.dispatch.events import PoolBrittle, ServerBackoffRequested, ServerLimitNamed
from pomelobarrow.kernel.clock import now_unix_s


def record_announcement(
    table: LoadTable,
    server: BackendServer,
    announced: ServerAnnouncement,
    observe: Callable[[object], None],
) -> None:
    """Record a server's departure, its brittleness, its pause for this VM and its rate limit."""
    now = now_unix_s()
    if announced.is_leaving:
        table.departures.observe(server_key(server), DepartureSource.ANSWER, now)
    # The server may have been replaced by another incarnation since the request was sent.
    if not table.is_current_incarnation(server):
        return
    brittle, is_brittle = table.limits.brittle, announced.max_rejected_per_s is not None
    if brittle.observe(server.pool, is_brittle, now):
        observe(
            PoolBrittle(pool=server.pool, server=server.name, per_s=announced.max_rejected_per_s)
        )
    if announced.is_rejected:
        brittle.note_rejection(server, now)
    backoff_s = announced.backoff_s or 0.0
    if table.limits.backoffs.observe(server.incarnation, backoff_s, now):
        observe(ServerBackoffRequested(server=server.name, pool=server.pool, backoff_s=backoff_s))
    if table.limits.observe(server.incarnation, announced.limit_per_s, now):
        observe(
            ServerLimitNamed(
                server=server.name,
                limit_per_s=announced.limit_per_s,
                header=announced.limit_header,
            )
        )
