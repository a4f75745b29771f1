"""Clock offsets between VMs, and gaps in this process's own clock."""

import math
from collections import deque

from attrs import define, field, frozen

SAMPLES_KEPT = 8
PAUSE_FACTOR = 3.0
# Four Unix times of double precision, rounded: a trip as short as this may come out below zero.
ROUNDING_S = 2e-6


@frozen
class OffsetSample:
    """Hold one measured offset (peer's clock minus ours) and its round trip."""

    offset_s: float
    round_trip_s: float

    @property
    def error_s(self) -> float:
        """Return how far the true offset can be from this one."""
        return self.round_trip_s / 2


@define
class ClockOffsets:
    """Estimate each peer's clock offset from the shortest recent round trip."""

    samples_kept: int = SAMPLES_KEPT
    _samples: dict[str, deque[OffsetSample]] = field(factory=dict, init=False)

    def observe(
        self,
        peer: str,
        *,
        sent_unix_s: float,
        echo_sent_unix_s: float,
        echo_received_unix_s: float,
        received_unix_s: float,
    ) -> bool:
        """Take a heartbeat's times; sent and echo_received are by the peer's clock."""
        round_trip_s = (received_unix_s - echo_sent_unix_s) - (sent_unix_s - echo_received_unix_s)
        # A clock that was set between the two readings gives a negative or endless trip.
        if not -ROUNDING_S <= round_trip_s < math.inf or echo_sent_unix_s <= 0:
            return False
        round_trip_s = max(0.0, round_trip_s)
        forward_s = echo_received_unix_s - echo_sent_unix_s
        back_s = received_unix_s - sent_unix_s
        self._keep(peer, OffsetSample((forward_s - back_s) / 2, round_trip_s))
        return True

    def _keep(self, peer: str, sample: OffsetSample) -> None:
        kept = self._samples.setdefault(peer, deque(maxlen=self.samples_kept))
        # Intervals that don't overlap can't both be true of one steady clock: it was set, and
        # the older samples would misplace deadlines until they age out.
        consistent = [old for old in kept if _overlap(old, sample)]
        kept.clear()
        kept.extend(consistent)
        kept.append(sample)

    def best(self, peer: str) -> OffsetSample | None:
        """Return the sample with the shortest round trip, the newest of equals."""
        kept = self._samples.get(peer)
        if not kept:
            return None
        return min(reversed(kept), key=lambda sample: sample.round_trip_s)

    def offset_s(self, peer: str) -> float:
        """Return the peer's clock minus ours, zero while unknown."""
        best = self.best(peer)
        return best.offset_s if best else 0.0

    def error_s(self, peer: str) -> float:
        """Return the bound on the offset's error, infinite while unknown."""
        best = self.best(peer)
        return best.error_s if best else math.inf

    def to_local(self, peer: str, unix_s: float) -> float:
        """Convert a time by the peer's clock to ours."""
        return unix_s - self.offset_s(peer)

    def sent_unix_s(self, peer: str, sent_unix_s: float, now_unix_s: float) -> float:
        """Return when a message that is here was sent, by our clock.

        Until a second message shows the offset, the time of a peer whose clock is ahead lies in the
        future. A VM that it heard long ago would count as heard just now, and what it measured
        would outdate all that others tell until then.
        """
        return min(self.to_local(peer, sent_unix_s), now_unix_s)

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer that left."""
        self._samples.pop(peer, None)


def _overlap(first: OffsetSample, second: OffsetSample) -> bool:
    return abs(first.offset_s - second.offset_s) <= first.error_s + second.error_s + DRIFT_SLACK_S


# Two crystal clocks part by some 0.1 ms a second; this covers the life of the samples.
DRIFT_SLACK_S = 0.005


@define
class PauseDetector:
    """Detect that the process stood still, from gaps between its own periodic ticks."""

    expected_interval_s: float
    factor: float = PAUSE_FACTOR
    _last_unix_s: float | None = field(default=None, init=False)

    @property
    def longest_gap_s(self) -> float:
        """Return the longest gap between ticks that is no pause."""
        return self.expected_interval_s * self.factor

    def tick(self, now_unix_s: float) -> float:
        """Return the length of the gap that just ended, or zero when there was none."""
        last_unix_s = self._last_unix_s
        self._last_unix_s = now_unix_s
        if last_unix_s is None:
            return 0.0
        gap_s = now_unix_s - last_unix_s
        # A clock set back also voids every stored time, so it counts as a gap.
        if 0 <= gap_s <= self.longest_gap_s:
            return 0.0
        return abs(gap_s)
