"""Which entry VMs exist, which of them answer, and who took over from those that left."""

import math
from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.member import (
    LEFT,
    READY,
    ListedVm,
    Member,
    Phase,
    advance,
    later_phase,
    name_of,
)
from pomelobarrow.decision.member_record import Judgement, MemberRecord
from pomelobarrow.decision.silence import HeartbeatTimer

FORGET_AFTER_S = 600.0
SUCCESSOR_KEPT_S = 3_600.0
SUCCESSORS_KEPT = 1_024


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

    def observe_listed(self, vms: Iterable[ListedVm]) -> None:
        """Take the platform's list, whole."""
        self._listed = {listed.vm: listed for listed in vms}

    def observe_heartbeat(self, member: Member, now_unix_s: float) -> bool:
        """Take a heartbeat from the member itself; False for one that is out of date."""
        if member.vm == self.own_vm:
            return False
        heard = evolve(member, heard_unix_s=self._time(now_unix_s))
        record = self._records.get(member.vm)
        if record is None or member.incarnation > record.member.incarnation:
            record = self._records[member.vm] = MemberRecord(heard, HeartbeatTimer())
        elif not record.is_newer(member):
            return False
        record.member = advance(record.member, heard)
        record.direct = True
        record.told_by = ""
        record.timer.hear(now_unix_s)
        self._note_successor(record.member, now_unix_s)
        return True

    def observe_summary(self, member: Member, now_unix_s: float, told_by: str = "") -> bool:
        """Take what another daemon says of a member; it never goes before direct evidence."""
        if member.vm == self.own_vm:
            return False
        heard_unix_s = min(member.heard_unix_s, self._time(now_unix_s))
        # Old news about a VM that was forgotten would bring it back, from daemon to daemon.
        if now_unix_s - heard_unix_s > self.forget_after_s:
            return False
        self._note_successor(member, now_unix_s)
        said = evolve(member, heard_unix_s=heard_unix_s)
        record = self._records.get(member.vm)
        if record is None or member.incarnation > record.member.incarnation:
            timer = HeartbeatTimer(heard_unix_s)
            self._records[member.vm] = MemberRecord(said, timer, told_by=told_by)
            return True
        if member.incarnation < record.member.incarnation:
            return False
        record.member = evolve(record.member, phase=later_phase(record.member, said))
        if record.is_news(heard_unix_s, now_unix_s):
            record.take_word(heard_unix_s, told_by)
        return True

    def observe_alive(
        self,
        vm: str,
        incarnation: int,
        heard_unix_s: float,
        now_unix_s: float,
        timeout_s: float | None = None,
        told_by: str = "",
    ) -> bool:
        """Take word that a known member was heard; say whether that was news.

        With a timeout, words are expected so often that their end means what silence does.
        """
        record = self._records.get(vm)
        if record is None or record.member.incarnation != incarnation:
            return False
        heard_unix_s = min(heard_unix_s, self._time(now_unix_s))
        if not record.is_news(heard_unix_s, now_unix_s):
            return False
        record.take_word(heard_unix_s, told_by, timeout_s)
        return True

    def observe_leave(
        self, vm: str, incarnation: int, successor: str, now_unix_s: float | None = None
    ) -> None:
        """Take a planned stop: the member gets no new work, its ids go to the successor."""
        if successor:
            self._handovers[(vm, incarnation)] = _Handover(successor, self._time(now_unix_s))
        record = self._records.get(vm)
        if record is not None and record.member.incarnation == incarnation:
            record.member = evolve(record.member, phase=LEFT, successor=successor)

    def observe_pause(self, now_unix_s: float, gap_s: float) -> None:
        """Distrust the view after this process stood still; restart every timer."""
        self._pause_unix_s = self._time(now_unix_s)
        # The others' heartbeats wait unread in the sockets. Judged by the clock alone, every
        # member would look dead because we slept.
        for record in self._records.values():
            # After the clock was set back, words would look old until it has caught up.
            heard_unix_s = min(record.member.heard_unix_s, now_unix_s)
            record.member = evolve(record.member, heard_unix_s=heard_unix_s)
            record.excuse(now_unix_s, gap_s)
            if not record.timer.is_overdue(now_unix_s - gap_s):
                record.timer.restart(now_unix_s)

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

    def suspects(self, now_unix_s: float) -> frozenset[str]:
        """Return the members whose silence exceeds what their heartbeats led us to expect."""
        judged_unix_s = self._judged(now_unix_s)
        return frozenset(
            vm
            for vm, record in self._records.items()
            if record.timer.is_overdue(judged_unix_s) and record.member.phase != LEFT
        )

    def changed_judgements(self, now_unix_s: float) -> list[Judgement]:
        """Return how members are judged that were judged otherwise at the last call.

        One that wasn't known then is no change while it counts as silent: old words on VMs that are
        gone come with each new link.
        """
        judged_unix_s = self._judged(now_unix_s)
        changed = []
        for record in self._records.values():
            is_live = record.is_live(judged_unix_s)
            if is_live != record.was_live:
                record.was_live = is_live
                changed.append(record.judgement(now_unix_s))
        return changed

    def live(
        self, region: str | None = None, now_unix_s: float | None = None
    ) -> tuple[Member, ...]:
        """Return this daemon's own member and all that answer, by name."""
        judged_unix_s = self._judged(self._time(now_unix_s))
        members = [
            record.member
            for record in self._records.values()
            if region in (None, record.member.region) and record.is_live(judged_unix_s)
        ]
        if region in (None, self.own.region):
            members.append(self.own)
        return tuple(sorted(members, key=name_of))

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

    def is_heard_directly(self, vm: str) -> bool:
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
