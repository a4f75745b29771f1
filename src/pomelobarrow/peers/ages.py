"""Convert between times and ages; peers exchange ages because their clocks may differ."""

MS_PER_S = 1e3


def age_ms(unix_s: float, now_unix_s: float) -> int:
    """Return the age of a time in milliseconds, zero for a time in the future."""
    return max(0, round((now_unix_s - unix_s) * MS_PER_S))


def unix_s_from_age(age_ms: int, sent_unix_s: float) -> float:
    """Return the time that had this age when the message was sent."""
    return sent_unix_s - age_ms / MS_PER_S
