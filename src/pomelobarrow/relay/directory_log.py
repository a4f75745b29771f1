"""Tell when callers of a failure domain are led to other VMs than before."""

from collections.abc import Callable, Iterable

from attrs import define, field

from pomelobarrow.decision.member import Member
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.relay.events import DirectoryChanged
from pomelobarrow.relay.wire import DirectoryQuery

# A caller states its own place. Far more places than any fleet has come from a faulty caller, and
# are not followed.
MAX_PLACES = 64

Place = tuple[str, str]


@define(kw_only=True)
class DirectoryLog:
    """Hold whom the callers of each failure domain were led to last."""

    view: MembershipView
    observe: Callable[[object], None]
    _named: dict[Place, frozenset[str]] = field(factory=dict, init=False)

    def note(self, query: DirectoryQuery, members: Iterable[Member], now_unix_s: float) -> None:
        """Report an answer that names other VMs than the last one for its place."""
        place = (query.region, query.failure_domain)
        named = {member.vm: self._heard_age_s(member, now_unix_s) for member in members}
        if self._named.get(place) == named.keys():
            return
        if place not in self._named and len(self._named) >= MAX_PLACES:
            return
        self._named[place] = frozenset(named)
        left_out = {
            member.vm: self._heard_age_s(member, now_unix_s)
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

    def _heard_age_s(self, member: Member, now_unix_s: float) -> float:
        is_own = member.vm == self.view.own_vm
        return 0.0 if is_own else round(now_unix_s - self.view.last_seen_unix_s(member.vm), 3)
