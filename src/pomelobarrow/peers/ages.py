"""Convert between times and ages; peers exchange ages because their clocks may differ."""

from pomelobarrow.decision.common.bounded import saturated

MS_PER_S = 1e3
# Rounds to the nearest millisecond where the fraction is cut off.
HALF_MS = 0.5


def age_ms(unix_s: float, now_unix_s: float) -> int:
    """Return the age of a time in milliseconds as fields of 32 bits hold it, 0 in the future."""
    return saturated((now_unix_s - unix_s) * MS_PER_S + HALF_MS)


def unix_s_from_age(age_ms: int, sent_unix_s: float) -> float:
    """Return the time that had this age when the message was sent."""
    return sent_unix_s - age_ms / MS_PER_S
