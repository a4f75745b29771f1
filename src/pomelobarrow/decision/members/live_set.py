"""Cache the live members of a view until the liveness of one may change."""

import math
from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.decision.members.member import LEFT, Member, name_of
from pomelobarrow.decision.members.member_record import MemberRecord


@define
class LiveSet:
    """The live members, valid until one changes or its timeout passes.

    Requests, heartbeats and periodic checks read them dozens of times a second. Evaluating all
    members each time took a fifth of the CPU time of an idle daemon in a fleet of 195.
    """

    # Incremented at each change of the live members or the listed VMs.
    version: int = 0
    # Values computed from the live members and the listed VMs, by a key that the reader chooses.
    memoized: dict[str, object] = field(factory=dict)
    suspects: frozenset[str] = frozenset()
    _valid_from_unix_s: float = math.inf
    _valid_until_unix_s: float = -math.inf
    _members: tuple[Member, ...] = ()
    _by_region: dict[str, tuple[Member, ...]] = field(factory=dict)

    def is_valid_at(self, now_unix_s: float) -> bool:
        """Return whether the cached members are valid at a time."""
        return self._valid_from_unix_s <= now_unix_s <= self._valid_until_unix_s

    def invalidate(self) -> None:
        """Force a refresh at the next read."""
        self._valid_until_unix_s = -math.inf

    def observe_update(self, record: MemberRecord, before: Member) -> None:
        """Account for new evidence of a member, given its previous description."""
        if not record.live_at_refresh or record.member is not before:
            self.invalidate()
        # The timeout becomes shorter once the heartbeat interval is known.
        due_unix_s = record.timer.due_unix_s
        if due_unix_s < self._valid_until_unix_s:
            self._valid_until_unix_s = due_unix_s

    def refresh(self, records: Iterable[MemberRecord], own: Member, now_unix_s: float) -> None:
        """Evaluate every member."""
        self._valid_from_unix_s, self._valid_until_unix_s = now_unix_s, math.inf
        live, suspects = [own], []
        for record in records:
            record.live_at_refresh = record.is_live(now_unix_s)
            if record.live_at_refresh:
                live.append(record.member)
                self._valid_until_unix_s = min(self._valid_until_unix_s, record.timer.due_unix_s)
            elif record.member.phase != LEFT:
                suspects.append(record.member.vm)
        self._replace_members(tuple(sorted(live, key=name_of)), frozenset(suspects))

    def in_region(self, region: str | None) -> tuple[Member, ...]:
        """Return the live members of a region, or of all regions."""
        if region is None:
            return self._members
        if region not in self._by_region:
            found = tuple(each for each in self._members if each.region == region)
            self._by_region[region] = found
        return self._by_region[region]

    def _replace_members(self, members: tuple[Member, ...], suspects: frozenset[str]) -> None:
        if (members, suspects) != (self._members, self.suspects):
            self._members, self.suspects = members, suspects
            self.mark_changed()

    def mark_changed(self) -> None:
        """Count a change and drop all values computed before it."""
        self.version += 1
        self._by_region.clear()
        self.memoized.clear()
