"""Show a running daemon's status."""

from pomelobarrow.operators.commands.daemon_client import (
    ADDRESS_OPTION,
    JSON_OPTION,
    TIMEOUT_OPTION,
    DaemonQueryCommand,
)


class StatusCommand(DaemonQueryCommand):
    """Command that prints the status of a running daemon."""

    name = "status"
    description = "Show what a running daemon knows and does."
    options = [ADDRESS_OPTION, JSON_OPTION, TIMEOUT_OPTION]
    help = """
Asks GET /v1/status: revisions in force, peers, backend servers, queues.
Exit code: 0 answered, 1 not reached or refused, 2 wrong usage.

  pomelobarrow status --address 10.0.1.4:8080
"""

    def handle(self) -> int:
        """Query the daemon and print the answer."""
        return self.print_answer("/v1/status", {})
