"""Series of one metric by label values, at a low cost per request."""

from bisect import bisect_left
from collections.abc import Callable, Mapping
from itertools import accumulate

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as HistogramSeries
from attrs import define

LabelValues = tuple[str, ...]
SeriesReader = Callable[[], Mapping[LabelValues, float]]

_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class CounterFamily:
    """Counters of one metric, by label values.

    aioprometheus serializes the labels to JSON at each increment. To avoid that cost, counts are
    kept here under tuples of label values and copied to the collector when it is rendered.
    """

    def __init__(self, registry: Registry, name: str, doc: str, labels: LabelValues) -> None:
        self._collector = Counter(name, doc, registry=registry)
        self._labels = labels
        self._counts: dict[LabelValues, float] = {}

    def inc(self, *values: str) -> None:
        """Increment a counter by one."""
        self._counts[values] = self._counts.get(values, 0) + 1

    def value(self, *values: str) -> float:
        """Return the value of a counter."""
        return self._counts.get(values, 0)

    def fill(self) -> None:
        """Copy the counts to the collector."""
        for values, count in self._counts.items():
            self._collector.set(_escaped_labels(self._labels, values), count)


class GaugeFamily:
    """Gauges of one metric, by label values, either set or read from a function when rendered."""

    def __init__(self, registry: Registry, name: str, doc: str, labels: LabelValues) -> None:
        self._collector = Gauge(name, doc, registry=registry)
        self._labels = labels
        self._values: dict[LabelValues, float] = {}
        self._reader: SeriesReader | None = None

    def set(self, value: float, *values: str) -> None:
        """Set a gauge."""
        self._values[values] = value

    def add(self, change: float, *values: str) -> None:
        """Add to a gauge."""
        self._values[values] = self._values.get(values, 0) + change

    def read_from(self, reader: SeriesReader) -> None:
        """Read all values from a function each time the metric is rendered."""
        self._reader = reader

    def value(self, *values: str) -> float:
        """Return the value of a gauge."""
        return self._series().get(values, 0)

    def fill(self) -> None:
        """Copy the values to the collector and remove series that no longer exist."""
        self._collector.values.clear()
        for values, value in self._series().items():
            self._collector.set(_escaped_labels(self._labels, values), value)

    def _series(self) -> Mapping[LabelValues, float]:
        return self._reader() if self._reader else self._values


@define
class _Observations:
    """The observations of one series: those in each bucket but not in a lower one, and the sum."""

    counts: list[int]
    total: float = 0.0


class HistogramFamily:
    """Histograms of one duration metric, by label values."""

    def __init__(
        self,
        registry: Registry,
        name: str,
        doc: str,
        labels: LabelValues,
        buckets_s: tuple[float, ...],
    ) -> None:
        self._collector = Histogram(name, doc, registry=registry, buckets=buckets_s)
        self._labels = labels
        self._buckets_s = buckets_s
        self._series: dict[LabelValues, _Observations] = {}

    def observe(self, value: float, *values: str) -> None:
        """Add an observation."""
        series = self._series.get(values)
        if series is None:
            series = self._series[values] = _Observations(counts=[0] * (len(self._buckets_s) + 1))
        series.counts[bisect_left(self._buckets_s, value)] += 1
        series.total += value

    def count(self, *values: str) -> int:
        """Return the number of observations."""
        series = self._series.get(values)
        return sum(series.counts) if series else 0

    def fill(self) -> None:
        """Copy the histograms to the collector."""
        for values, series in self._series.items():
            labels = _escaped_labels(self._labels, values)
            self._collector.set_value(labels, self._cumulative(series))

    def _cumulative(self, series: _Observations) -> HistogramSeries:
        """Return a histogram whose buckets contain those below them."""
        cumulative = HistogramSeries(*self._buckets_s)
        counts = accumulate(series.counts)
        for bound_s, count in zip(list(cumulative.buckets), counts, strict=True):
            cumulative.buckets[bound_s] = count
        cumulative.observations = sum(series.counts)
        cumulative.sum = series.total
        return cumulative


def _escaped_labels(names: LabelValues, values: LabelValues) -> dict[str, str]:
    # aioprometheus doesn't escape label values; a quote would make the whole response invalid.
    escaped = (value.translate(_ESCAPES) for value in values)
    return dict(zip(names, escaped, strict=True))
