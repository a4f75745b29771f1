"""Keep this VM within its share of the retries that all VMs together may send to a pool."""

from collections import defaultdict, deque

from attrs import define, field, frozen

# VMs that do not see each other each assume a larger share, so only this fraction of the bound is
# used.
SAFETY_SHARE = 0.7


@frozen(kw_only=True)
class RetryBound:
    """The bound on retries, in any interval as long as the window."""

    ratio: float
    slack: float
    window_s: float


@define
class _Counts:
    first_arrivals: deque[float] = field(factory=deque)
    retries: deque[float] = field(factory=deque)

    def drop_before(self, oldest_unix_s: float) -> None:
        for times in (self.first_arrivals, self.retries):
            while times and times[0] < oldest_unix_s:
                times.popleft()


@define(kw_only=True)
class RetryShare:
    """This VM's share of the retry bound of each pool.

    Without a common bound every VM would resend every request to a failing pool, which then could
    not recover. Each VM limits its retries to the ratio of its own requests plus its part of the
    slack, so their sum stays within the bound without coordination.
    """

    bound: RetryBound
    _pools: defaultdict[str, _Counts] = field(factory=lambda: defaultdict(_Counts))

    def record_first_arrival(self, pool: str, now_unix_s: float) -> None:
        """Count the first arrival of a request at a server."""
        self._pools[pool].first_arrivals.append(now_unix_s)

    def _has_capacity(self, pool: str, live_vms: int | None, now_unix_s: float) -> bool:
        counts = self._pools[pool]
        counts.drop_before(now_unix_s - self.bound.window_s)
        slack = 0.0 if live_vms is None else self.bound.slack / max(1, live_vms)
        allowed = SAFETY_SHARE * (self.bound.ratio * len(counts.first_arrivals) + slack)
        return len(counts.retries) + 1 <= allowed

    def try_take_retry(self, pool: str, live_vms: int | None, now_unix_s: float) -> bool:
        """Count one retry and return true if the bound allows it.

        While it isn't known how many VMs share the slack, none of it is used.
        """
        if not self._has_capacity(pool, live_vms, now_unix_s):
            return False
        self._pools[pool].retries.append(now_unix_s)
        return True
