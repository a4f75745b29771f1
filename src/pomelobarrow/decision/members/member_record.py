"""Evaluate the liveness of one member from its heartbeats and from reports of other VMs."""

from attrs import define, frozen

from pomelobarrow.decision.members.heartbeat_timer import HeartbeatTimer
from pomelobarrow.decision.members.member import LEFT, Member, advance

# Heartbeats are at most 1.1 s apart, so two VMs receive the last heartbeat of a third at most that
# far apart; the rest allows for network delays.
REPORT_MARGIN_S = 1.5
# Callers are directed only to VMs seen within this time. Heartbeats arrive every second, a silent
# link is replaced within 4 s and callers cache an answer for 3 s: they leave a dead VM within 8 s.
FRESH_WITHIN_S = 5.0
# After a pause of this VM, heartbeats of live peers arrive within one or two heartbeat intervals.
PAUSE_GRACE_S = 2.0


@frozen(kw_only=True)
class LivenessStatus:
    """Whether a member counts as live, and the evidence for it."""

    member: Member
    is_live: bool
    # The peer that reported it; empty if its own heartbeat was the last evidence.
    reported_by: str
    last_seen_age_s: float
    # Time without evidence after which the member is suspect.
    allowed_silence_s: float


@define
class MemberRecord:
    """The newest description of a member and the evidence that it is live."""

    member: Member
    timer: HeartbeatTimer
    # When the member was last seen, by this VM or by a peer that reported it, and the sequence
    # number of its last heartbeat.
    last_seen_unix_s: float
    sequence: int = 0
    # Whether the last evidence is the member's own heartbeat rather than a report of another VM.
    direct: bool = False
    # The peer whose report was applied last; empty after a heartbeat.
    reported_by: str = ""
    # Until then the member counts as fresh although a pause of this VM made its last heartbeat old.
    pause_grace_until_unix_s: float = 0.0
    # Whether it was live when the live set was last refreshed.
    live_at_refresh: bool = False
    # Whether it was live when its status was last reported.
    live_when_reported: bool = False

    def is_live(self, now_unix_s: float) -> bool:
        """Return whether the member has neither left nor been silent for too long."""
        return self.member.phase != LEFT and not self.timer.is_overdue(now_unix_s)

    def is_newer_report(self, last_seen_unix_s: float, now_unix_s: float) -> bool:
        """Return whether a report of another VM is newer than the evidence at hand.

        Other VMs may receive the last heartbeat of a member up to one interval later than this VM.
        Accepting such a report kept a VM without power live for another 15 s. A report of a later
        heartbeat means that the member still sends to others, for example because the relays of its
        region changed. Reports are ignored until the member's own heartbeats are overdue.
        """
        if not self.direct:
            return last_seen_unix_s > self.last_seen_unix_s
        is_seen_since = last_seen_unix_s > self.last_seen_unix_s + REPORT_MARGIN_S
        return is_seen_since and self.timer.is_overdue(now_unix_s)

    def is_fresh(self, now_unix_s: float) -> bool:
        """Return whether the member was seen recently, ignoring a pause of this VM."""
        is_recent = now_unix_s - self.last_seen_unix_s <= FRESH_WITHIN_S
        return is_recent or now_unix_s <= self.pause_grace_until_unix_s

    def grant_pause_grace(self, now_unix_s: float, gap_s: float) -> None:
        """Keep a member fresh for a moment after a pause of this VM, if it was fresh before.

        Without that condition, a VM that pauses repeatedly would keep directing callers to a dead
        VM.
        """
        if self.is_fresh(now_unix_s - gap_s):
            self.pause_grace_until_unix_s = now_unix_s + PAUSE_GRACE_S

    def apply_heartbeat(self, heartbeat: Member, last_seen_unix_s: float) -> None:
        """Apply a heartbeat of the member itself, the strongest evidence."""
        if heartbeat != self.member:
            self.member = advance(self.member, heartbeat)
        self.last_seen_unix_s, self.sequence = last_seen_unix_s, heartbeat.sequence
        self.direct = True
        self.reported_by = ""
        self.timer.observe_heartbeat(last_seen_unix_s)

    def apply_report(
        self, last_seen_unix_s: float, reported_by: str, timeout_s: float | None = None
    ) -> None:
        """Apply a report that another VM saw the member; it replaces direct evidence."""
        self.direct = False
        self.reported_by = reported_by
        self.last_seen_unix_s = last_seen_unix_s
        self.timer.observe_report(last_seen_unix_s, timeout_s)

    def expect_reports_only(self) -> None:
        """Rely on reports of other VMs from now on; they arrive less often than heartbeats."""
        self.direct = False
        self.timer.observe_report(self.last_seen_unix_s)

    def is_newer_heartbeat(self, heartbeat: Member) -> bool:
        """Return whether a heartbeat is newer than all evidence of the member."""
        if heartbeat.incarnation < self.member.incarnation:
            return False
        # This also holds for a member known only from reports since: otherwise a heartbeat delayed
        # on the network would make a silent member live again.
        is_first = not self.direct and self.sequence == 0
        return is_first or heartbeat.sequence > self.sequence

    def liveness_status(self, now_unix_s: float) -> LivenessStatus:
        """Return the last reported liveness and its evidence."""
        return LivenessStatus(
            member=self.member,
            is_live=self.live_when_reported,
            reported_by=self.reported_by,
            last_seen_age_s=now_unix_s - self.last_seen_unix_s,
            allowed_silence_s=self.timer.timeout_s,
        )
