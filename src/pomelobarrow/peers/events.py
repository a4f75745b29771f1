"""Events about peers."""

from attrs import frozen


@frozen
class PauseNoticed:
    """Report that this process stood still."""

    gap_s: float


@frozen
class PeerRefused:
    """Report a call that no peer key vouches for."""

    path: str
