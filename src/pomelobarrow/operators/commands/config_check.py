"""Check configuration before it is published."""

from pathlib import Path
from typing import cast

from cleo.helpers import argument
from result import Err

from pomelobarrow.decision.published.configuration_check import check_configuration
from pomelobarrow.kernel.yaml_file import read_file
from pomelobarrow.operators.commands.base import EXIT_OK, OperatorCommand

UNPUBLISHED_REVISION = 0


class ConfigCheckCommand(OperatorCommand):
    """Command that checks a whole file of configuration keys and values."""

    name = "config check"
    description = "Check configuration before it is published and name every fault."
    arguments = [
        argument("file", "JSON or YAML file: one mapping from keys, as published, to values.")
    ]
    help = """
The file maps keys such as classes/draft or accounts/shop-17 to their values and holds the whole
configuration, since references between keys are checked too. Daemons make the same check and
refuse a revision with faults.
Exit code: 0 no fault, 1 faults, 2 wrong usage.

  pomelobarrow config check published.yaml
"""

    def handle(self) -> int:
        """Check the file and print the result."""
        decoded = read_file(Path(cast(str, self.argument("file"))))
        if isinstance(decoded, Err):
            return self.fail([decoded.err_value])
        checked = check_configuration(decoded.ok_value, UNPUBLISHED_REVISION)
        if isinstance(checked, Err):
            return self.fail(checked.err_value)
        configuration = checked.ok_value
        counts = {
            "pools": configuration.pools,
            "classes": configuration.classes,
            "models": configuration.models,
            "accounts": configuration.accounts,
        }
        shown = ", ".join(f"{len(items)} {kind}" for kind, items in counts.items())
        self.print_line(f"no fault: {shown}, objective {configuration.objective.value}")
        return EXIT_OK
