"""Take in the limit that a server names with an answer."""

from collections.abc import Callable

from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.work import BackendServer
from pomelobarrow.dispatch.events import ServerLimitNamed
from pomelobarrow.kernel.clock import now_unix_s


def record_advertised_limit(
    table: LoadTable,
    server: BackendServer,
    per_s: float | None,
    header: str,
    observe: Callable[[object], None],
) -> None:
    """Take in a server's limit, None where its answer names none, and report a change."""
    # The incarnation that it was sent to may be gone.
    if table.is_current_incarnation(server) and table.limits.observe(
        server.incarnation, per_s, now_unix_s()
    ):
        observe(ServerLimitNamed(server=server.name, limit_per_s=per_s, header=header))
