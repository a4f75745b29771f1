"""Events about peers."""

from attrs import frozen


@frozen
class ProcessPauseDetected:
    """Report that this process was paused, and for how long."""

    gap_s: float


@frozen(kw_only=True)
class MemberLivenessChanged:
    """Report that a member now counts as silent, or as live again."""

    member: str
    incarnation: int
    phase: str
    is_live: bool
    # The peer that reported when the member was last seen; empty if a message came from the member
    # itself.
    told_by: str
    heard_age_s: float
    allowed_silence_s: float


@frozen
class PeerRefused:
    """Report a call that no configured peer key authenticates."""

    path: str
