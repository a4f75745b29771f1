"""Judge a member's silence by the heartbeats it used to send."""

import math

from attrs import define, field

FLOOR_S = 2.5
CEILING_S = 15.0
# What a member is allowed that has spoken itself, until its pace is known: heartbeats come each
# second. Work was passed on to VMs without power for 15 s that had just started.
UNKNOWN_INTERVAL_TIMEOUT_S = 5.0
# Weights of a new interval in the mean and in the deviation, as in TCP's retransmission timer.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
# Intervals shorter than this share of the mean come from heartbeats that waited together.
BURST_SHARE = 1 / 4
# Too few intervals say little of the pace; a first short one would make the next look like silence.
INTERVALS_TO_TRUST = 4
# A lossless link delays a heartbeat by a few deviations; two are also allowed to be lost.
MEANS_ALLOWED = 3.0
DEVIATIONS_ALLOWED = 4.0


@define
class HeartbeatTimer:
    """Hold when a member was last heard and how regularly it speaks."""

    last_seen_unix_s: float | None = None
    mean_s: float | None = field(default=None, init=False)
    deviation_s: float = field(default=0.0, init=False)
    _intervals: int = field(default=0, init=False)
    _restarted_unix_s: float | None = field(default=None, init=False)
    _word_timeout_s: float | None = field(default=None, init=False)
    # Whether the last word came from the member itself, so that the next one ends an interval.
    _in_interval: bool = field(default=False, init=False)
    # Whether it was the member itself that was heard last, not one that told of it.
    _spoke_itself: bool = field(default=False, init=False)

    def hear(self, now_unix_s: float) -> None:
        """Take a heartbeat."""
        if self.last_seen_unix_s is not None and self._in_interval:
            self._learn(now_unix_s - self.last_seen_unix_s)
        self.last_seen_unix_s = now_unix_s
        self._restarted_unix_s = None
        self._in_interval = self._spoke_itself = True

    def hear_of(self, last_seen_unix_s: float, timeout_s: float | None = None) -> None:
        """Take word from another that it was heard; this says nothing of its interval."""
        self._word_timeout_s = timeout_s
        self.last_seen_unix_s = last_seen_unix_s
        self.mean_s = None
        self._intervals = 0
        self._restarted_unix_s = None
        self._in_interval = self._spoke_itself = False

    def restart(self, now_unix_s: float) -> None:
        """Count the silence from now; the interval under way teaches nothing."""
        self._restarted_unix_s = now_unix_s
        self._in_interval = False

    def _learn(self, interval_s: float) -> None:
        # The end of a long silence is no interval: it would stretch the timeout to the ceiling.
        if not 0 <= interval_s <= CEILING_S:
            return
        self._intervals += 1
        if self.mean_s is None:
            self.mean_s, self.deviation_s = interval_s, interval_s / 2
            return
        # Heartbeats that waited in a socket arrive together. Learnt from, they would shrink the
        # timeout, and a healthy member would be suspect.
        if interval_s < self.mean_s * BURST_SHARE:
            return
        error_s = abs(interval_s - self.mean_s)
        self.deviation_s += DEVIATION_GAIN * (error_s - self.deviation_s)
        self.mean_s += MEAN_GAIN * (interval_s - self.mean_s)

    @property
    def timeout_s(self) -> float:
        """Return the silence after which the member is suspect."""
        if not self._spoke_itself:
            return self._word_timeout_s or CEILING_S
        if self.mean_s is None or self._intervals < INTERVALS_TO_TRUST:
            return UNKNOWN_INTERVAL_TIMEOUT_S
        expected_s = MEANS_ALLOWED * self.mean_s + DEVIATIONS_ALLOWED * self.deviation_s
        return min(max(expected_s, FLOOR_S), CEILING_S)

    def silence_s(self, now_unix_s: float) -> float:
        """Return how long it has been silent, not counting time before a restart."""
        since_unix_s = self._restarted_unix_s
        if since_unix_s is None:
            since_unix_s = (
                self.last_seen_unix_s if self.last_seen_unix_s is not None else now_unix_s
            )
        return max(0.0, now_unix_s - since_unix_s)

    @property
    def due_unix_s(self) -> float:
        """Return until when the silence is no longer than the timeout."""
        since_unix_s = self._restarted_unix_s
        if since_unix_s is None:
            since_unix_s = self.last_seen_unix_s
        return math.inf if since_unix_s is None else since_unix_s + self.timeout_s

    def is_overdue(self, now_unix_s: float) -> bool:
        """Say whether the silence exceeds the timeout."""
        return now_unix_s > self.due_unix_s

    def awaits_first(self, now_unix_s: float) -> bool:
        """Say whether it was neither heard since the restart nor overdue yet."""
        return self._restarted_unix_s is not None and not self.is_overdue(now_unix_s)
