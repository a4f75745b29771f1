"""Select the VMs that read the platform for a region and those that relay to other regions."""

from collections.abc import Iterable

from pomelobarrow.decision.common.rendezvous import rendezvous_spread
from pomelobarrow.decision.members.member import Member, name_of
from pomelobarrow.decision.members.membership import MembershipView

WATCHERS = 2
RELAYS = 2
# A watcher and this VM have two links, one opened by each. The watcher sends on the link that it
# opened and answers on the one that this VM opened, on each at least every 1.1 s. Reports of a
# watcher that has no direct link arrive one hop, about a second, later.
DIRECT_WATCHER_TIMEOUT_S = 1.6
REPORTED_WATCHER_TIMEOUT_S = 2.6


def _failure_domain_of(member: Member) -> str:
    return member.failure_domain


def _pick(key: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
    return rendezvous_spread(key, members, count, name_of, _failure_domain_of)


def watchers(
    view: MembershipView, region: str, count: int = WATCHERS, now_unix_s: float | None = None
) -> tuple[Member, ...]:
    """Return the members of a region that read the platform for it."""
    return _ranked_watchers(view, region, now_unix_s)[:count]


def _ranked_watchers(
    view: MembershipView, region: str, now_unix_s: float | None
) -> tuple[Member, ...]:
    """Return a region's live members, ranked as readers of the platform."""
    key = f"watch/{region}"

    def rank() -> tuple[Member, ...]:
        members = view.live(region, now_unix_s)
        return _pick(key, members, len(members))

    return view.memoized(key, rank, now_unix_s)


def reads_platform(view: MembershipView, now_unix_s: float) -> bool:
    """Return whether this VM reads the platform: as a watcher, or because all before it are silent.

    When both watchers lose power, the other VMs rely on them until they count as dead, 3 to 15 s
    later, and send requests to servers that have left in the meantime. A leaving server accepts
    requests for 3 s, so the next VM in the ranking reads as soon as all VMs before it are briefly
    silent. If all others read then, a region of 65 VMs would make 60 calls instead of one whenever
    the heartbeats of two watchers are late.
    """
    ranked_before = []
    for member in _ranked_watchers(view, view.own_region, now_unix_s):
        if member.vm == view.own_vm:
            break
        ranked_before.append(member)
    if len(ranked_before) < WATCHERS:
        return True
    return not any(_is_responsive(view, member, now_unix_s) for member in ranked_before)


def _is_responsive(view: MembershipView, watcher: Member, now_unix_s: float) -> bool:
    is_direct = view.is_directly_observed(watcher.vm)
    allowed_s = DIRECT_WATCHER_TIMEOUT_S if is_direct else REPORTED_WATCHER_TIMEOUT_S
    return now_unix_s - view.last_seen_unix_s(watcher.vm) <= allowed_s


def relays(
    view: MembershipView,
    own_region: str,
    other_region: str,
    count: int = RELAYS,
    now_unix_s: float | None = None,
) -> tuple[Member, ...]:
    """Return the members of `own_region` that exchange updates with the other region."""
    return relays_among(view.live(own_region, now_unix_s), own_region, other_region, count)


def relays_among(
    members: Iterable[Member], own_region: str, other_region: str, count: int = RELAYS
) -> tuple[Member, ...]:
    """Return those of the given live members that exchange updates with the other region."""
    key = f"relay/{min(own_region, other_region)}/{max(own_region, other_region)}"
    return _pick(key, members, count)
