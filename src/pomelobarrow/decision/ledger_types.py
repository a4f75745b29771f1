"""What the request-id ledger keeps, answers and hands over."""

import enum

from attrs import frozen

# What a header costs beside its characters: two strings and a pair.
HEADER_BYTES = 160


class EntryState(enum.Enum):
    """Enumerate what became of a used id."""

    RUNNING = "running"
    FINISHED = "finished"
    LOST = "lost"


class ClaimKind(enum.Enum):
    """Enumerate the answers to the claim of an id."""

    FRESH = "fresh"
    RUNNING = "running"
    FINISHED = "finished"
    FORGED = "forged"
    EXPIRED = "expired"
    NOT_MINE = "not_mine"
    RETIRED = "retired"


@frozen
class Outcome:
    """Hold how a request ended; the body is None where it was too large to keep."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    run: str = "yes"

    @property
    def size_bytes(self) -> int:
        """Return what keeping this outcome costs beside the entry itself."""
        header_bytes = sum(HEADER_BYTES + len(name) + len(value) for name, value in self.headers)
        return header_bytes + len(self.body or b"")


OUTCOME_UNKNOWN = Outcome(status=502, run="unknown")


@frozen
class Claim:
    """Answer a claim; FINISHED carries the outcome, one with run "unknown" for a lost request."""

    kind: ClaimKind
    outcome: Outcome | None = None


@frozen(kw_only=True)
class LedgerEntry:
    """Hold one used id."""

    request_id: str
    account: str
    expires_unix_s: float
    state: EntryState = EntryState.RUNNING
    outcome: Outcome | None = None


@frozen(kw_only=True)
class LedgerExport:
    """Carry one issuer's used ids and its secret to the successor."""

    secret: bytes
    entries: tuple[LedgerEntry, ...]
    # Used ids that expired up to here may be missing from the entries.
    expired_through_unix_s: float
