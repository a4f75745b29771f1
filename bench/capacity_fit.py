"""Fit a straight line to a few measured sizes."""

from collections.abc import Sequence

from attrs import frozen


@frozen
class Line:
    """Hold a fit and the largest distance of a point from it, as a share of the largest point."""

    base: float
    slope: float
    error_share: float

    def at(self, size: float) -> float:
        """Return the value that the line gives for a size."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the line of least squares."""
    count = len(sizes)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((size - mean_size) * (value - mean_value) for size, value in pairs) / spread
    base = mean_value - slope * mean_size
    misses = [abs(value - base - slope * size) for size, value in pairs]
    return Line(base, slope, max(misses) / max(map(abs, values)))
