"""Detect servers that fail far more often or answer far later than the others of their pool."""

from collections.abc import Iterable

from attrs import define, field

# Weight of one sample: the averages reflect about the last ten requests.
EWMA_WEIGHT = 0.12
MIN_SAMPLES = 8
# Some kinds of request fail on any server; only a rate far above that of the others shows a fault.
FAILURE_FLOOR = 0.25
FAILURE_FACTOR = 3.0
# A server that takes this many times as long as the others, for requests of the same size, makes
# most of its requests late.
LATENCY_FACTOR = 3.0
FAILS_OFTEN = "fails far more often than the others"
ANSWERS_LATE = "answers far later than the others"


@define
class _Record:
    samples: int = 0
    failure_rate: float = 0.0
    latency_ratio: float = 1.0


@define
class OutlierDetector:
    """Compares each server's recent failure rate and latency with those of its pool.

    A server can answer health checks and still fail some of its requests, or take ten times as
    long. Single failures between successes never eject it, so its averages are compared with those
    of the others.
    """

    _records: dict[str, _Record] = field(factory=dict)

    def observe(self, server: str, failed: bool, latency_ratio: float | None) -> None:
        """Add one answer; the latency ratio is the actual divided by the expected time."""
        record = self._records.setdefault(server, _Record())
        record.samples += 1
        weight = max(EWMA_WEIGHT, 1.0 / record.samples)
        record.failure_rate += weight * (float(failed) - record.failure_rate)
        if latency_ratio is not None:
            record.latency_ratio += weight * (latency_ratio - record.latency_ratio)

    def outlier_reason(self, server: str, pool_servers: Iterable[str]) -> str:
        """Return why a server is an outlier in its pool, or an empty string."""
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
            return FAILS_OFTEN
        latency_ratio = sum(other.latency_ratio for other in others) / len(others)
        return ANSWERS_LATE if record.latency_ratio > LATENCY_FACTOR * latency_ratio else ""

    def forget(self, server: str) -> None:
        """Drop a server's averages."""
        self._records.pop(server, None)
