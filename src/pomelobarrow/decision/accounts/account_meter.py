"""Meter the use of one account over all regions: one VM in each region grants its tokens.

Load pattern: an account's large requests arrive at any of many VMs, each seldom, so that no VM's
own use says how much of the limit is left. A VM asks the meter of its region before it admits such
a request. The meters of the regions announce to each other what they have granted.

The bucket is one for all regions. Each meter refills it at the whole limit and takes from it what
it grants itself and what the others announce. Grants that others learn of too late are paid off
before the next ones. Two rules bound the sum of n regions that lose sight of each other:

- A meter grants at most 0.5 s of the limit and a quarter of the tolerance beyond what the other
  regions have acknowledged.
- A region that neither announces nor acknowledges for 1.4 s is silent. From then on the meter
  refills an n-th of the limit, into an n-th of the burst.

In units of a second's limit, all regions together grant in any 8 s at most 8, the burst, the
tolerance, and what n regions may have unacknowledged less what they refill meanwhile; and in each
region one last request that may be larger than what is left.
"""

import math
from collections.abc import Iterable

from attrs import define, evolve, field, frozen
from result import Err, Ok, Result

from pomelobarrow.decision.common.decaying_rate import DecayingRates
from pomelobarrow.decision.published.accounts import RateLimit

# Two announcements and the longest round trip between regions.
SILENT_AFTER_S = 1.4
ANNOUNCE_EVERY_S = 0.6
# An account that no region has used for this long is not announced.
IDLE_AFTER_S = 5.0
# Announced at once: what has been granted since the last announcement, in seconds of the limit.
ANNOUNCE_S = 0.15
# Granted at most beyond what the other regions have acknowledged, in seconds of the limit. It
# covers the demand of a few round trips between regions.
UNACKNOWLEDGED_S = 0.5
# The same as a share of the tolerance. Where the limit is small, a single large request would
# otherwise stop the account until it is acknowledged.
UNACKNOWLEDGED_TOLERANCE_SHARE = 0.25
# A round trip between regions, after which an acknowledgement is expected.
ACKNOWLEDGED_AFTER_S = 0.15
# The smallest bucket, in seconds of the limit. Where the configuration grants no burst, the
# requests of a moment would otherwise be refused one by one.
MIN_BURST_S = 0.1
# A meter has no memory when it starts, so its bucket starts with little: in seconds of the limit,
# and as a share of the tolerance. After a loss of all VMs, callers return in the same moment.
START_S = 0.1
START_TOLERANCE_SHARE = 0.1
MAX_RETRY_S = 4.0
MIN_REFILL_SHARE = 0.05


@frozen(kw_only=True)
class Exhausted:
    """An account's limit is used up; times by the clock of the meter's VM."""

    # When the bucket holds tokens again.
    opens_unix_s: float
    # When to retry; later for each further request, so that those that come back find room.
    retry_unix_s: float


@define
class _Region:
    """What another region's meter has announced and acknowledged; the meter's VM may change."""

    granted_by_meter: dict[int, float] = field(factory=dict)
    announced_unix_s: float = -math.inf
    used_unix_s: float = -math.inf
    # The part of this VM's grants that the region knows of.
    acknowledged: float = 0.0
    acknowledged_unix_s: float = -math.inf

    def is_silent(self, now_unix_s: float) -> bool:
        """Return whether one of the two ways between the regions may be cut."""
        last_unix_s = min(self.announced_unix_s, self.acknowledged_unix_s)
        return now_unix_s - last_unix_s > SILENT_AFTER_S

    def note_announcement(
        self, meter: int, granted: float, most_at_first: float, now_unix_s: float
    ) -> float:
        """Return the tokens granted since the meter's last announcement.

        The first one that arrives here may include what was granted long before, so that it counts
        up to a given amount.
        """
        known = self.granted_by_meter.get(meter)
        new = min(granted, most_at_first) if known is None else granted - known
        # A later announcement has overtaken this one.
        if new < 0.0:
            return 0.0
        self.granted_by_meter[meter] = granted
        self.announced_unix_s = now_unix_s
        if new:
            self.used_unix_s = now_unix_s
        return new


@define(kw_only=True)
class AccountMeter:
    """The bucket of one account as one region sees it."""

    other_regions: Iterable[str]
    # Tokens by which the limit may be exceeded in bursts.
    tolerance: float = 0.0
    # A lowered limit comes into force after this time. Callers that kept to the previous one are
    # then not refused in the moment of the change.
    lowered_after_s: float = 0.0
    granted: float = field(default=0.0, init=False)
    _balance: float | None = field(default=None, init=False)
    _updated_unix_s: float = field(default=0.0, init=False)
    _next_retry_unix_s: float = field(default=0.0, init=False)
    _regions: dict[str, _Region] = field(init=False)
    _rates: DecayingRates = field(factory=DecayingRates, init=False)
    _used_unix_s: float = field(default=-math.inf, init=False)
    _announced: float = field(default=0.0, init=False)
    _announced_unix_s: float = field(default=-math.inf, init=False)
    _limit: RateLimit | None = field(default=None, init=False)
    _lowered_from_unix_s: float = field(default=math.inf, init=False)

    def __attrs_post_init__(self) -> None:
        self._regions = {region: _Region() for region in self.other_regions}

    def take(
        self, cost: float, limit: RateLimit, now_unix_s: float, share: float = 1.0
    ) -> Result[None, Exhausted]:
        """Grant a request's tokens unless the bucket is empty.

        A meter that stands in for another one, which may still grant tokens itself, refills a share
        of the limit only.
        """
        limit = self._limit_in_force(limit, now_unix_s)
        if share < 1.0:
            limit = evolve(limit, per_s=share * limit.per_s, burst=0.0)
        balance = self._refill(limit, now_unix_s)
        if balance <= 0.0:
            return Err(self._exhausted(cost, balance, limit, now_unix_s))
        if self._unacknowledged(now_unix_s) >= self._most_unacknowledged(limit):
            opens_unix_s = now_unix_s + ACKNOWLEDGED_AFTER_S
            return Err(Exhausted(opens_unix_s=opens_unix_s, retry_unix_s=opens_unix_s))
        # A request may be larger than what is left, or than the bucket. Its account then waits
        # until the debt is refilled; otherwise it would be refused for good.
        self._balance = balance - cost
        self.granted += cost
        self._used_unix_s = now_unix_s
        return Ok(None)

    def refund(self, cost: float) -> None:
        """Return the tokens of a request that did not run; other regions keep them as granted."""
        if self._balance is not None:
            self._balance += cost

    def observe(
        self, region: str, meter: int, granted: float, limit: RateLimit, now_unix_s: float
    ) -> None:
        """Take what another region's meter has granted since its last announcement."""
        other = self._regions.get(region)
        if other is None:
            return
        limit = self._limit_in_force(limit, now_unix_s)
        balance = self._refill(limit, now_unix_s)
        is_parted = self._is_parted(now_unix_s)
        most_at_first = limit.burst + self._most_unacknowledged(limit)
        new = other.note_announcement(meter, granted, most_at_first, now_unix_s)
        # What a region granted while others were silent was its own part of the limit.
        if not is_parted:
            self._rates.add(region, new, now_unix_s)
            self._set_balance(balance - new, limit, now_unix_s)

    def acknowledge(self, region: str, granted: float, now_unix_s: float) -> None:
        """Record that a region's meter knows of this VM's grants up to a sum."""
        other = self._regions.get(region)
        if other is not None:
            other.acknowledged = max(other.acknowledged, granted)
            other.acknowledged_unix_s = now_unix_s

    @property
    def has_unannounced(self) -> bool:
        """Return whether grants have changed since the last announcement."""
        return self.granted != self._announced

    def announcement(self, limit: RateLimit, now_unix_s: float) -> float | None:
        """Return the sum of all grants if it is to be announced now."""
        new = abs(self.granted - self._announced)
        since_s = now_unix_s - self._announced_unix_s
        is_due = since_s >= ANNOUNCE_EVERY_S and (new > 0.0 or self._is_in_use(now_unix_s))
        if not is_due and new < ANNOUNCE_S * limit.per_s:
            return None
        self._announced, self._announced_unix_s = self.granted, now_unix_s
        return self.granted

    def _is_in_use(self, now_unix_s: float) -> bool:
        used_unix_s = (self._used_unix_s, *(each.used_unix_s for each in self._regions.values()))
        return now_unix_s - max(used_unix_s) <= IDLE_AFTER_S

    def _is_parted(self, now_unix_s: float) -> bool:
        return any(other.is_silent(now_unix_s) for other in self._regions.values())

    def _refill(self, limit: RateLimit, now_unix_s: float) -> float:
        if self._balance is None:
            self._balance = START_S * limit.per_s + START_TOLERANCE_SHARE * self.tolerance
            self._updated_unix_s = now_unix_s
        elapsed_s = max(0.0, now_unix_s - self._updated_unix_s)
        self._updated_unix_s = now_unix_s
        parts = 1 + len(self._regions) if self._is_parted(now_unix_s) else 1
        refilled = elapsed_s * limit.per_s / parts
        self._set_balance(self._balance + refilled, limit, now_unix_s)
        return self._balance

    def _set_balance(self, balance: float, limit: RateLimit, now_unix_s: float) -> None:
        burst = max(limit.burst, MIN_BURST_S * limit.per_s, 1.0)
        size = burst + self.tolerance
        if self._is_parted(now_unix_s):
            size = burst / (1 + len(self._regions))
        self._balance = min(size, balance)

    def _unacknowledged(self, now_unix_s: float) -> float:
        """Return the grants that a region which isn't silent has not acknowledged yet."""
        active = (each for each in self._regions.values() if not each.is_silent(now_unix_s))
        return max((self.granted - each.acknowledged for each in active), default=0.0)

    def _most_unacknowledged(self, limit: RateLimit) -> float:
        tolerated = UNACKNOWLEDGED_TOLERANCE_SHARE * self.tolerance
        return UNACKNOWLEDGED_S * limit.per_s + tolerated

    def _limit_in_force(self, limit: RateLimit, now_unix_s: float) -> RateLimit:
        """Return the published limit, or the previous one until a lower one comes into force."""
        previous = self._limit
        if previous is None or limit.per_s >= previous.per_s:
            self._limit, self._lowered_from_unix_s = limit, math.inf
            return limit
        if self._lowered_from_unix_s == math.inf:
            self._lowered_from_unix_s = now_unix_s + self.lowered_after_s
        if now_unix_s < self._lowered_from_unix_s:
            return previous
        self._limit, self._lowered_from_unix_s = limit, math.inf
        return limit

    def _exhausted(
        self, cost: float, balance: float, limit: RateLimit, now_unix_s: float
    ) -> Exhausted:
        if self._is_parted(now_unix_s):
            refill_per_s = limit.per_s / (1 + len(self._regions))
        else:
            used_per_s = sum(self._rates.per_s(region, now_unix_s) for region in self._regions)
            refill_per_s = max(limit.per_s - used_per_s, MIN_REFILL_SHARE * limit.per_s)
        latest_unix_s = now_unix_s + MAX_RETRY_S
        opens_unix_s = min(latest_unix_s, now_unix_s + (1.0 - balance) / refill_per_s)
        retry_unix_s = min(latest_unix_s, max(opens_unix_s, self._next_retry_unix_s))
        self._next_retry_unix_s = retry_unix_s + cost / refill_per_s
        if self._next_retry_unix_s > latest_unix_s:
            self._next_retry_unix_s = opens_unix_s
        return Exhausted(opens_unix_s=opens_unix_s, retry_unix_s=retry_unix_s)
