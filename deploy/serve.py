"""Run the daemon on the platform's machines, from the sources beside this file."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from pomelobarrow.platform.daemon import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
