"""Judge one member by its own heartbeats and by what others say of it."""

from attrs import define, frozen

from pomelobarrow.decision.heartbeat_timer import HeartbeatTimer
from pomelobarrow.decision.member import LEFT, Member, advance

# Heartbeats are 1.1 s apart at most; two VMs hear the last one of a third so far apart at most,
# and the rest is for delays on the way.
WORD_MARGIN_S = 1.5
# Callers are led to VMs heard within this time. Heartbeats come each second and a silent link is
# replaced in 4 s; callers keep an answer for 3 s more, so that they leave a dead VM within 8 s.
NAMED_WITHIN_S = 5.0
# Peers that wait for this VM to wake are heard within a heartbeat or two.
WAKE_GRACE_S = 2.0


@frozen(kw_only=True)
class LivenessStatus:
    """Say whether a member counts as live, and on which evidence."""

    member: Member
    is_live: bool
    # The peer whose word on it counts, empty where it was heard itself.
    reported_by: str
    last_seen_age_s: float
    # The silence after which it is suspect.
    allowed_silence_s: float


@define
class MemberRecord:
    """Hold what is known of one member, and on which evidence."""

    member: Member
    timer: HeartbeatTimer
    # When it was last heard, by this VM or by one that told of it, and its last heartbeat's number.
    last_seen_unix_s: float
    sequence: int = 0
    # Whether this VM itself was heard, not only others that spoke of it.
    direct: bool = False
    # The peer whose word was taken last, empty where it was heard itself.
    reported_by: str = ""
    # Until then its age is put down to a pause of this VM's own.
    excused_until_unix_s: float = 0.0
    # Whether it was among the live ones when these were last looked up.
    is_counted_live: bool = False
    # How it was judged when that was last reported.
    was_live: bool = False

    def is_live(self, now_unix_s: float) -> bool:
        """Say whether it neither left nor is silent for too long."""
        return self.member.phase != LEFT and not self.timer.is_overdue(now_unix_s)

    def is_news(self, last_seen_unix_s: float, now_unix_s: float) -> bool:
        """Say whether another VM's word shows more of a member than is known here.

        Of a member that spoke here itself, others heard the last heartbeat up to an interval later;
        their word on that one made a VM without power live for 15 s more. A word on a heartbeat
        after that shows that it speaks to others, say because its region's relays changed. Until
        its own silence is too long, its own word counts alone.
        """
        if not self.direct:
            return last_seen_unix_s > self.last_seen_unix_s
        spoke_since = last_seen_unix_s > self.last_seen_unix_s + WORD_MARGIN_S
        return spoke_since and self.timer.is_overdue(now_unix_s)

    def is_fresh(self, now_unix_s: float) -> bool:
        """Say whether it was heard a moment ago, a pause of this VM's own left out."""
        is_heard = now_unix_s - self.last_seen_unix_s <= NAMED_WITHIN_S
        return is_heard or now_unix_s <= self.excused_until_unix_s

    def excuse(self, now_unix_s: float, gap_s: float) -> None:
        """Put a member's age down to a pause of this VM's, if it was fresh before that.

        Without the condition, a VM that stands still again and again would name a dead one as long.
        """
        if self.is_fresh(now_unix_s - gap_s):
            self.excused_until_unix_s = now_unix_s + WAKE_GRACE_S

    def take_heartbeat(self, heartbeat: Member, last_seen_unix_s: float) -> None:
        """Take its own word, the strongest evidence."""
        if heartbeat != self.member:
            self.member = advance(self.member, heartbeat)
        self.last_seen_unix_s, self.sequence = last_seen_unix_s, heartbeat.sequence
        self.direct = True
        self.reported_by = ""
        self.timer.hear(last_seen_unix_s)

    def take_word(
        self, last_seen_unix_s: float, reported_by: str, timeout_s: float | None = None
    ) -> None:
        """Take that another VM heard it, from now on the evidence that counts."""
        self.direct = False
        self.reported_by = reported_by
        self.last_seen_unix_s = last_seen_unix_s
        self.timer.hear_of(last_seen_unix_s, timeout_s)

    def await_words(self) -> None:
        """Judge it by others' words from now on; they come more seldom than its own."""
        self.direct = False
        self.timer.hear_of(self.last_seen_unix_s)

    def is_newer(self, heartbeat: Member) -> bool:
        """Say whether a heartbeat is later than all that was heard of the member."""
        if heartbeat.incarnation < self.member.incarnation:
            return False
        # Also of a member that only others spoke of since: a heartbeat that was on its way for long
        # would else bring a silent member back to life.
        is_first = not self.direct and self.sequence == 0
        return is_first or heartbeat.sequence > self.sequence

    def judgement(self, now_unix_s: float) -> LivenessStatus:
        """Return how it was judged last, and on which evidence."""
        return LivenessStatus(
            member=self.member,
            is_live=self.was_live,
            reported_by=self.reported_by,
            last_seen_age_s=now_unix_s - self.last_seen_unix_s,
            allowed_silence_s=self.timer.timeout_s,
        )
