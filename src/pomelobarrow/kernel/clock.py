"""The daemon's only source of time."""

import time

# The system clock may be stepped by seconds in either direction while a daemon runs: deadlines
# would pass at once and live peers would look silent. CLOCK_MONOTONIC is never stepped, but stops
# while a VM is suspended, so that work would run past its deadline. CLOCK_BOOTTIME has neither
# fault. The system clock is read once, at start; peers compare their clocks by exchanged offsets.
_START_UNIX_S = time.time() - time.clock_gettime(time.CLOCK_BOOTTIME)


def now_unix_s() -> float:
    """Return Unix seconds, counted from the system clock at process start; never steps back."""
    return _START_UNIX_S + time.clock_gettime(time.CLOCK_BOOTTIME)
