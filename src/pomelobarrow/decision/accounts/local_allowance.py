"""Admit small requests of an account without a message to its meter.

Load pattern: most requests cost little, and a query for each would cost more processor time than
it is worth. Each VM may spend an equal part of a small share of the limit by itself, on top of what
the meter grants. No part of it is lent to other VMs, so it holds in any partition.
"""

import math

from attrs import define, field

from pomelobarrow.decision.published.accounts import RateLimit

# The share of a limit that all VMs together spend without the meter.
UNMETERED_SHARE = 0.08
# Unspent allowance is kept for this long.
KEPT_S = 2.0
# A VM that starts knows too few of the others to compute its part.
SETTLE_S = 5.0


@define(kw_only=True)
class LocalAllowance:
    """One account's allowance at this VM."""

    started_unix_s: float
    _balance: float = field(default=0.0, init=False)
    _updated_unix_s: float = field(default=math.inf, init=False)

    def try_take(self, cost: float, limit: RateLimit, vms: int, now_unix_s: float) -> bool:
        """Spend a request's cost if the allowance covers it."""
        if now_unix_s < self.started_unix_s + SETTLE_S:
            return False
        per_s = UNMETERED_SHARE * limit.per_s / max(1, vms)
        elapsed_s = max(0.0, now_unix_s - self._updated_unix_s)
        self._balance = min(KEPT_S * per_s, self._balance + elapsed_s * per_s)
        self._updated_unix_s = now_unix_s
        if self._balance < cost:
            return False
        self._balance -= cost
        return True

    def refund(self, cost: float) -> None:
        """Return the cost of a request that did not run."""
        self._balance += cost
