"""Run the command line: `python -m pomelobarrow`."""

import sys

from pomelobarrow.operators.cli import main

if __name__ == "__main__":
    sys.exit(main())
