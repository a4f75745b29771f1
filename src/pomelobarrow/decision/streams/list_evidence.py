"""Know whether this VM's list of servers may lack what was listed lately.

Load pattern: a VM or a region is cut off from the store and from the other regions while servers of
another software version start there. Its own list and those of its peers then still agree.
"""

import math
from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.decision.members.membership import MembershipView

# Longer than a watch of the store, and than the interval of reports about VMs of other regions.
MAX_LIST_AGE_S = 5.0
# Members are searched for the last one that was seen in each region at most this often.
REFRESH_S = 0.25


@define(kw_only=True)
class ListEvidence:
    """The newest evidence that no other list exists: a read of the store, or all other regions."""

    view: MembershipView
    regions: tuple[str, ...]
    _read_unix_s: float = field(default=-math.inf, init=False)
    _seen_unix_s: float = field(default=-math.inf, init=False)
    _refresh_due_unix_s: float = field(default=-math.inf, init=False)

    def note_read(self, sent_unix_s: float) -> None:
        """Record when a read of the store was sent whose answer this VM's list contains."""
        self._read_unix_s = max(self._read_unix_s, sent_unix_s)

    def age_s(self, now_unix_s: float) -> float:
        """Return the age of the newest evidence, infinity if there is none."""
        return max(0.0, now_unix_s - max(self._read_unix_s, self._all_seen_unix_s(now_unix_s)))

    def is_current(self, now_unix_s: float) -> bool:
        """Return whether what another VM has listed would have arrived here."""
        return self.age_s(now_unix_s) <= MAX_LIST_AGE_S

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
