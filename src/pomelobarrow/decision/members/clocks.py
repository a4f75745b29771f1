"""Estimate clock offsets between VMs and detect pauses of this process."""

import math
from collections import deque

from attrs import define, field, frozen

SAMPLES_KEPT = 8
PAUSE_FACTOR = 3.0
# Rounding error of four Unix times in double precision; a very short round trip can be computed as
# slightly negative.
ROUNDING_S = 2e-6


@frozen
class OffsetSample:
    """A measured clock offset (peer's clock minus the local one) and its round trip."""

    offset_s: float
    round_trip_s: float

    @property
    def error_s(self) -> float:
        """Return the largest possible error of this offset."""
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
        """Record the times of a heartbeat; return whether they are usable.

        `sent_unix_s` and `echo_received_unix_s` are by the peer's clock, the other two by the local
        clock.
        """
        round_trip_s = (received_unix_s - echo_sent_unix_s) - (sent_unix_s - echo_received_unix_s)
        # A clock that was set between the readings gives a negative or infinite round trip.
        if not -ROUNDING_S <= round_trip_s < math.inf or echo_sent_unix_s <= 0:
            return False
        round_trip_s = max(0.0, round_trip_s)
        forward_s = echo_received_unix_s - echo_sent_unix_s
        back_s = received_unix_s - sent_unix_s
        self._keep(peer, OffsetSample((forward_s - back_s) / 2, round_trip_s))
        return True

    def _keep(self, peer: str, sample: OffsetSample) -> None:
        kept = self._samples.setdefault(peer, deque(maxlen=self.samples_kept))
        # If the intervals of two samples don't overlap, the peer's clock was set in between. The
        # older samples would shift deadlines until they age out, so they are dropped.
        consistent = [old for old in kept if _overlap(old, sample)]
        kept.clear()
        kept.extend(consistent)
        kept.append(sample)

    def best(self, peer: str) -> OffsetSample | None:
        """Return the sample with the shortest round trip; on a tie, the newest."""
        kept = self._samples.get(peer)
        if not kept:
            return None
        return min(reversed(kept), key=lambda sample: sample.round_trip_s)

    def offset_s(self, peer: str) -> float:
        """Return the peer's clock minus the local one; zero while unknown."""
        best = self.best(peer)
        return best.offset_s if best else 0.0

    def error_s(self, peer: str) -> float:
        """Return the upper bound of the offset's error; infinite while unknown."""
        best = self.best(peer)
        return best.error_s if best else math.inf

    def to_local(self, peer: str, unix_s: float) -> float:
        """Convert a time by the peer's clock to local time."""
        return unix_s - self.offset_s(peer)

    def sent_unix_s(self, peer: str, sent_unix_s: float, now_unix_s: float) -> float:
        """Return when a received message was sent, by the local clock.

        The result is never later than now. Until a second message gives the offset, the times of a
        peer whose clock is ahead lie in the future: a VM that the peer last saw long ago would
        count as seen just now, and the peer's measurements would override those of all other peers
        until that time is reached.
        """
        return min(self.to_local(peer, sent_unix_s), now_unix_s)

    def forget(self, peer: str) -> None:
        """Drop the samples of a peer that left."""
        self._samples.pop(peer, None)


def _overlap(first: OffsetSample, second: OffsetSample) -> bool:
    return abs(first.offset_s - second.offset_s) <= first.error_s + second.error_s + DRIFT_SLACK_S


# Two crystal clocks drift apart by about 0.1 ms per second; this covers the samples' lifetime.
DRIFT_SLACK_S = 0.005


@define
class PauseDetector:
    """Detect pauses of this process by gaps between its periodic ticks."""

    expected_interval_s: float
    factor: float = PAUSE_FACTOR
    _last_unix_s: float | None = field(default=None, init=False)

    @property
    def longest_gap_s(self) -> float:
        """Return the longest gap between ticks that doesn't count as a pause."""
        return self.expected_interval_s * self.factor

    def tick(self, now_unix_s: float) -> float:
        """Return the length of the pause that ended with this tick, or zero."""
        last_unix_s = self._last_unix_s
        self._last_unix_s = now_unix_s
        if last_unix_s is None:
            return 0.0
        gap_s = now_unix_s - last_unix_s
        # A clock set back also invalidates every stored time, so it counts as a pause.
        if 0 <= gap_s <= self.longest_gap_s:
            return 0.0
        return abs(gap_s)
