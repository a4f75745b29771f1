"""Derive the timeout of a member from the intervals of its heartbeats."""

import math

from attrs import define, field

MIN_TIMEOUT_S = 2.5
MAX_TIMEOUT_S = 15.0
# Timeout of a member that has sent heartbeats but too few to know their interval, normally one
# second. With the maximum timeout, work was forwarded for 15 s to VMs that had lost power just
# after their start.
UNKNOWN_INTERVAL_TIMEOUT_S = 5.0
# Weights of a new interval in the moving averages, as in TCP's retransmission timer (RFC 6298).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
# Intervals shorter than this share of the mean belong to heartbeats that were queued together.
BURST_SHARE = 1 / 4
# With fewer intervals, a short first one would make the next normal one count as silence.
MIN_INTERVALS = 4
# Allows for two lost heartbeats, and for the delay of a few deviations on a lossless link.
MEAN_FACTOR = 3.0
DEVIATION_FACTOR = 4.0


@define
class HeartbeatTimer:
    """Adaptive timeout of a member, from its last evidence and its heartbeat interval."""

    last_seen_unix_s: float | None = None
    mean_s: float | None = field(default=None, init=False)
    deviation_s: float = field(default=0.0, init=False)
    _intervals: int = field(default=0, init=False)
    _restarted_unix_s: float | None = field(default=None, init=False)
    _report_timeout_s: float | None = field(default=None, init=False)
    # Whether the next heartbeat ends an interval that started with a heartbeat.
    _in_interval: bool = field(default=False, init=False)
    # Whether the last evidence was the member's own heartbeat rather than a report.
    _is_direct: bool = field(default=False, init=False)

    def observe_heartbeat(self, now_unix_s: float) -> None:
        """Record a heartbeat of the member."""
        if self.last_seen_unix_s is not None and self._in_interval:
            self._observe_interval(now_unix_s - self.last_seen_unix_s)
        self.last_seen_unix_s = now_unix_s
        self._restarted_unix_s = None
        self._in_interval = self._is_direct = True

    def observe_report(self, last_seen_unix_s: float, timeout_s: float | None = None) -> None:
        """Record a report that another VM saw the member; it resets the known interval."""
        self._report_timeout_s = timeout_s
        self.last_seen_unix_s = last_seen_unix_s
        self.mean_s = None
        self._intervals = 0
        self._restarted_unix_s = None
        self._in_interval = self._is_direct = False

    def restart(self, now_unix_s: float) -> None:
        """Count the silence from now and discard the interval in progress."""
        self._restarted_unix_s = now_unix_s
        self._in_interval = False

    def _observe_interval(self, interval_s: float) -> None:
        # The end of a long silence is no regular interval; it would raise the timeout to the
        # maximum.
        if not 0 <= interval_s <= MAX_TIMEOUT_S:
            return
        self._intervals += 1
        if self.mean_s is None:
            self.mean_s, self.deviation_s = interval_s, interval_s / 2
            return
        # Heartbeats queued in a socket arrive together. Their intervals would reduce the timeout so
        # far that a healthy member becomes suspect.
        if interval_s < self.mean_s * BURST_SHARE:
            return
        error_s = abs(interval_s - self.mean_s)
        self.deviation_s += DEVIATION_GAIN * (error_s - self.deviation_s)
        self.mean_s += MEAN_GAIN * (interval_s - self.mean_s)

    @property
    def timeout_s(self) -> float:
        """Return the silence after which the member is suspect."""
        if not self._is_direct:
            return self._report_timeout_s or MAX_TIMEOUT_S
        if self.mean_s is None or self._intervals < MIN_INTERVALS:
            return UNKNOWN_INTERVAL_TIMEOUT_S
        expected_s = MEAN_FACTOR * self.mean_s + DEVIATION_FACTOR * self.deviation_s
        return min(max(expected_s, MIN_TIMEOUT_S), MAX_TIMEOUT_S)

    def silence_s(self, now_unix_s: float) -> float:
        """Return how long the member has been silent, not counting time before a restart."""
        since_unix_s = self._restarted_unix_s
        if since_unix_s is None:
            since_unix_s = (
                self.last_seen_unix_s if self.last_seen_unix_s is not None else now_unix_s
            )
        return max(0.0, now_unix_s - since_unix_s)

    @property
    def due_unix_s(self) -> float:
        """Return when the silence reaches the timeout."""
        since_unix_s = self._restarted_unix_s
        if since_unix_s is None:
            since_unix_s = self.last_seen_unix_s
        return math.inf if since_unix_s is None else since_unix_s + self.timeout_s

    def is_overdue(self, now_unix_s: float) -> bool:
        """Return whether the silence exceeds the timeout."""
        return now_unix_s > self.due_unix_s

    def awaits_heartbeat(self, now_unix_s: float) -> bool:
        """Return whether a restarted timer has seen no evidence yet and isn't overdue."""
        return self._restarted_unix_s is not None and not self.is_overdue(now_unix_s)
