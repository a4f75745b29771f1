"""Estimate how slow each backend server is at this moment, from what it stated lately.

Load pattern: servers share their machines with others. Some of them take several times as long for
a fraction of a second, then run as usual, and state it with each answer. What a busy server states
is fresh; what a quiet one stated, or a peer passes on, describes a moment that may be over.
"""

from bisect import bisect_right

from attrs import define, field, frozen

# The older of two statements counts by how far it was from the usual speed: what a server stated
# while it ran as usual shows nothing about how long a slow moment lasts.
DECAY = 0.99
# Upper ends of the ages that are told apart. A statement older than the last counts for nothing.
AGE_BOUNDS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
# Counts as one statement of twice the usual time that had changed when the next one came, so that
# the first equal statements don't make all old ones certain.
ASSUMED_CHANGED = 1.0
# Servers that differ by less count as equal. Otherwise all VMs would send to the one that seems
# faster by a few percent.
EQUAL_EXCESS = 0.1


@frozen(kw_only=True)
class _Statement:
    # The time that work takes beyond the usual, as a share of the usual.
    excess: float
    measured_unix_s: float


@define
class _KeptShare:
    """How much of the excess was left when a server's next statement came after such a time."""

    kept: float = 0.0
    total: float = 0.0

    @property
    def value(self) -> float:
        return self.kept / (self.total + ASSUMED_CHANGED)

    def add(self, old_excess: float, new_excess: float) -> None:
        self.kept = self.kept * DECAY + old_excess * min(old_excess, new_excess)
        self.total = self.total * DECAY + old_excess**2


@frozen(kw_only=True)
class SlowMoment:
    """The factor by which a server's work takes longer now, and how long that lasts on average."""

    slowdown: float = 1.0
    lasts_s: float = 0.0

    def delay_s(self, work_s: float) -> float:
        """Return how much later work ends that would take so long at the usual speed."""
        return min(work_s, self.lasts_s / self.slowdown) * (self.slowdown - 1.0)


USUAL_SPEED = SlowMoment()


@define
class PresentSpeeds:
    """The slowdowns that servers stated, trusted less the older and the faster they change."""

    _statements: dict[str, _Statement] = field(factory=dict)
    _kept_by_age: tuple[_KeptShare, ...] = field(
        factory=lambda: tuple(_KeptShare() for _ in AGE_BOUNDS_S)
    )

    def observe(self, server: str, slowdown: float | None, measured_unix_s: float) -> None:
        """Add what a server stated, 1.0 being its usual speed; ignore older statements."""
        old = self._statements.get(server)
        if slowdown is None or old is not None and measured_unix_s <= old.measured_unix_s:
            return
        # A server that is faster than usual gets no more work: it may be slower in a moment.
        new = _Statement(excess=max(0.0, slowdown - 1.0), measured_unix_s=measured_unix_s)
        self._statements[server] = new
        if old is not None and old.excess >= EQUAL_EXCESS:
            self._learn(old, new)

    def slowdown(self, server: str, now_unix_s: float) -> float:
        """Return by what factor a server's work takes longer than usual now, as far as known."""
        statement = self._statements.get(server)
        if statement is None or statement.excess < EQUAL_EXCESS:
            return 1.0
        age_s = max(0.0, now_unix_s - statement.measured_unix_s)
        excess = statement.excess * self.kept_share(age_s)
        return 1.0 + excess if excess >= EQUAL_EXCESS else 1.0

    def slow_moment(self, server: str, now_unix_s: float) -> SlowMoment:
        """Return a server's slowdown, and for how long a slow one remains slow on average."""
        slowdown = self.slowdown(server, now_unix_s)
        if slowdown == 1.0:
            return USUAL_SPEED
        ends_s = (0.0, *AGE_BOUNDS_S)
        spans_s = zip(ends_s, AGE_BOUNDS_S, strict=False)
        lasts_s = sum((end_s - begin_s) * self.kept_share(begin_s) for begin_s, end_s in spans_s)
        return SlowMoment(slowdown=slowdown, lasts_s=lasts_s)

    def usual_s(self, server: str, took_s: float, now_unix_s: float) -> float:
        """Return the time that work which ends now would have taken at the usual speed.

        Service times are learned from it. Otherwise one server's slow moment would make its whole
        pool look slow afterwards.
        """
        return took_s / self.slowdown(server, now_unix_s)

    def slow_servers(self, now_unix_s: float) -> dict[str, float]:
        """Return the servers that seem slower than usual now, with the factor."""
        slowdowns = {name: self.slowdown(name, now_unix_s) for name in self._statements}
        return {name: slowdown for name, slowdown in slowdowns.items() if slowdown > 1.0}

    def kept_share(self, age_s: float) -> float:
        """Return how much of what a server stated so long ago still holds on average."""
        # A younger statement is worth at least as much as an older one; pairs may be rare at some
        # ages.
        shares = self._kept_by_age[bisect_right(AGE_BOUNDS_S, age_s) :]
        return max((share.value for share in shares), default=0.0)

    def forget(self, server: str) -> None:
        """Drop what a server stated, since another incarnation may run on another machine."""
        self._statements.pop(server, None)

    def _learn(self, old: _Statement, new: _Statement) -> None:
        index = bisect_right(AGE_BOUNDS_S, new.measured_unix_s - old.measured_unix_s)
        if index < len(AGE_BOUNDS_S):
            self._kept_by_age[index].add(old.excess, new.excess)
