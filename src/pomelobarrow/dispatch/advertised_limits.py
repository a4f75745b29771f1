"""Record the rate limit that a server states with an answer."""

from collections.abc import Callable

from pomelobarrow.decision.announcements import ServerAnnouncement
from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.work import BackendServer
from pomelobarrow.dispatch.events import ServerLimitNamed
from pomelobarrow.kernel.clock import now_unix_s


def record_advertised_limit(
    table: LoadTable,
    server: BackendServer,
    announced: ServerAnnouncement,
    observe: Callable[[object], None],
) -> None:
    """Record a server's limit, None if its answer states none, and report a change."""
    # The server may have been replaced by another incarnation since the request was sent.
    if table.is_current_incarnation(server) and table.limits.observe(
        server.incarnation, announced.limit_per_s, now_unix_s()
    ):
        observe(
            ServerLimitNamed(
                server=server.name,
                limit_per_s=announced.limit_per_s,
                header=announced.limit_header,
            )
        )
