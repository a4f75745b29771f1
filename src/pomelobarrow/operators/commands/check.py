"""Check a settings file."""

from cleo.helpers import option
from result import Err

from pomelobarrow.kernel.settings import load_settings
from pomelobarrow.operators.commands.base import EXIT_OK, OperatorCommand

SETTINGS_OPTION = option("settings", "s", "This VM's settings file (YAML).", flag=False)


class CheckCommand(OperatorCommand):
    """Command that checks a whole settings file."""

    name = "check"
    description = "Check a VM's settings file and name every fault."
    options = [SETTINGS_OPTION]
    help = """
Prints each fault with its path, what was found and how to mend it.
Exit code: 0 no fault, 1 faults, 2 wrong usage.

  pomelobarrow check --settings vm.yaml
"""

    def handle(self) -> int:
        """Check the file and print the result."""
        loaded = load_settings(self.required_option("settings"))
        if isinstance(loaded, Err):
            return self.fail(loaded.err_value)
        settings = loaded.ok_value
        location = f"{settings.region}, failure domain {settings.failure_domain}"
        self.print_line(f"no fault: VM {settings.vm} in {location}")
        return EXIT_OK
