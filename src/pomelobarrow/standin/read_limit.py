"""Count reads and refuse those beyond a rate."""

from attrs import define


@define(kw_only=True)
class ReadLimit:
    """Hold a token bucket of one second's reads."""

    max_reads_per_s: float
    reads: int = 0
    refused: int = 0
    _tokens: float | None = None
    _filled_at_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Count one read and say whether it is within the rate."""
        self.reads += 1
        held = self.max_reads_per_s if self._tokens is None else self._tokens
        gained = (now_s - self._filled_at_s) * self.max_reads_per_s
        self._tokens = min(self.max_reads_per_s, held + gained)
        self._filled_at_s = now_s
        if self._tokens < 1:
            self.refused += 1
            return False
        self._tokens -= 1
        return True
