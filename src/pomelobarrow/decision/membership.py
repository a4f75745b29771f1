"""Which entry VMs exist, which of them answer, and who took over from those that left."""

import math
from collections.abc import Callable, Iterable
from typing import TypeVar, cast

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.heartbeat_timer import HeartbeatTimer
from pomelobarrow.decision.live_set import LiveSet
from pomelobarrow.decision.member import (
    LEFT,
    READY,
    ListedVm,
    Member,
    Phase,
    later_phase,
)
from pomelobarrow.decision.member_record import LivenessStatus, MemberRecord

FORGET_AFTER_S = 600.0
SUCCESSOR_KEPT_S = 3_600.0
SUCCESSORS_KEPT = 1_024

T = TypeVar("T")


@frozen
class _Handover:
    successor: str
    learned_unix_s: float


@define
class MembershipView:
    """Hold one daemon's own view of the entry VMs; another daemon's may differ for a while."""

    own_vm: str
    own_region: str
    forget_after_s: float = FORGET_AFTER_S
    own: Member = field(init=False)
    _records: dict[str, MemberRecord] = field(factory=dict, init=False, repr=False)
    _listed: dict[str, ListedVm] = field(factory=dict, init=False, repr=False)
    _handovers: dict[tuple[str, int], _Handover] = field(factory=dict, init=False, repr=False)
    _pause_unix_s: float | None = field(default=None, init=False)
    _latest_unix_s: float = field(default=0.0, init=False)
    _awake_until_unix_s: float = field(default=math.inf, init=False)
    _reported_version: int = field(default=-1, init=False)
    _live: LiveSet = field(factory=LiveSet, init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        self.own = Member(vm=self.own_vm, region=self.own_region)

    def _time(self, now_unix_s: float | None) -> float:
        """Return the time given, else the latest one told by an observation."""
        if now_unix_s is None:
            return self._latest_unix_s
        self._latest_unix_s = now_unix_s
        return now_unix_s

    def _judged(self, now_unix_s: float) -> float:
        """Return the time up to which the others' silence counts.

        A process that stood still is asked for its view before its own clock's next tick tells it
        of the pause: everyone would look dead to it. Time without ticks is no one else's silence.
        """
        return min(now_unix_s, self._awake_until_unix_s)

    def observe_tick(self, until_unix_s: float) -> None:
        """Note that this process is awake and ticks again by a certain time."""
        self._awake_until_unix_s = until_unix_s

    def observe_own(self, member: Member) -> None:
        """State this daemon's own description."""
        self.own = member
        self._live.invalidate()

    def observe_listed(self, vms: Iterable[ListedVm]) -> None:
        """Take the platform's list, whole."""
        listed_by_vm = {listed.vm: listed for listed in vms}
        if listed_by_vm != self._listed:
            self._listed = listed_by_vm
            self._live.change()

    def observe_heartbeat(self, member: Member, now_unix_s: float) -> bool:
        """Take a heartbeat from the member itself; False for one that is out of date."""
        if member.vm == self.own_vm:
            return False
        last_seen_unix_s = self._time(now_unix_s)
        record = self._records.get(member.vm)
        if record is None or member.incarnation > record.member.incarnation:
            record = MemberRecord(member, HeartbeatTimer(), last_seen_unix_s)
            self._records[member.vm] = record
        elif not record.is_newer(member):
            return False
        before = record.member
        record.take_heartbeat(member, last_seen_unix_s)
        self._live.note(record, before)
        self._note_successor(record.member, now_unix_s)
        return True

    def observe_summary(self, member: Member, now_unix_s: float, reported_by: str = "") -> bool:
        """Take what another daemon says of a member; it never goes before direct evidence."""
        if member.vm == self.own_vm:
            return False
        last_seen_unix_s = min(member.last_seen_unix_s, self._time(now_unix_s))
        # Old news about a VM that was forgotten would bring it back, from daemon to daemon.
        if now_unix_s - last_seen_unix_s > self.forget_after_s:
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
        if record.is_news(last_seen_unix_s, now_unix_s):
            record.take_word(last_seen_unix_s, reported_by)
        self._live.note(record, before)
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
        """Take word that a known member was heard; say whether that was news.

        With a timeout, words are expected so often that their end means what silence does.
        """
        record = self._records.get(vm)
        if record is None or record.member.incarnation != incarnation:
            return False
        last_seen_unix_s = min(last_seen_unix_s, self._time(now_unix_s))
        if not record.is_news(last_seen_unix_s, now_unix_s):
            return False
        record.take_word(last_seen_unix_s, reported_by, timeout_s)
        self._live.note(record, record.member)
        return True

    def observe_link_closed(self, vm: str, now_unix_s: float) -> None:
        """Expect only others' words on a member: the last stream to it was closed by choice."""
        record = self._records.get(vm)
        if record is not None and record.is_live(self._time(now_unix_s)):
            record.await_words()
            self._live.invalidate()

    def observe_leave(
        self, vm: str, incarnation: int, successor: str, now_unix_s: float | None = None
    ) -> None:
        """Take a planned stop: the member gets no new work, its ids go to the successor."""
        if successor:
            self._handovers[(vm, incarnation)] = _Handover(successor, self._time(now_unix_s))
        record = self._records.get(vm)
        if record is not None and record.member.incarnation == incarnation:
            record.member = evolve(record.member, phase=LEFT, successor=successor)
            self._live.invalidate()

    def observe_pause(self, now_unix_s: float, gap_s: float) -> None:
        """Distrust the view after this process stood still; restart every timer."""
        self._pause_unix_s = self._time(now_unix_s)
        # The others' heartbeats wait unread in the sockets. Judged by the clock alone, every
        # member would look dead because we slept.
        for record in self._records.values():
            # After the clock was set back, words would look old until it has caught up.
            record.last_seen_unix_s = min(record.last_seen_unix_s, now_unix_s)
            record.excuse(now_unix_s, gap_s)
            if not record.timer.is_overdue(now_unix_s - gap_s):
                record.timer.restart(now_unix_s)
        self._live.invalidate()

    def is_trusted(self, now_unix_s: float) -> bool:
        """Say whether, since the last pause, each member has spoken or had its time to."""
        if self._pause_unix_s is None:
            return True
        waiting = (
            record
            for record in self._records.values()
            if record.direct and record.timer.awaits_first(now_unix_s)
        )
        if any(waiting):
            return False
        self._pause_unix_s = None
        return True

    def _looked_up(self, now_unix_s: float) -> LiveSet:
        """Return the live members, looked up anew where one may be judged otherwise by now."""
        judged_unix_s = self._judged(now_unix_s)
        if not self._live.holds_at(judged_unix_s):
            self._live.look_up(self._records.values(), self.own, judged_unix_s)
        return self._live

    def suspects(self, now_unix_s: float) -> frozenset[str]:
        """Return the members whose silence exceeds what their heartbeats led us to expect."""
        return self._looked_up(now_unix_s).suspects

    def memoized(self, key: str, derive: Callable[[], T], now_unix_s: float | None = None) -> T:
        """Return what follows from the live members and the listed VMs alone.

        It is derived anew only where these have changed.
        """
        kept = self._looked_up(self._time(now_unix_s)).memoized
        if key not in kept:
            kept[key] = derive()
        return cast(T, kept[key])

    def liveness_changes(self, now_unix_s: float) -> list[LivenessStatus]:
        """Return how members are judged that were judged otherwise at the last call.

        One that wasn't known then is no change while it counts as silent: old words on VMs that are
        gone come with each new link.
        """
        version = self._looked_up(now_unix_s).version
        if version == self._reported_version:
            return []
        self._reported_version = version
        changed = [r for r in self._records.values() if r.is_counted_live != r.was_live]
        for record in changed:
            record.was_live = record.is_counted_live
        return [record.judgement(now_unix_s) for record in changed]

    def live(
        self, region: str | None = None, now_unix_s: float | None = None
    ) -> tuple[Member, ...]:
        """Return this daemon's own member and all that answer, by name."""
        return self._looked_up(self._time(now_unix_s)).of(region)

    def live_peers(
        self, region: str | None = None, now_unix_s: float | None = None
    ) -> tuple[Member, ...]:
        """Return the live members but this daemon's own."""
        members = self.live(region, now_unix_s)
        return tuple(member for member in members if member.vm != self.own_vm)

    def usable_entries(
        self, region: str | None = None, now_unix_s: float | None = None
    ) -> tuple[Member, ...]:
        """Return the live members that take new work."""
        return tuple(member for member in self.live(region, now_unix_s) if self._is_usable(member))

    def entries_for_callers(
        self, region: str | None = None, now_unix_s: float | None = None
    ) -> tuple[Member, ...]:
        """Return the usable entries that were heard a moment ago.

        The silence that a member is allowed follows its pace, and is long while that isn't known:
        callers were led to a VM without power for 14 s. Work that is passed on to a dead member
        goes elsewhere after a moment; a caller has to find that out for itself.
        """
        return self._fresh(self.usable_entries(region, now_unix_s))

    def leaving_entries_for_callers(self, now_unix_s: float) -> tuple[Member, ...]:
        """Return the members that are stopping, still serve, and were heard a moment ago."""
        leaving = Phase.LEAVING.value
        members = self.live(now_unix_s=now_unix_s)
        return self._fresh(member for member in members if member.phase == leaving)

    def _fresh(self, members: Iterable[Member]) -> tuple[Member, ...]:
        now_unix_s = self._judged(self._latest_unix_s)
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
        """Return every member not yet forgotten, for summaries to others."""
        return tuple(record.member for record in self._records.values())

    def get(self, vm: str) -> Member | None:
        """Return the newest incarnation known of a VM."""
        if vm == self.own_vm:
            return self.own
        record = self._records.get(vm)
        return record.member if record else None

    def last_seen_unix_s(self, vm: str) -> float:
        """Return when a member was last heard, by this VM or by one that told of it; 0 if never."""
        record = self._records.get(vm)
        return record.last_seen_unix_s if record else 0.0

    def is_directly_observed(self, vm: str) -> bool:
        """Say whether a member speaks to this VM itself."""
        record = self._records.get(vm)
        return record is not None and record.direct

    def contacts(self, now_unix_s: float) -> tuple[ListedVm, ...]:
        """Return the listed VMs that don't answer yet, to be tried."""
        live = {member.vm for member in self.live(now_unix_s=now_unix_s)}
        return tuple(listed for vm, listed in sorted(self._listed.items()) if vm not in live)

    def successor_of(self, vm: str, incarnation: int) -> str | None:
        """Return the VM that took over an incarnation's request ids."""
        handover = self._handovers.get((vm, incarnation))
        return handover.successor if handover else None

    def forget(self, now_unix_s: float) -> tuple[str, ...]:
        """Drop members that left or fell silent long ago, and return their names."""
        gone = [
            vm
            for vm, record in self._records.items()
            if record.timer.silence_s(now_unix_s) > self.forget_after_s
        ]
        for vm in gone:
            del self._records[vm]
        if gone:
            self._live.invalidate()
        self._forget_handovers(now_unix_s)
        return tuple(gone)

    def _forget_handovers(self, now_unix_s: float) -> None:
        oldest_unix_s = now_unix_s - SUCCESSOR_KEPT_S
        kept = [item for item in self._handovers.items() if item[1].learned_unix_s > oldest_unix_s]
        kept.sort(key=lambda item: item[1].learned_unix_s)
        self._handovers = dict(kept[-SUCCESSORS_KEPT:])

    def _note_successor(self, member: Member, now_unix_s: float) -> None:
        key = (member.vm, member.incarnation)
        if member.successor and key not in self._handovers:
            self._handovers[key] = _Handover(member.successor, now_unix_s)
