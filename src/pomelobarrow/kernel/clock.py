"""The daemon's only source of time."""

import time


def now_unix_s() -> float:
    """Return Unix seconds by this VM's clock."""
    return time.time()
