"""Events that report applied and refused revisions and the platform's reachability."""

from attrs import frozen


@frozen
class KeyspaceApplied:
    """Report that a revision is in force on this VM."""

    keyspace: str
    era: int
    revision: int
    applied_unix_s: float
    source: str


@frozen
class KeyspaceRefused:
    """Report that a revision was refused and the last valid one stays in force."""

    keyspace: str
    revision: int
    reasons: tuple[str, ...]


@frozen(kw_only=True)
class ItemUnreadable:
    """Report that an item of the store can't be used; all others count."""

    keyspace: str
    # The key in the store or in the keyspace; empty if the item has none.
    key: str
    error: str


@frozen(kw_only=True)
class StoreAnswerTooLong:
    """Report an answer of the store that was given up after a number of bytes."""

    path: str
    max_bytes: int


@frozen(kw_only=True)
class StoreReturned:
    """Report that the platform's store came back from an older copy, and who showed it first."""

    era: int
    source: str


@frozen(kw_only=True)
class ServerLeaving:
    """Report that a backend server leaves, and the way by which this VM learned of it."""

    server: str
    pool: str
    source: str


@frozen
class PlatformUnreachable:
    """Report that reads of the platform began to fail."""

    reason: str


@frozen
class PlatformReachable:
    """Report that reads of the platform succeed again."""
