"""Keep this VM's part of the repeats that all VMs together may send to a pool."""

from collections import defaultdict, deque

from attrs import define, field, frozen

# VMs that don't see each other each take a larger part; this much of the bound stays unused.
SAFETY_SHARE = 0.7


@frozen(kw_only=True)
class RetryBound:
    """Hold the bound on arrivals beyond each request's first, in any span of the window."""

    ratio: float
    slack: float
    window_s: float


@define
class _Counts:
    firsts: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)

    def drop_before(self, oldest_unix_s: float) -> None:
        for times in (self.firsts, self.repeats):
            while times and times[0] < oldest_unix_s:
                times.popleft()


@define(kw_only=True)
class RetryShare:
    """Count what this VM sent to each pool within the window.

    Without a bound that all VMs hold to, a pool that fails gets every request again from every VM
    and has no chance to recover. Each VM's repeats stay under the ratio of its own requests and
    under its part of the slack, so their sum keeps the bound with no message between them.
    """

    bound: RetryBound
    _pools: defaultdict[str, _Counts] = field(factory=lambda: defaultdict(_Counts))

    def record_first_arrival(self, pool: str, now_unix_s: float) -> None:
        """Count a request's first arrival at a server."""
        self._pools[pool].firsts.append(now_unix_s)

    def _has_room(self, pool: str, live_vms: int, now_unix_s: float) -> bool:
        counts = self._pools[pool]
        counts.drop_before(now_unix_s - self.bound.window_s)
        slack = self.bound.slack / max(1, live_vms)
        allowed = SAFETY_SHARE * (self.bound.ratio * len(counts.firsts) + slack)
        return len(counts.repeats) + 1 <= allowed

    def try_take_retry(self, pool: str, live_vms: int, now_unix_s: float) -> bool:
        """Count one more arrival where the bound leaves room for it."""
        if not self._has_room(pool, live_vms, now_unix_s):
            return False
        self._pools[pool].repeats.append(now_unix_s)
        return True
