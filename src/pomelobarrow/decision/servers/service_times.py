"""Learn how fast a pool's backend servers prefill and how long a request holds a slot.

Load pattern: a region of 65 VMs gets some 20 long prompts per second, so each VM sees one every
three seconds. From its own samples alone, many VMs estimate their engines nine times slower than
they are throughout a peak. They then refuse short prompts that would start at once, and send others
to another region. So neighbours exchange their samples.
"""

import math
from collections.abc import Sequence

from attrs import define, field

DECAY = 0.98
# With this many samples of its own, a VM ignores those of its peers, which are from other times and
# servers than its own requests use. In a simulated peak of one region, 402 streams pause too long
# with this limit, 477 without peers' samples, and 556 if peers' samples always count (40 seeds).
ENOUGH_OWN_SAMPLES = 4
# Assumed until the first sample: the speed of current accelerators. If it is too low, long prompts
# that would be on time are refused for seconds after each start. If it is too high, the first
# answers correct it.
DEFAULT_PREFILL_TOKENS_PER_S = 100_000.0
DEFAULT_HOLD_S = 1.0
# The time to the first token of a shorter prompt is mostly the fixed cost of any first token: the
# network, the running batch and the first step. Counted as prefill, 90 ms for 380 tokens make an
# engine look ten times slower than it is, and requests go to other regions without need.
SHORT_PROMPT_TOKENS = 1_024


@define
class _DecayingRatio:
    """Ratio of two sums that decay per sample; peers' sums count while own samples are few."""

    numerator: float
    denominator: float = 1.0
    samples: int = 0
    peers_numerator: float = 0.0
    peers_denominator: float = 0.0

    def add(self, numerator: float, denominator: float) -> None:
        self.numerator = self.numerator * DECAY + numerator
        self.denominator = self.denominator * DECAY + denominator
        self.samples += 1

    def value(self) -> float:
        peers_weight = max(0.0, 1.0 - self.samples / ENOUGH_OWN_SAMPLES)
        numerator = self.numerator + peers_weight * self.peers_numerator
        denominator = self.denominator + peers_weight * self.peers_denominator
        return numerator / denominator if denominator else 0.0


@define
class ServiceTimes:
    """Learned prefill speed, request durations and token counts of one pool."""

    _prefill: _DecayingRatio = field(
        factory=lambda: _DecayingRatio(1.0 / DEFAULT_PREFILL_TOKENS_PER_S)
    )
    _base: _DecayingRatio = field(factory=lambda: _DecayingRatio(0.0, 0.0))
    _hold: _DecayingRatio = field(factory=lambda: _DecayingRatio(DEFAULT_HOLD_S))
    _kv: _DecayingRatio = field(factory=lambda: _DecayingRatio(0.0))
    _tokens: _DecayingRatio = field(factory=lambda: _DecayingRatio(0.0))
    # The sums of each peer's own samples, as last received.
    _peer_sums: dict[str, tuple[float, ...]] = field(factory=dict)
    _samples: int = 0

    @property
    def s_per_prefill_token(self) -> float:
        """Return the prefill time of one uncached prompt token."""
        return self._prefill.value()

    @property
    def first_answer_s(self) -> float:
        """Return the time to the first answer to a request without prefill or waiting."""
        return self._base.value()

    @property
    def hold_s(self) -> float:
        """Return the seconds that a request holds its slot."""
        return self._hold.value()

    @property
    def kv_tokens(self) -> float:
        """Return the mean KV cache tokens that a request may come to use."""
        return self._kv.value()

    @property
    def tokens(self) -> float:
        """Return the mean uncached prompt tokens of a request."""
        return self._tokens.value()

    @property
    def samples(self) -> int:
        """Return the number of this VM's own samples."""
        return self._samples

    def observe_charge(self, tokens: int, kv_tokens: int) -> None:
        """Add the tokens of one placed request."""
        self._samples += 1
        self._tokens.add(tokens, 1.0)
        self._kv.add(kv_tokens, 1.0)

    def observe_start(self, tokens_ahead: int, elapsed_s: float) -> None:
        """Add the time to one first token, given the prefill tokens up to it."""
        if elapsed_s <= 0:
            return
        self._samples += 1
        if tokens_ahead < SHORT_PROMPT_TOKENS:
            self._base.add(elapsed_s, 1.0)
            return
        self._prefill.add(max(0.0, elapsed_s - self._base.value()), tokens_ahead)

    def observe_finish(self, elapsed_s: float) -> None:
        """Add the duration of one finished request."""
        self._samples += 1
        self._hold.add(max(0.0, elapsed_s), 1.0)

    def own_sums(self) -> tuple[float, ...]:
        """Return the sums of this VM's own samples, to be sent to peers."""
        return tuple(
            each for ratio in self._ratios for each in (ratio.numerator, ratio.denominator)
        )

    def observe_peer(self, vm: str, sums: Sequence[float]) -> None:
        """Replace the sums of a peer's own samples."""
        # A peer of another release may send more or fewer sums, and invalid ones would make every
        # expected wait infinite.
        is_valid = all(0.0 <= each < math.inf for each in sums)
        if is_valid and len(sums) == 2 * len(self._ratios):
            self._peer_sums[vm] = tuple(sums)
            self._update_peer_totals()

    def forget_peer(self, vm: str) -> None:
        """Drop a peer's sums."""
        if self._peer_sums.pop(vm, None) is not None:
            self._update_peer_totals()

    @property
    def _ratios(self) -> tuple[_DecayingRatio, ...]:
        return (self._prefill, self._base, self._hold, self._kv, self._tokens)

    def _update_peer_totals(self) -> None:
        totals = [sum(column) for column in zip(*self._peer_sums.values(), strict=True)]
        totals = totals or [0.0] * (2 * len(self._ratios))
        for index, ratio in enumerate(self._ratios):
            ratio.peers_numerator, ratio.peers_denominator = totals[2 * index : 2 * index + 2]
