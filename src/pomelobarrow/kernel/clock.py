"""The daemon's only source of time."""

import time

# The time of day can be set while a daemon runs, by seconds either way: deadlines would pass at
# once and live peers would look silent. CLOCK_MONOTONIC isn't set, but stands still while a VM is
# suspended, so that work would outlive its deadline. CLOCK_BOOTTIME does neither; the time of day
# is read once, at the start, and other VMs' clocks are compared by the exchanged offsets anyway.
_START_UNIX_S = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)


def now_unix_s() -> float:
    """Return Unix seconds by this VM's clock as of the process's start; never set back."""
    return _START_UNIX_S + time.clock_gettime(time.CLOCK_BOOTTIME)
