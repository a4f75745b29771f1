"""Run the daemon."""

import signal

from result import Err

from pomelobarrow.kernel.settings import load_settings
from pomelobarrow.operators.commands.base import OperatorCommand
from pomelobarrow.operators.commands.check import SETTINGS_OPTION


class ServeCommand(OperatorCommand):
    """Command that serves callers on this VM."""

    name = "serve"
    description = "Serve callers on this VM until told to stop."
    options = [SETTINGS_OPTION]
    help = """
Logs JSON lines to standard output. SIGTERM or SIGINT stops it gracefully: requests in progress
finish, new ones are refused. SIGINT meanwhile stops it at once. SIGHUP reads the settings again.
Exit code: 0 after a planned stop, 1 on a fault, 2 wrong usage.

  pomelobarrow serve --settings vm.yaml
"""

    def handle(self) -> int:
        """Load the settings and run until the daemon ends."""
        # Until the daemon installs its handler, SIGHUP would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        path = self.required_option("settings")
        loaded = load_settings(path)
        if isinstance(loaded, Err):
            return self.fail(loaded.err_value)
        # Imported late: the daemon loads every package, and the other commands don't need them.
        from pomelobarrow.kernel.daemon import run_daemon
        from pomelobarrow.operators.logs import configure_logs

        settings = loaded.ok_value
        configure_logs(settings.operators.log_level, settings.vm)
        return run_daemon(settings, reload=lambda: load_settings(path))
