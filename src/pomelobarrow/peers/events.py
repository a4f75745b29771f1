"""Events about peers."""

from attrs import frozen


@frozen
class ProcessPauseDetected:
    """Report that this process stood still."""

    gap_s: float


@frozen(kw_only=True)
class MemberLivenessChanged:
    """Report that a member counts as silent from now on, or as live again."""

    member: str
    incarnation: int
    phase: str
    is_live: bool
    # The peer whose word decided, empty where the member was heard itself.
    told_by: str
    heard_age_s: float
    allowed_silence_s: float


@frozen
class PeerRefused:
    """Report a call that no peer key vouches for."""

    path: str
