"""Count reads and refuse those above a rate."""

from attrs import define


@define(kw_only=True)
class ReadLimit:
    """Token bucket with a capacity of one second's reads."""

    max_reads_per_s: float
    reads: int = 0
    refused: int = 0
    _tokens: float | None = None
    _refilled_at_s: float = 0.0

    def try_acquire(self, now_s: float) -> bool:
        """Count one read and return whether it is within the rate."""
        self.reads += 1
        available = self.max_reads_per_s if self._tokens is None else self._tokens
        refilled = (now_s - self._refilled_at_s) * self.max_reads_per_s
        self._tokens = min(self.max_reads_per_s, available + refilled)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        return True
