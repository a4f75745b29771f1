"""The platform's program from its first step on."""

import subprocess
import sys
from pathlib import Path

PROGRAM = Path(__file__).parent.parent / "deploy" / "serve.py"
# Runs the program up to its imports, whose place a module takes that sends the signal.
RUN_UNTIL_IMPORTS = """
import os, runpy, signal, sys, types
daemon = types.ModuleType("pomelobarrow.platform.daemon")
class Importing:
    def find_spec(self, name, path=None, target=None):
        if name == "pomelobarrow":
            os.kill(os.getpid(), signal.SIGHUP)
            raise SystemExit(7)
sys.meta_path.insert(0, Importing())
runpy.run_path(sys.argv[1])
"""


def test_signal_during_the_imports_does_not_end_the_program() -> None:
    """A daemon has just been started; the platform tells it of new settings.

    Its imports take half a second. Nobody handles the signal yet, so that it ended the process
    without a word, and the VM served nobody until it was started again.
    """
    finished = subprocess.run([sys.executable, "-c", RUN_UNTIL_IMPORTS, str(PROGRAM)], check=False)
    assert finished.returncode == 7
