"""Cache the live and the usable members for many requests."""

from collections.abc import Sequence

from attrs import define, field

from pomelobarrow.decision.members.connect_backoff import ConnectBackoff
from pomelobarrow.decision.members.member import Member, Phase
from pomelobarrow.decision.members.membership import MembershipView

# Evaluating all members for each request took a twentieth of a VM's CPU time in a fleet of 75. A
# change within this time is detected by the attempt that fails.
CACHE_TTL_S = 0.2


@define(kw_only=True)
class LiveMembers:
    """Recently evaluated live members, and those of them that accept work."""

    view: MembershipView
    connect_backoff: ConnectBackoff = field(factory=ConnectBackoff)
    live: Sequence[Member] = ()
    usable: Sequence[Member] = ()
    _good_until_unix_s: float = 0.0
    _usable_by_region: dict[str, list[Member]] = field(factory=dict)

    @property
    def are_known(self) -> bool:
        """Return whether this VM has joined; before, it may have received no heartbeat yet."""
        return self.view.own.phase != Phase.STARTING.value

    def refresh(self, now_unix_s: float) -> None:
        """Evaluate the members again if the cached ones have expired."""
        if not 0.0 <= self._good_until_unix_s - now_unix_s <= CACHE_TTL_S:
            self.live = self.view.live(now_unix_s=now_unix_s)
            self.usable = [
                member
                for member in self.view.usable_entries(now_unix_s=now_unix_s)
                if not self.connect_backoff.is_backed_off(member.vm, now_unix_s)
            ]
            self._usable_by_region.clear()
            self._good_until_unix_s = now_unix_s + CACHE_TTL_S

    def note_connect_failure(self, vm: str, now_unix_s: float) -> None:
        """Leave a peer out for a while after a connection to it failed."""
        self.connect_backoff.note_connect_failure(vm, now_unix_s)
        self._good_until_unix_s = 0.0

    def usable_in(self, region: str) -> Sequence[Member]:
        """Return the members of a region that accept work."""
        members = self._usable_by_region.get(region)
        if members is None:
            members = [member for member in self.usable if member.region == region]
            self._usable_by_region[region] = members
        return members
