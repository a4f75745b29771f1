"""Print the memory that each library adds to a daemon: `python -m bench.profile.memory`."""

import importlib
import re
import sys
from pathlib import Path

# In the daemon's import order; the last module is the daemon itself.
MODULES = (
    "asyncio",
    "yaml",
    "attrs",
    "cattrs",
    "structlog",
    "aiohttp.web",
    "mode",
    "grpclib.client",
    "pomelobarrow.peers.peers_pb2",
    "aioprometheus",
    "pomelobarrow.platform.daemon",
)
_ANONYMOUS = re.compile(r"^RssAnon:\s+(\d+) kB", re.MULTILINE)
KB_PER_MB = 1_024.0


def anonymous_mb() -> float:
    """Return the anonymous memory of this process."""
    match = _ANONYMOUS.search(Path("/proc/self/status").read_text())
    return float(match[1]) / KB_PER_MB if match else 0.0


def main() -> int:
    """Import the modules in order and print the memory that each adds."""
    before_mb = anonymous_mb()
    print(f"{'interpreter':<36} {before_mb:6.1f} MB")
    for name in MODULES:
        importlib.import_module(name)
        after_mb = anonymous_mb()
        print(f"{name:<36} {after_mb - before_mb:6.1f} MB")
        before_mb = after_mb
    from pomelobarrow.kernel.plugins import load_plugins

    load_plugins()
    print(f"{'plug-ins':<36} {anonymous_mb() - before_mb:6.1f} MB")
    print(f"{'all':<36} {anonymous_mb():6.1f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
