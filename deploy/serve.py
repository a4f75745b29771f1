"""Run the daemon on the platform's machines, from the sources beside this file."""

import signal
import sys
from pathlib import Path

# The platform may tell of new settings while the imports below still run, for half a second and
# more on a busy machine. Until the daemon handles that signal it would end the process, without a
# word. The settings are read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from pomelobarrow.platform.daemon import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
