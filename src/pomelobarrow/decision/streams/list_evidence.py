"""Know up to which time this VM's copies of the published lists are known to be complete.

Load pattern: VMs are cut off from the store and from other VMs while servers of another software
version start elsewhere. The lists of those that are cut off together still agree. Only a read of
the store shows that nothing else had been published by the time at which it was sent.
"""

import math
from collections.abc import Callable, Iterable

from attrs import define, field

from pomelobarrow.decision.members.membership import MembershipView

# Longer than a watch of the store, and than the interval of reports about VMs of other regions.
MAX_LIST_AGE_S = 5.0
# Members are searched for the last one that was seen in each region at most this often.
REFRESH_S = 0.25


@define(kw_only=True)
class ListEvidence:
    """The newest reads of the store, and when VMs of the other regions were last seen."""

    view: MembershipView
    regions: tuple[str, ...]
    # Both are needed to know what may have begun a stream.
    keyspaces: tuple[str, ...]
    # Returns whether this VM is one of those that read the store for their region.
    reads_store: Callable[[], bool] = lambda: False
    _read_unix_s: dict[str, float] = field(factory=dict, init=False)
    # The store may lack what was published last before it came back from an older copy.
    _settled_unix_s: float = field(default=-math.inf, init=False)
    _seen_unix_s: float = field(default=-math.inf, init=False)
    _refresh_due_unix_s: float = field(default=-math.inf, init=False)

    def note_read(self, keyspace: str, sent_unix_s: float) -> None:
        """Record when a read of the store was sent whose answer this VM's copy contains."""
        if sent_unix_s >= self._settled_unix_s:
            known_unix_s = self._read_unix_s.get(keyspace, -math.inf)
            self._read_unix_s[keyspace] = max(known_unix_s, sent_unix_s)

    def observe_era(self, era_start: int, settled_unix_s: float) -> None:
        """Ignore reads of a new era until it has settled."""
        self._settled_unix_s = settled_unix_s

    @property
    def proven_unix_s(self) -> float:
        """Return the time up to which this VM's copies hold all that was published."""
        return min(self._read_unix_s.get(each, -math.inf) for each in self.keyspaces)

    def age_s(self, now_unix_s: float) -> float:
        """Return the age of the newest reads, infinity if there are none."""
        return max(0.0, now_unix_s - self.proven_unix_s)

    def is_current(self, now_unix_s: float) -> bool:
        """Return whether other VMs can probably find out what is published.

        A VM that doesn't read the store itself takes the sight of all regions for that.
        """
        if self.age_s(now_unix_s) <= MAX_LIST_AGE_S:
            return True
        if self.reads_store():
            return False
        return now_unix_s - self._all_seen_unix_s(now_unix_s) <= MAX_LIST_AGE_S

    def _all_seen_unix_s(self, now_unix_s: float) -> float:
        """Return the time up to which some VM of each other region was seen."""
        if now_unix_s >= self._refresh_due_unix_s:
            self._refresh_due_unix_s = now_unix_s + REFRESH_S
            self._seen_unix_s = min(self._last_seen_unix_s())
        return self._seen_unix_s

    def _last_seen_unix_s(self) -> Iterable[float]:
        view, own_region = self.view, self.view.own_region
        # Without other regions, the own one's other VMs are the only ones that may know more.
        others = [region for region in self.regions if region != own_region] or [own_region]
        last_unix_s = dict.fromkeys(others, -math.inf)
        for member in view.known():
            if member.region in last_unix_s:
                seen_unix_s = view.last_seen_unix_s(member.vm)
                last_unix_s[member.region] = max(last_unix_s[member.region], seen_unix_s)
        return last_unix_s.values()
