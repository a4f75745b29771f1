"""Run a stand-in: `python -m pomelobarrow.standin engine --listen 127.0.0.1:0`."""

import sys

from cleo.application import Application
from cleo.io.inputs.argv_input import ArgvInput

from pomelobarrow.standin.commands import COMMANDS


def main() -> int:
    """Run the stand-in given by the first argument."""
    application = Application("pomelobarrow")
    for command in COMMANDS:
        application.add(command())
    return application.run(ArgvInput(["pomelobarrow", "standin", *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
