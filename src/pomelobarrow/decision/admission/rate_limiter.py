"""Limit one rate with a token bucket for bursts and a sliding window for their sum."""

from collections import deque

from attrs import define, field

BURST_S = 2.5
WINDOW_S = 10.0
SLICE_S = 0.5


@define
class RateLimiter:
    """Rate limiter for requests admitted at one VM.

    The bucket is large, because a small bucket at a VM's small share of a rate would refuse callers
    that send two requests together. The window bounds the sum of bursts: what a full bucket admits
    beyond the rate is compensated within ten seconds.
    """

    _tokens: float | None = None
    _updated_unix_s: float = 0.0
    # The start of each slice of the window and its number of admitted requests.
    _slices: deque[tuple[float, int]] = field(factory=deque)
    _in_window: int = 0

    def next_unix_s(self, rate_per_s: float, now_unix_s: float) -> float:
        """Return when the next request may be admitted, now at the earliest."""
        self._refill(rate_per_s, now_unix_s)
        self._drop_old_slices(now_unix_s)
        if self._slices and self._in_window >= max(1.0, rate_per_s * WINDOW_S):
            return self._slices[0][0] + WINDOW_S
        missing = 1.0 - (self._tokens or 0.0)
        return now_unix_s + max(0.0, missing) / max(rate_per_s, 1e-3)

    def count(self, now_unix_s: float) -> None:
        """Count one admitted request."""
        self._tokens = (self._tokens or 0.0) - 1.0
        self._in_window += 1
        if not self._slices or now_unix_s >= self._slices[-1][0] + SLICE_S:
            self._slices.append((now_unix_s, 0))
        started_unix_s, admitted = self._slices.pop()
        self._slices.append((started_unix_s, admitted + 1))

    def _refill(self, rate_per_s: float, now_unix_s: float) -> None:
        size = max(1.0, rate_per_s * BURST_S)
        if self._tokens is None:
            self._tokens = size
        elapsed_s = max(0.0, now_unix_s - self._updated_unix_s)
        self._tokens = min(size, self._tokens + elapsed_s * rate_per_s)
        self._updated_unix_s = now_unix_s

    def _drop_old_slices(self, now_unix_s: float) -> None:
        while self._slices and self._slices[0][0] <= now_unix_s - WINDOW_S:
            self._in_window -= self._slices.popleft()[1]
