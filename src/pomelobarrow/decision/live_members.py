"""The members that live and those that take work, looked up once for many requests."""

from collections.abc import Sequence

from attrs import define, field

from pomelobarrow.decision.connect_backoff import ConnectBackoff
from pomelobarrow.decision.member import Member
from pomelobarrow.decision.membership import MembershipView

# Going through all members for each request cost a twentieth of a VM's time in a fleet of 75; what
# changes within this time is noticed by the attempt itself.
MEMBERS_GOOD_FOR_S = 0.2


@define(kw_only=True)
class LiveMembers:
    """Hold the members that live and those that take work, as of a moment ago."""

    view: MembershipView
    connect_backoff: ConnectBackoff = field(factory=ConnectBackoff)
    live: Sequence[Member] = ()
    usable: Sequence[Member] = ()
    _good_until_unix_s: float = 0.0

    def refresh(self, now_unix_s: float) -> None:
        """Look again where the last look is old."""
        if not 0.0 <= self._good_until_unix_s - now_unix_s <= MEMBERS_GOOD_FOR_S:
            self.live = self.view.live(now_unix_s=now_unix_s)
            self.usable = [
                member
                for member in self.view.usable_entries(now_unix_s=now_unix_s)
                if not self.connect_backoff.is_left_out(member.vm, now_unix_s)
            ]
            self._good_until_unix_s = now_unix_s + MEMBERS_GOOD_FOR_S

    def note_connect_failure(self, vm: str, now_unix_s: float) -> None:
        """Pass over a peer to which no connection could be made."""
        self.connect_backoff.note_connect_failure(vm, now_unix_s)
        self._good_until_unix_s = 0.0

    def usable_in(self, region: str) -> list[Member]:
        """Return the members of a region that take work."""
        return [member for member in self.usable if member.region == region]
