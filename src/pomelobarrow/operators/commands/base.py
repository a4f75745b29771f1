"""Base class of the commands: exit codes, required options and plain output."""

from collections.abc import Iterable

from cleo.commands.command import Command
from cleo.exceptions import CleoUserError
from cleo.io.outputs.output import Type

from pomelobarrow.decision.published.checks import Fault

PROGRAM = "pomelobarrow"
EXIT_OK = 0
EXIT_FAULT = 1
EXIT_USAGE = 2


class OperatorCommand(Command):
    """Command whose output is plain, so that cleo never interprets data as markup."""

    def required_option(self, name: str) -> str:
        """Return the value of an option or raise a usage error."""
        value = self.option(name)
        if not value:
            raise CleoUserError(f"{self.name} needs --{name}")
        return str(value)

    def print_line(self, text: str) -> None:
        """Print a line to stdout."""
        self.io.write_line(text, type=Type.RAW)

    def print_error(self, text: str) -> None:
        """Print a line to stderr."""
        self.io.write_error_line(text, type=Type.RAW)

    def fail(self, faults: Iterable[Fault]) -> int:
        """Print faults and return the exit code for them."""
        for fault in faults:
            self.print_error(str(fault))
        return EXIT_FAULT
