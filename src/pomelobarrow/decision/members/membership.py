"""Track which entry VMs exist, which of them are live, and the successors of those that left."""

import math
from collections.abc import Callable, Iterable
from typing import TypeVar, cast

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.members.heartbeat_timer import HeartbeatTimer
from pomelobarrow.decision.members.live_set import LiveSet
from pomelobarrow.decision.members.member import (
    LEFT,
    READY,
    ListedVm,
    Member,
    Phase,
    later_phase,
)
from pomelobarrow.decision.members.member_record import LivenessStatus, MemberRecord

FORGET_AFTER_S = 600.0
SUCCESSOR_KEPT_S = 3_600.0
SUCCESSORS_KEPT = 1_024
# Members beyond so many aren't added: reports of members are passed on through the whole fleet.
MAX_MEMBERS = 2_048
MAX_TEXT_CHARACTERS = 256

T = TypeVar("T")


@frozen
class _Handover:
    successor: str
    learned_unix_s: float


@define
class MembershipView:
    """One daemon's view of the entry VMs; the views of two daemons may differ for a while."""

    own_vm: str
    own_region: str
    forget_after_s: float = FORGET_AFTER_S
    own: Member = field(init=False)
    # The highest incarnation of this VM that another one knows; 0 if none does.
    own_incarnation_of_peers: int = field(default=0, init=False)
    _records: dict[str, MemberRecord] = field(factory=dict, init=False, repr=False)
    _listed: dict[str, ListedVm] = field(factory=dict, init=False, repr=False)
    _handovers: dict[tuple[str, int], _Handover] = field(factory=dict, init=False, repr=False)
    _pause_unix_s: float | None = field(default=None, init=False)
    _latest_unix_s: float = field(default=0.0, init=False)
    _tick_due_unix_s: float = field(default=math.inf, init=False)
    _reported_version: int = field(default=-1, init=False)
    _live: LiveSet = field(factory=LiveSet, init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        self.own = Member(vm=self.own_vm, region=self.own_region)

    def _resolve_unix_s(self, now_unix_s: float | None) -> float:
        """Return the given time, or the time of the latest observation if none is given."""
        if now_unix_s is None:
            return self._latest_unix_s
        self._latest_unix_s = now_unix_s
        return now_unix_s

    def _evaluation_unix_s(self, now_unix_s: float) -> float:
        """Return the time up to which the silence of other members counts.

        After a pause of this process, the view may be read before the next tick detects the pause,
        and every member would appear dead. Time without ticks therefore isn't counted as silence.
        """
        return min(now_unix_s, self._tick_due_unix_s)

    def observe_tick(self, tick_due_unix_s: float) -> None:
        """Record that this process is running and that its next tick is due by the given time."""
        self._tick_due_unix_s = tick_due_unix_s

    def observe_own(self, member: Member) -> None:
        """Set this daemon's own description."""
        self.own = member
        self._live.invalidate()

    def observe_listed(self, vms: Iterable[ListedVm]) -> None:
        """Replace the list of VMs published by the platform."""
        listed_by_vm = {listed.vm: listed for listed in vms}
        if listed_by_vm != self._listed:
            self._listed = listed_by_vm
            self._live.mark_changed()

    def observe_heartbeat(self, member: Member, now_unix_s: float) -> bool:
        """Apply a heartbeat received from the member itself; return False if it is out of date."""
        if member.vm == self.own_vm:
            return False
        last_seen_unix_s = self._resolve_unix_s(now_unix_s)
        record = self._records.get(member.vm)
        if not self._has_room_for(member):
            return False
        if record is None or member.incarnation > record.member.incarnation:
            record = MemberRecord(member, HeartbeatTimer(), last_seen_unix_s)
            self._records[member.vm] = record
        elif not record.is_newer_heartbeat(member):
            return False
        before = record.member
        record.apply_heartbeat(member, last_seen_unix_s)
        self._live.observe_update(record, before)
        self._note_successor(record.member, now_unix_s)
        return True

    def observe_summary(self, member: Member, now_unix_s: float, reported_by: str = "") -> bool:
        """Apply another daemon's description of a member; it never overrides direct evidence."""
        if member.vm == self.own_vm:
            known = max(self.own_incarnation_of_peers, member.incarnation)
            self.own_incarnation_of_peers = known
            return False
        last_seen_unix_s = min(member.last_seen_unix_s, self._resolve_unix_s(now_unix_s))
        # An old update about a forgotten VM would make daemons re-add it from one another.
        if now_unix_s - last_seen_unix_s > self.forget_after_s or not self._has_room_for(member):
            return False
        self._note_successor(member, now_unix_s)
        record = self._records.get(member.vm)
        if record is None or member.incarnation > record.member.incarnation:
            timer = HeartbeatTimer(last_seen_unix_s)
            record = MemberRecord(member, timer, last_seen_unix_s, reported_by=reported_by)
            self._records[member.vm] = record
            self._live.invalidate()
            return True
        if member.incarnation < record.member.incarnation:
            return False
        before = record.member
        record.member = evolve(before, phase=later_phase(before, member))
        if record.is_newer_report(last_seen_unix_s, now_unix_s):
            record.apply_report(last_seen_unix_s, reported_by)
        self._live.observe_update(record, before)
        return True

    def observe_last_seen(
        self,
        vm: str,
        incarnation: int,
        last_seen_unix_s: float,
        now_unix_s: float,
        timeout_s: float | None = None,
        reported_by: str = "",
    ) -> bool:
        """Apply a report that a known member was seen; return whether it was newer.

        A timeout is given where reports are expected so regularly that their absence counts as
        silence of the member.
        """
        record = self._records.get(vm)
        if record is None or record.member.incarnation != incarnation:
            return False
        self._latest_unix_s = now_unix_s
        if last_seen_unix_s > now_unix_s:
            last_seen_unix_s = now_unix_s
        if not record.is_newer_report(last_seen_unix_s, now_unix_s):
            return False
        record.apply_report(last_seen_unix_s, reported_by, timeout_s)
        self._live.observe_update(record, record.member)
        return True

    def observe_link_closed(self, vm: str, now_unix_s: float) -> None:
        """Rely on reports from now on: the last stream to a member was closed on purpose."""
        record = self._records.get(vm)
        if record is not None and record.is_live(self._resolve_unix_s(now_unix_s)):
            record.expect_reports_only()
            self._live.invalidate()

    def observe_leave(
        self, vm: str, incarnation: int, successor: str, now_unix_s: float | None = None
    ) -> None:
        """Record a planned stop: the member gets no new work, the successor takes over its ids."""
        if successor and _are_short((vm, successor)):
            self._note_handover((vm, incarnation), successor, self._resolve_unix_s(now_unix_s))
        record = self._records.get(vm)
        is_known = record is not None and record.member.incarnation == incarnation
        if record is not None and is_known and _are_short((successor,)):
            record.member = evolve(record.member, phase=LEFT, successor=successor)
            self._live.invalidate()

    def observe_pause(self, now_unix_s: float, gap_s: float) -> None:
        """Mark the view as untrusted after a pause of this process and restart the timers."""
        self._pause_unix_s = self._resolve_unix_s(now_unix_s)
        # Heartbeats that arrived during the pause are still unread in the sockets. By the clock
        # alone, every member would appear dead.
        for record in self._records.values():
            # After the clock was set back, reports would count as old until it has caught up.
            record.last_seen_unix_s = min(record.last_seen_unix_s, now_unix_s)
            record.grant_pause_grace(now_unix_s, gap_s)
            if not record.timer.is_overdue(now_unix_s - gap_s):
                record.timer.restart(now_unix_s)
        self._live.invalidate()

    def is_trusted(self, now_unix_s: float) -> bool:
        """Return whether each member has sent a heartbeat or timed out since the last pause."""
        if self._pause_unix_s is None:
            return True
        waiting = (
            record
            for record in self._records.values()
            if record.direct and record.timer.awaits_heartbeat(now_unix_s)
        )
        if any(waiting):
            return False
        self._pause_unix_s = None
        return True

    def _current_live_set(self, now_unix_s: float) -> LiveSet:
        """Return the live set, refreshed if the liveness of a member may have changed."""
        evaluated_unix_s = self._evaluation_unix_s(now_unix_s)
        if not self._live.is_valid_at(evaluated_unix_s):
            self._live.refresh(self._records.values(), self.own, evaluated_unix_s)
        return self._live

    def suspects(self, now_unix_s: float) -> frozenset[str]:
        """Return the VMs of members whose silence exceeds their timeout."""
        return self._current_live_set(now_unix_s).suspects

    def memoized(self, key: str, compute: Callable[[], T], now_unix_s: float | None = None) -> T:
        """Return a value computed from the live members and the listed VMs alone.

        It is computed again only after these have changed.
        """
        kept = self._current_live_set(self._resolve_unix_s(now_unix_s)).memoized
        if key not in kept:
            kept[key] = compute()
        return cast(T, kept[key])

    def liveness_changes(self, now_unix_s: float) -> list[LivenessStatus]:
        """Return the status of members whose liveness has changed since the last call.

        A silent member that wasn't known at the last call doesn't count as changed, since each new
        link brings old updates about VMs that are gone.
        """
        version = self._current_live_set(now_unix_s).version
        if version == self._reported_version:
            return []
        self._reported_version = version
        changed = [r for r in self._records.values() if r.live_at_refresh != r.live_when_reported]
        for record in changed:
            record.live_when_reported = record.live_at_refresh
        return [record.liveness_status(now_unix_s) for record in changed]

    def live(
        self, region: str | None = None, now_unix_s: float | None = None
    ) -> tuple[Member, ...]:
        """Return this daemon's own member and all other live ones, sorted by VM name."""
        return self._current_live_set(self._resolve_unix_s(now_unix_s)).in_region(region)

    def live_peers(
        self, region: str | None = None, now_unix_s: float | None = None
    ) -> tuple[Member, ...]:
        """Return the live members except this daemon's own."""
        members = self.live(region, now_unix_s)
        return tuple(member for member in members if member.vm != self.own_vm)

    def usable_entries(
        self, region: str | None = None, now_unix_s: float | None = None
    ) -> tuple[Member, ...]:
        """Return the live members that accept new work."""
        return tuple(member for member in self.live(region, now_unix_s) if self._is_usable(member))

    def entries_for_callers(
        self, region: str | None = None, now_unix_s: float | None = None
    ) -> tuple[Member, ...]:
        """Return the usable entries that were seen recently.

        The timeout of a member follows the interval of its heartbeats and is long while that is
        unknown, so callers were directed to a VM without power for 14 s. Work forwarded to a dead
        member is retried elsewhere quickly, but a caller has to detect the failure itself.
        """
        return self._recently_seen(self.usable_entries(region, now_unix_s))

    def leaving_entries_for_callers(self, now_unix_s: float) -> tuple[Member, ...]:
        """Return the members that are stopping, still serve, and were seen recently."""
        leaving = Phase.LEAVING.value
        members = self.live(now_unix_s=now_unix_s)
        return self._recently_seen(member for member in members if member.phase == leaving)

    def _recently_seen(self, members: Iterable[Member]) -> tuple[Member, ...]:
        now_unix_s = self._evaluation_unix_s(self._latest_unix_s)
        records = self._records
        return tuple(
            member
            for member in members
            if member.vm == self.own_vm or records[member.vm].is_fresh(now_unix_s)
        )

    def _is_usable(self, member: Member) -> bool:
        listed = self._listed.get(member.vm)
        return member.phase == READY and not (listed and listed.leaving)

    def known(self) -> tuple[Member, ...]:
        """Return every member not yet forgotten, for updates to other VMs."""
        return tuple(record.member for record in self._records.values())

    def get(self, vm: str) -> Member | None:
        """Return the newest known incarnation of a VM."""
        if vm == self.own_vm:
            return self.own
        record = self._records.get(vm)
        return record.member if record else None

    def region_of(self, vm: str) -> str | None:
        """Return the region of the newest known incarnation of a VM."""
        member = self.get(vm)
        return member.region if member else None

    def last_seen_unix_s(self, vm: str) -> float:
        """Return when a member was last seen, by this VM or as reported by a peer; 0 if never."""
        record = self._records.get(vm)
        return record.last_seen_unix_s if record else 0.0

    def is_directly_observed(self, vm: str) -> bool:
        """Return whether the last evidence of a member was a heartbeat received by this VM."""
        record = self._records.get(vm)
        return record is not None and record.direct

    def contacts(self, now_unix_s: float) -> tuple[ListedVm, ...]:
        """Return the listed VMs that aren't live, to try to connect to."""
        live = {member.vm for member in self.live(now_unix_s=now_unix_s)}
        return tuple(listed for vm, listed in sorted(self._listed.items()) if vm not in live)

    def successor_of(self, vm: str, incarnation: int) -> str | None:
        """Return the VM that took over the request ids of an incarnation."""
        handover = self._handovers.get((vm, incarnation))
        return handover.successor if handover else None

    def forget(self, now_unix_s: float) -> tuple[str, ...]:
        """Drop members that left or fell silent long ago; return their VM names."""
        forgotten = [
            vm
            for vm, record in self._records.items()
            if record.timer.silence_s(now_unix_s) > self.forget_after_s
        ]
        for vm in forgotten:
            del self._records[vm]
        if forgotten:
            self._live.invalidate()
        self._forget_handovers(now_unix_s)
        return tuple(forgotten)

    def _forget_handovers(self, now_unix_s: float) -> None:
        oldest_unix_s = now_unix_s - SUCCESSOR_KEPT_S
        kept = [item for item in self._handovers.items() if item[1].learned_unix_s > oldest_unix_s]
        kept.sort(key=lambda item: item[1].learned_unix_s)
        self._handovers = dict(kept[-SUCCESSORS_KEPT:])

    def _note_successor(self, member: Member, now_unix_s: float) -> None:
        key = (member.vm, member.incarnation)
        if member.successor and key not in self._handovers:
            self._note_handover(key, member.successor, now_unix_s)

    def _note_handover(self, key: tuple[str, int], successor: str, learned_unix_s: float) -> None:
        self._handovers.pop(key, None)
        self._handovers[key] = _Handover(successor, learned_unix_s)
        if len(self._handovers) > SUCCESSORS_KEPT:
            # The one that was learned first.
            del self._handovers[next(iter(self._handovers))]

    def _has_room_for(self, member: Member) -> bool:
        """Return whether a member may be added or described anew."""
        is_known = member.vm in self._records
        return (is_known or len(self._records) < MAX_MEMBERS) and _are_short(
            (
                member.vm,
                member.region,
                member.failure_domain,
                member.caller_address,
                member.peer_address,
                member.phase,
                member.successor,
            )
        )


def _are_short(texts: Iterable[str]) -> bool:
    return all(len(text) <= MAX_TEXT_CHARACTERS for text in texts)
