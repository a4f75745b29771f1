"""Run the daemon with the settings file that the platform provides."""

import sys

from result import Err

from pomelobarrow.kernel.daemon import run_daemon
from pomelobarrow.kernel.plugins import import_plugins
from pomelobarrow.operators.logs import configure_logs
from pomelobarrow.platform.settings import load_settings

__all__ = ["import_plugins", "main"]

EXIT_FAULT = 1


def main() -> int:
    """Serve until a planned stop has finished; return the exit code."""
    loaded = load_settings()
    if isinstance(loaded, Err):
        for fault in loaded.err_value:
            print(fault, file=sys.stderr)
        return EXIT_FAULT
    settings = loaded.ok_value
    configure_logs(settings.operators.log_level, settings.vm)
    # The build installs only the locked libraries, none of which holds a plug-in. Looking for one
    # reads the metadata of each.
    return run_daemon(settings, reload=load_settings, with_installed=False)
