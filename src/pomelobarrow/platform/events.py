"""Events about what the platform published."""

from attrs import frozen


@frozen
class KeyspaceApplied:
    """Report that a revision is in force on this VM."""

    keyspace: str
    revision: int
    applied_unix_s: float
    source: str


@frozen
class KeyspaceRefused:
    """Report that a revision was refused and the last good one stays."""

    keyspace: str
    revision: int
    reasons: tuple[str, ...]


@frozen
class PlatformUnreachable:
    """Report that a read of the platform failed."""

    address: str
    reason: str
