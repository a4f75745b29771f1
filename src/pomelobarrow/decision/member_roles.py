"""Choose which VMs read the platform for a region and which exchange with other regions."""

from collections.abc import Iterable

from pomelobarrow.decision.member import Member, name_of
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.rendezvous import rendezvous_spread

WATCHERS = 2
RELAYS = 2
# A watcher speaks on its own link and answers on ours, each at least every 1.1 s; one that only
# others speak of is heard a hop of a second later.
SILENT_WATCHER_S = 1.6
SILENT_WATCHER_TOLD_OF_S = 2.6


def _domain_of(member: Member) -> str:
    return member.failure_domain


def _pick(key: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
    return rendezvous_spread(key, members, count, name_of, _domain_of)


def watchers(
    view: MembershipView, region: str, count: int = WATCHERS, now_unix_s: float | None = None
) -> tuple[Member, ...]:
    """Return the members of a region that read the platform for it."""
    return _ranked(view, region, now_unix_s)[:count]


def _ranked(view: MembershipView, region: str, now_unix_s: float | None) -> tuple[Member, ...]:
    """Return a region's live members in the order in which they read the platform."""
    key = f"watch/{region}"

    def rank() -> tuple[Member, ...]:
        members = view.live(region, now_unix_s)
        return _pick(key, members, len(members))

    return view.memoized(key, rank, now_unix_s)


def reads_platform(view: MembershipView, now_unix_s: float) -> bool:
    """Say whether this VM reads the platform: for its region, or for want of a better reader.

    When both watchers lose their power, the others rely on them until they count as dead, 3 to 15 s
    later, and send to servers that have left meanwhile. So the next by rank reads once all before
    it are silent for a moment; a leaving server is served for 3 s. Were all others to read then, a
    region of 65 VMs would make 60 calls for one, each time that two watchers are heard late.
    """
    before = []
    for member in _ranked(view, view.own_region, now_unix_s):
        if member.vm == view.own_vm:
            break
        before.append(member)
    if len(before) < WATCHERS:
        return True
    return not any(_speaks(view, member, now_unix_s) for member in before)


def _speaks(view: MembershipView, watcher: Member, now_unix_s: float) -> bool:
    is_direct = view.is_directly_observed(watcher.vm)
    allowed_s = SILENT_WATCHER_S if is_direct else SILENT_WATCHER_TOLD_OF_S
    return now_unix_s - view.last_seen_unix_s(watcher.vm) <= allowed_s


def relays(
    view: MembershipView,
    own_region: str,
    other_region: str,
    count: int = RELAYS,
    now_unix_s: float | None = None,
) -> tuple[Member, ...]:
    """Return the members of own_region that exchange with the other one."""
    return relays_among(view.live(own_region, now_unix_s), own_region, other_region, count)


def relays_among(
    members: Iterable[Member], own_region: str, other_region: str, count: int = RELAYS
) -> tuple[Member, ...]:
    """Return those of own_region's live members that exchange with the other one."""
    key = f"relay/{min(own_region, other_region)}/{max(own_region, other_region)}"
    return _pick(key, members, count)
