"""Find the servers of a pool that fail or dawdle far more than the others do."""

from collections.abc import Iterable

from attrs import define, field

# A sample's weight: about the last ten requests count.
WEIGHT = 0.12
MIN_SAMPLES = 8
# Some kinds of request fail on any server; only what is far above the others tells of a fault.
FAILURE_FLOOR = 0.25
FAILURE_FACTOR = 3.0
# A server that takes this many times as long as the others, for requests of the same size, would
# make most of its requests late.
SLOWNESS_FACTOR = 3.0
FAILS = "fails far more often than the others"
DAWDLES = "answers far later than the others"


@define
class _Record:
    samples: int = 0
    failure_rate: float = 0.0
    slowness: float = 1.0


@define
class OutlierDetector:
    """Hold how each server has done of late.

    A server can answer health checks and still fail a part of its requests, or take ten times as
    long. Single failures in between successes never eject it, so its rates are compared with those
    of the others.
    """

    _records: dict[str, _Record] = field(factory=dict)

    def observe(self, server: str, failed: bool, slowness: float | None) -> None:
        """Take in one answer; slowness is the time taken over the time expected."""
        record = self._records.setdefault(server, _Record())
        record.samples += 1
        weight = max(WEIGHT, 1.0 / record.samples)
        record.failure_rate += weight * (float(failed) - record.failure_rate)
        if slowness is not None:
            record.slowness += weight * (slowness - record.slowness)

    def outlier_reason(self, server: str, pool_servers: Iterable[str]) -> str:
        """Return why a server is an outlier among its pool's, or nothing."""
        record = self._records.get(server)
        if record is None or record.samples < MIN_SAMPLES:
            return ""
        others = [
            other
            for name in pool_servers
            if name != server and (other := self._records.get(name)) is not None
            if other.samples >= MIN_SAMPLES
        ]
        if not others:
            return ""
        failure_rate = sum(other.failure_rate for other in others) / len(others)
        if record.failure_rate > max(FAILURE_FLOOR, FAILURE_FACTOR * failure_rate):
            return FAILS
        slowness = sum(other.slowness for other in others) / len(others)
        return DAWDLES if record.slowness > SLOWNESS_FACTOR * slowness else ""

    def forget(self, server: str) -> None:
        """Let a server prove itself anew."""
        self._records.pop(server, None)
