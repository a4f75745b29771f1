"""Say times as ages, since a peer's clock may differ from this VM's."""

MS_PER_S = 1e3


def age_ms(unix_s: float, now_unix_s: float) -> int:
    """Return how long ago a time is, zero for one in the future."""
    return max(0, round((now_unix_s - unix_s) * MS_PER_S))


def time_of(age_ms: int, sent_unix_s: float) -> float:
    """Return the time that had this age when it was told."""
    return sent_unix_s - age_ms / MS_PER_S
