"""Data types of the request-id ledger."""

import enum

from attrs import frozen

# Memory overhead of a header beyond its characters: two strings and a tuple.
HEADER_BYTES = 160


class EntryState(enum.Enum):
    """States of a used id."""

    RUNNING = "running"
    FINISHED = "finished"
    LOST = "lost"


class ClaimKind(enum.Enum):
    """Results of claiming an id."""

    FRESH = "fresh"
    RUNNING = "running"
    FINISHED = "finished"
    FORGED = "forged"
    EXPIRED = "expired"
    NOT_MINE = "not_mine"
    RETIRED = "retired"


@frozen
class Outcome:
    """How a request ended; the body is None if it was too large to keep."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    run: str = "yes"

    @property
    def size_bytes(self) -> int:
        """Return the memory that this outcome takes in addition to its entry."""
        header_bytes = sum(HEADER_BYTES + len(name) + len(value) for name, value in self.headers)
        return header_bytes + len(self.body or b"")


OUTCOME_UNKNOWN = Outcome(status=502, run="unknown")


@frozen
class Claim:
    """The result of a claim; FINISHED has an outcome, with run "unknown" for a lost request."""

    kind: ClaimKind
    outcome: Outcome | None = None


@frozen(kw_only=True)
class LedgerEntry:
    """A used id, the account that it was issued to, and the outcome of its request."""

    request_id: str
    account: str
    expires_unix_s: float
    state: EntryState = EntryState.RUNNING
    outcome: Outcome | None = None


@frozen(kw_only=True)
class LedgerExport:
    """One issuer's used ids and secret, as sent to its successor."""

    secret: bytes
    entries: tuple[LedgerEntry, ...]
    # Used ids that expired by this time may be missing from the entries.
    expired_through_unix_s: float
