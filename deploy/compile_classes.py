"""Compile what a start of the daemon imports, as a step of the build."""

import importlib
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]


def main() -> int:
    """Import the daemon with all its plug-ins; keep its modules and the code attrs compiles."""
    code_cache = importlib.import_module("pomelobarrow.kernel.code_cache")
    pattern_cache = importlib.import_module("pomelobarrow.kernel.pattern_cache")
    patterns = pattern_cache.recorded_patterns(ROOT / "target" / "patterns")
    with patterns, code_cache.recorded_code(ROOT / "target" / "attrs-code"):
        importlib.import_module("pomelobarrow.platform.daemon").import_plugins()
    recording = importlib.import_module("pomelobarrow.kernel.module_recording")
    recording.record_modules(ROOT / "target" / "modules", ROOT)
    return 0


if __name__ == "__main__":
    sys.exit(main())
