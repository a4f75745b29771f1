"""Report members that become silent in this VM's view or are live again."""

from pomelobarrow.decision.members.member_record import LivenessStatus
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.peers.events import MemberLivenessChanged


def liveness_changes(view: MembershipView, now_unix_s: float) -> list[MemberLivenessChanged]:
    """Return the members whose liveness has changed since the last call."""
    return [_liveness_change(each) for each in view.liveness_changes(now_unix_s)]


def _liveness_change(status: LivenessStatus) -> MemberLivenessChanged:
    return MemberLivenessChanged(
        member=status.member.vm,
        incarnation=status.member.incarnation,
        phase=status.member.phase,
        is_live=status.is_live,
        told_by=status.reported_by,
        heard_age_s=round(status.last_seen_age_s, 3),
        allowed_silence_s=round(status.allowed_silence_s, 3),
    )
