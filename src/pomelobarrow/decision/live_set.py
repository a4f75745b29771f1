"""Look the live members up once for all who ask, and again when one may be judged otherwise."""

import math
from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.decision.member import LEFT, Member, name_of
from pomelobarrow.decision.member_record import MemberRecord


@define
class LiveSet:
    """Hold the live members for as long as none of them can be judged otherwise.

    Requests, heartbeats and reviews ask for them some dozens of times a second. Going through all
    members each time was a fifth of an idle daemon's work in a fleet of 195; now they are gone
    through when one changes, or falls due without having been heard.
    """

    # Counts the changes of the live members and of the listed VMs.
    version: int = 0
    # What was derived from them, by a key of whoever derived it.
    memoized: dict[str, object] = field(factory=dict)
    suspects: frozenset[str] = frozenset()
    _from_unix_s: float = math.inf
    _due_unix_s: float = -math.inf
    _members: tuple[Member, ...] = ()
    _by_region: dict[str, tuple[Member, ...]] = field(factory=dict)

    def holds_at(self, now_unix_s: float) -> bool:
        """Say whether the last look is still true."""
        return self._from_unix_s <= now_unix_s <= self._due_unix_s

    def invalidate(self) -> None:
        """Look up anew at the next question."""
        self._due_unix_s = -math.inf

    def note(self, record: MemberRecord, before: Member) -> None:
        """Take in that a member was heard, and how it was described before."""
        if not record.is_counted_live or record.member is not before:
            self.invalidate()
        # A pace that becomes known shortens the silence that is allowed.
        self._due_unix_s = min(self._due_unix_s, record.timer.due_unix_s)

    def look_up(self, records: Iterable[MemberRecord], own: Member, now_unix_s: float) -> None:
        """Judge every member."""
        self._from_unix_s, self._due_unix_s = now_unix_s, math.inf
        live, suspects = [own], []
        for record in records:
            record.is_counted_live = record.is_live(now_unix_s)
            if record.is_counted_live:
                live.append(record.member)
                self._due_unix_s = min(self._due_unix_s, record.timer.due_unix_s)
            elif record.member.phase != LEFT:
                suspects.append(record.member.vm)
        self._take(tuple(sorted(live, key=name_of)), frozenset(suspects))

    def of(self, region: str | None) -> tuple[Member, ...]:
        """Return the live members of a region, or all of them."""
        if region is None:
            return self._members
        if region not in self._by_region:
            found = tuple(each for each in self._members if each.region == region)
            self._by_region[region] = found
        return self._by_region[region]

    def _take(self, members: tuple[Member, ...], suspects: frozenset[str]) -> None:
        if (members, suspects) != (self._members, self.suspects):
            self._members, self.suspects = members, suspects
            self.change()

    def change(self) -> None:
        """Drop what was derived from other members or another list."""
        self.version += 1
        self._by_region.clear()
        self.memoized.clear()
