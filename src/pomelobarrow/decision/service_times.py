"""Learn how fast a pool's backend servers prefill and how long a request holds a slot."""

from attrs import define

DECAY = 0.98
DEFAULT_PREFILL_TOKENS_PER_S = 10_000.0
DEFAULT_HOLD_S = 1.0
# The first token of a shorter prompt takes what any first token takes: the network, the batch that
# is under way, the first step. Read as prefill, 90 ms for 380 tokens made an engine look ten times
# slower than it was, and work left its region for waits that weren't there.
SHORT_PROMPT_TOKENS = 1_024


@define
class _DecayingRatio:
    """Divide two sums in which older samples count less."""

    numerator: float
    denominator: float = 1.0

    def add(self, numerator: float, denominator: float) -> None:
        self.numerator = self.numerator * DECAY + numerator
        self.denominator = self.denominator * DECAY + denominator

    def value(self) -> float:
        return self.numerator / self.denominator if self.denominator else 0.0


class ServiceTimes:
    """Hold the learned times of one pool."""

    def __init__(self) -> None:
        self._prefill = _DecayingRatio(1.0 / DEFAULT_PREFILL_TOKENS_PER_S)
        self._base = _DecayingRatio(0.0, 0.0)
        self._hold = _DecayingRatio(DEFAULT_HOLD_S)
        self._kv = _DecayingRatio(0.0)
        self._tokens = _DecayingRatio(0.0)

    @property
    def s_per_prefill_token(self) -> float:
        """Return the seconds that one uncached prompt token takes."""
        return self._prefill.value()

    @property
    def hold_s(self) -> float:
        """Return the seconds that a request holds its slot."""
        return self._hold.value()

    @property
    def kv_tokens(self) -> float:
        """Return the KV cache tokens that a request may come to hold."""
        return self._kv.value()

    @property
    def tokens(self) -> float:
        """Return the prompt tokens that a request leaves to compute."""
        return self._tokens.value()

    def observe_charge(self, tokens: int, kv_tokens: int) -> None:
        """Take in one placed request's tokens."""
        self._tokens.add(tokens, 1.0)
        self._kv.add(kv_tokens, 1.0)

    def observe_start(self, tokens_ahead: int, elapsed_s: float) -> None:
        """Take in one first token and the prefill that stood before it."""
        if elapsed_s <= 0:
            return
        if tokens_ahead < SHORT_PROMPT_TOKENS:
            self._base.add(elapsed_s, 1.0)
            return
        self._prefill.add(max(0.0, elapsed_s - self._base.value()), tokens_ahead)

    def observe_finish(self, elapsed_s: float) -> None:
        """Take in one finished request."""
        self._hold.add(max(0.0, elapsed_s), 1.0)
