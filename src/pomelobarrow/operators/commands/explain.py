"""Show where a request would be placed now."""

from cleo.helpers import option

from pomelobarrow.operators.commands.daemon_client import (
    ADDRESS_OPTION,
    JSON_OPTION,
    TIMEOUT_OPTION,
    DaemonQueryCommand,
)


class ExplainCommand(DaemonQueryCommand):
    """Command that explains a placement without running a request."""

    name = "explain"
    description = "Say where a request of a class and account would go now, and why."
    options = [
        ADDRESS_OPTION,
        option("class", "c", "Name of the class of work.", flag=False),
        option("account", None, "Name of the account.", flag=False),
        JSON_OPTION,
        TIMEOUT_OPTION,
    ]
    help = """
Asks GET /v1/explain; nothing is run.
Exit code: 0 answered, 1 not reached or refused, 2 wrong usage.

  pomelobarrow explain --address 10.0.1.4:8080 --class draft --account shop-17
"""

    def handle(self) -> int:
        """Query the daemon and print the answer."""
        query = {name: self.required_option(name) for name in ("class", "account")}
        return self.print_answer("/v1/explain", query)
