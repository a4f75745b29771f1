"""Run the daemon on the platform's machines, from the sources beside this file."""

import gc
import os
import signal
import sys
from pathlib import Path

# The platform may tell of new settings while the imports below still run, for half a second and
# more on a busy machine. Until the daemon handles that signal it would end the process, without a
# word. The settings are read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Starting takes processor time, during which nothing is served after a loss of power. The HTTP
# library builds a TLS context as it is imported, of all certificates of the machine (0.1 s), and
# nothing here speaks TLS. What imports allocate stays, so that collecting it is in vain.
os.environ["SSL_CERT_FILE"] = os.devnull
os.environ["SSL_CERT_DIR"] = os.devnull
gc.disable()
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from pomelobarrow.platform.daemon import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
