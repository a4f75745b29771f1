"""Run the daemon with a baseline policy in place of the gateway's server choice."""

import argparse
import sys

from result import Err

from bench.baselines import CHOOSERS
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.daemon import run_daemon
from pomelobarrow.kernel.hooks import PhasedService, hookimpl
from pomelobarrow.kernel.settings import load_settings
from pomelobarrow.operators.logs import configure_logs


class BaselinePlugin:
    """Plug-in that replaces the server choice when the daemon starts."""

    def __init__(self, policy: str) -> None:
        self._policy = policy

    @hookimpl
    def services(self, context: Context) -> list[PhasedService]:
        """Set the policy's server choice; add no service."""
        context.get(LocalDispatch).choose = CHOOSERS[self._policy]()
        return []


def main() -> int:
    """Serve until stopped."""
    parser = argparse.ArgumentParser(prog="bench.baseline_daemon")
    parser.add_argument("--policy", choices=sorted(CHOOSERS), required=True)
    parser.add_argument("--settings", required=True)
    options = parser.parse_args()
    loaded = load_settings(options.settings)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        return 1
    settings = loaded.ok_value
    configure_logs(settings.operators.log_level, settings.vm)
    return run_daemon(settings, (BaselinePlugin(options.policy),))


if __name__ == "__main__":
    sys.exit(main())
