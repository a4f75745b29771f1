"""Compile the generated methods of the daemon's classes, as a step of the build."""

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]


def main() -> int:
    """Import the daemon with all its plug-ins and keep the code that attrs compiles meanwhile."""
    code_cache = importlib.import_module("pomelobarrow.kernel.code_cache")
    with code_cache.recorded_code(ROOT / "target" / "attrs-code"):
        importlib.import_module("pomelobarrow.platform.daemon").import_plugins()
    return 0


if __name__ == "__main__":
    sys.exit(main())
