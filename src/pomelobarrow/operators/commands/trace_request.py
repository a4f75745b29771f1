"""Trace one request through the logs of all VMs."""

from collections.abc import Iterator
from pathlib import Path

from cleo.helpers import argument, option

from pomelobarrow.decision.published.checks import Fault
from pomelobarrow.operators.commands.base import EXIT_FAULT, EXIT_OK, OperatorCommand
from pomelobarrow.operators.request_trail import Line, find_trail

HIDDEN_FIELDS = frozenset({"timestamp", "vm", "event", "level", "request_id"})


class TraceRequestCommand(OperatorCommand):
    """Command that prints a request's log lines and the cause of its outcome."""

    name = "trace-request"
    description = "Show what the logs of all VMs tell of one request, and the cause."
    arguments = [argument("id", "The request's id.")]
    options = [option("log", "l", "A VM's log; give one for each.", flag=False, multiple=True)]
    help = """
Prints the request's lines of all logs in the order of their times, then the cause, or that the
lines don't prove one.
Exit code: 0 lines found, 1 none or a log can't be read, 2 wrong usage.

  pomelobarrow trace-request --log vm-1.log --log vm-2.log 9c41d07be2a35f68
"""

    def handle(self) -> int:
        """Read the logs and print the lines and the cause."""
        try:
            trail = find_trail(self.argument("id"), self._log_lines())
        except OSError as error:
            fault = Fault(path="log", seen=str(error), remedy="give readable files as --log")
            return self.fail([fault])
        for line in trail.lines:
            self.print_line(_format_line(line))
        self.print_line(f"cause: {trail.cause}")
        return EXIT_OK if trail.lines else EXIT_FAULT

    def _log_lines(self) -> Iterator[str]:
        for path in self.option("log"):
            with Path(path).open(encoding="utf-8", errors="replace") as log:
                yield from log


def _format_line(line: Line) -> str:
    fields = " ".join(f"{k}={v}" for k, v in line.items() if k not in HIDDEN_FIELDS)
    return f"{line.get('timestamp')} {line.get('vm')} {line.get('event')}: {fields}"
