"""Build the command line and report every error as a message and an exit code."""

import importlib
import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from pomelobarrow import __version__
from pomelobarrow.operators.commands.base import EXIT_FAULT, EXIT_USAGE, PROGRAM
from pomelobarrow.operators.commands.check import CheckCommand
from pomelobarrow.operators.commands.config_check import ConfigCheckCommand
from pomelobarrow.operators.commands.explain import ExplainCommand
from pomelobarrow.operators.commands.serve import ServeCommand
from pomelobarrow.operators.commands.status import StatusCommand
from pomelobarrow.operators.commands.trace_request import TraceRequestCommand

COMMANDS: tuple[type[Command], ...] = (
    ServeCommand,
    CheckCommand,
    ConfigCheckCommand,
    StatusCommand,
    ExplainCommand,
    TraceRequestCommand,
)
STANDIN_MODULE = "pomelobarrow.standin.commands"
HELP_ONLY = (["--help"], ["-h"])
TRACEBACK_OPTION = "-vvv"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command; return 0 on success, 1 on a fault, 2 on wrong usage."""
    given = list(sys.argv[1:] if arguments is None else arguments)
    if given in HELP_ONLY:
        # cleo would print the help of its `list` command instead of the list of commands.
        given = []
    try:
        return _build_application(given).run(ArgvInput([PROGRAM, *given]))
    except CleoError as error:
        return _report(f"{error}\nsee `{PROGRAM} --help`", EXIT_USAGE)
    except Exception as error:
        if TRACEBACK_OPTION in given:
            raise
        remedy = f"run again with {TRACEBACK_OPTION} and report the traceback"
        return _report(f"internal error: {type(error).__name__}: {error}; {remedy}", EXIT_FAULT)


def _build_application(arguments: Sequence[str]) -> Application:
    application = Application(PROGRAM, __version__)
    # cleo would print a traceback in its own format and exit with 1 for any error.
    application.catch_exceptions(False)
    application.auto_exits(False)
    for command in COMMANDS:
        application.add(command())
    for command in _standin_commands(arguments):
        application.add(command())
    return application


def _standin_commands(arguments: Sequence[str]) -> Sequence[type[Command]]:
    """Import the stand-ins only for their own commands and for lists, never in a daemon."""
    command_names = {command.name.split()[0] for command in COMMANDS if command.name}
    requested_name = next((each for each in arguments if not each.startswith("-")), "")
    if requested_name in command_names:
        return ()
    try:
        commands: Sequence[type[Command]] = importlib.import_module(STANDIN_MODULE).COMMANDS
    except ModuleNotFoundError as error:
        # A production install may omit the stand-ins; any other missing module is an error.
        if error.name is None or not STANDIN_MODULE.startswith(error.name):
            raise
        return ()
    return commands


def _report(message: str, exit_code: int) -> int:
    print(message, file=sys.stderr)
    return exit_code
