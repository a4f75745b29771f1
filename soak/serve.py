"""Run the program that the platform runs, with its metrics on a port that is free here."""

import os
import runpy
import sys
from pathlib import Path

PROGRAM = Path(__file__).parent.parent / "deploy" / "serve.py"


def main(settings_path: str, metrics_port: int) -> None:
    """Run the program; it finds the adapter's settings module already loaded and changed."""
    program = runpy.run_path(str(PROGRAM))
    from pomelobarrow.platform import settings

    os.environ[settings.SETTINGS_VARIABLE] = settings_path
    settings.METRICS_PORT = metrics_port
    sys.exit(program["main"]())


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
