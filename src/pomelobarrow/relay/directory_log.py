"""Report when clients of a failure domain are directed to other VMs than before."""

from collections.abc import Callable, Iterable

from attrs import define, field

from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.relay.events import DirectoryChanged
from pomelobarrow.relay.wire import DirectoryQuery

# Clients state their own location. More locations than this can only come from a faulty client; the
# excess is not tracked.
MAX_LOCATIONS = 64

ClientLocation = tuple[str, str]


@define(kw_only=True)
class DirectoryLog:
    """Track the VMs last named to the clients of each failure domain and report changes."""

    view: MembershipView
    observe: Callable[[object], None]
    _named: dict[ClientLocation, frozenset[str]] = field(factory=dict, init=False)

    def note(self, query: DirectoryQuery, members: Iterable[Member], now_unix_s: float) -> None:
        """Report an answer that names other VMs than the last one for the same location."""
        location = (query.region, query.failure_domain)
        named = {member.vm: self._last_seen_age_s(member, now_unix_s) for member in members}
        if self._named.get(location) == named.keys():
            return
        if location not in self._named and len(self._named) >= MAX_LOCATIONS:
            return
        self._named[location] = frozenset(named)
        left_out = {
            member.vm: self._last_seen_age_s(member, now_unix_s)
            for member in self.view.known()
            if member.region == query.region and member.vm not in named
        }
        self.observe(
            DirectoryChanged(
                region=query.region,
                failure_domain=query.failure_domain,
                named=named,
                left_out=left_out,
            )
        )

    def _last_seen_age_s(self, member: Member, now_unix_s: float) -> float:
        is_own = member.vm == self.view.own_vm
        return 0.0 if is_own else round(now_unix_s - self.view.last_seen_unix_s(member.vm), 3)
