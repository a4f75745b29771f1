"""Issue request ids and run each at most once.

Memory is bounded by `max_entries` ids, used or not, of ENTRY_BYTES each, plus `max_kept_bytes` of
answers. The ids take their issue rate times their lifetime times ENTRY_BYTES. An id is counted from
its issue, so there is always capacity to record its use.
"""

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Iterator

from attrs import define, evolve, field
from result import Err

from pomelobarrow.decision.requests.issued_id import (
    IdFault,
    Issuer,
    format_id,
    is_authentic,
    parse_issuer,
)
from pomelobarrow.decision.requests.ledger_types import (
    OUTCOME_UNKNOWN,
    Claim,
    ClaimKind,
    EntryState,
    LedgerEntry,
    LedgerExport,
    Outcome,
)

__all__ = [
    "Claim",
    "ClaimKind",
    "EntryState",
    "AlreadyExportedError",
    "IdFault",
    "Issuer",
    "LedgerEntry",
    "LedgerExport",
    "Outcome",
    "RequestIdLedger",
    "entries_needed",
    "memory_bound_bytes",
    "parse_issuer",
]

ID_LIFETIME_S = 600.0
MAX_ENTRIES = 65_536
MAX_KEPT_BYTES = 32 * 1024 * 1024
MAX_BODY_BYTES = 256 * 1024
# The memory allowed for one used id: its text, its entry and its slots in the tables. A VM
# name of 25 characters and shared texts takes 480 bytes, see docs/design/request-ids.md.
ENTRY_BYTES = 768


class AlreadyExportedError(Exception):
    """Raised when the same ids are exported a second time."""

    def __init__(self, vm: str, incarnation: int) -> None:
        super().__init__(
            f"the ids of {vm!r} ({incarnation}) were already exported and their recipient may "
            "have run some: answer repeats with run unknown"
        )


@define
class _IssuerRecord:
    """An issuing process: its secret, its used ids and up to when its expired ids were dropped."""

    secret: bytes
    expired_through_unix_s: float = -math.inf
    kept_until_unix_s: float = math.inf
    is_exported: bool = False
    ids: dict[str, None] = field(factory=dict)


@define
class _ExpiryBucket:
    """The used and issued ids that expire at one time."""

    used: set[str] = field(factory=set)
    issued: Counter[str] = field(factory=Counter)


@define
class RequestIdLedger:
    """Issue request ids and let each run at most once until it expires."""

    vm: str
    incarnation: int
    secret: bytes = field(repr=False)
    max_kept_bytes: int = MAX_KEPT_BYTES
    max_entries: int = MAX_ENTRIES
    lifetime_s: float = ID_LIFETIME_S
    max_body_bytes: int = MAX_BODY_BYTES
    retired: bool = field(default=False, init=False)
    kept_bytes: int = field(default=0, init=False)
    issued_unexpired: int = field(default=0, init=False)
    _issuer_records: dict[tuple[str, int], _IssuerRecord] = field(
        factory=dict, init=False, repr=False
    )
    _entries: dict[str, LedgerEntry] = field(factory=dict, init=False, repr=False)
    _expiry_buckets: dict[float, _ExpiryBucket] = field(factory=dict, init=False, repr=False)
    _expiries: list[float] = field(factory=list, init=False, repr=False)
    _serials: Iterator[int] = field(factory=itertools.count, init=False, repr=False)
    _issued_of_account: Counter[str] = field(factory=Counter, init=False, repr=False)
    _latest_unix_s: float = field(default=-math.inf, init=False)
    _adopted_entries: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._issuer_records[self._own_key] = _IssuerRecord(self.secret)

    @property
    def _own_key(self) -> tuple[str, int]:
        return (self.vm, self.incarnation)

    @property
    def issuers(self) -> tuple[tuple[str, int], ...]:
        """Return the (vm, incarnation) pairs whose ids this ledger holds."""
        return tuple(self._issuer_records)

    @property
    def free_entries(self) -> int:
        """Return how many more ids can be issued or adopted."""
        return self.max_entries - self.issued_unexpired - self._adopted_entries

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> Iterator[LedgerEntry]:
        """Return an iterator over the used ids."""
        return iter(self._entries.values())

    def raise_incarnation(self, incarnation: int) -> None:
        """Issue ids as a later incarnation; nothing may have been issued before."""
        record = self._issuer_records.pop(self._own_key)
        self.incarnation = incarnation
        self._issuer_records[self._own_key] = record

    def issue(self, account: str, count: int, now_unix_s: float) -> tuple[str, ...]:
        """Issue up to `count` ids to an account, fewer if capacity is short."""
        self.expire(now_unix_s)
        if self.retired:
            return ()
        # An account holds at most as many ids as remain free, so that an account that requests ids
        # without limit leaves capacity for others.
        fair_share = (self.free_entries - self._issued_of_account[account]) // 2
        granted = max(0, min(count, fair_share))
        if not granted:
            return ()
        expires_unix_s = math.floor(self._latest_unix_s + self.lifetime_s)
        self._count_issued(account, granted, expires_unix_s)
        return tuple(self._new_id(account, expires_unix_s) for _ in range(granted))

    def _new_id(self, account: str, expires_unix_s: float) -> str:
        serial = next(self._serials)
        return format_id(self.secret, self.vm, self.incarnation, expires_unix_s, serial, account)

    def _count_issued(self, account: str, count: int, expires_unix_s: float) -> None:
        self._expiry_bucket(expires_unix_s).issued[account] += count
        self._issued_of_account[account] += count
        self.issued_unexpired += count

    def claim(self, request_id: str, account: str, now_unix_s: float) -> Claim:
        """Return whether the id may run now; FRESH is returned once and marks the id as running."""
        self.expire(now_unix_s)
        parsed = parse_issuer(request_id)
        if isinstance(parsed, Err):
            return Claim(ClaimKind.FORGED)
        issuer = parsed.ok_value
        record = self._issuer_records.get(issuer.key)
        if record is None:
            return Claim(ClaimKind.NOT_MINE)
        if not is_authentic(request_id, record.secret, account):
            return Claim(ClaimKind.FORGED)
        entry = self._entries.get(request_id)
        if entry is not None:
            return _claim_of(entry)
        # Compare with the latest time seen, not the current time: an id that was dropped at its
        # expiry would be fresh again after the clock was set back.
        if issuer.expires_unix_s <= max(self._latest_unix_s, record.expired_through_unix_s):
            return Claim(ClaimKind.EXPIRED)
        if self.retired or not self._has_capacity_for(issuer.key):
            return Claim(ClaimKind.RETIRED)
        self._add(
            issuer.key,
            LedgerEntry(
                request_id=request_id, account=account, expires_unix_s=issuer.expires_unix_s
            ),
        )
        return Claim(ClaimKind.FRESH)

    def _has_capacity_for(self, key: tuple[str, int]) -> bool:
        return key == self._own_key or self.free_entries > 0

    def finish(self, request_id: str, outcome: Outcome) -> bool:
        """Store the outcome of a running id, without headers and body if they exceed the limits."""
        if not self._is_running(request_id):
            return False
        self._record_outcome(request_id, EntryState.FINISHED, self._within_limits(outcome))
        return True

    def lose(self, request_id: str) -> bool:
        """Record that the outcome of a running id can no longer be determined."""
        if not self._is_running(request_id):
            return False
        self._record_outcome(request_id, EntryState.LOST, OUTCOME_UNKNOWN)
        return True

    def retire(self) -> None:
        """Stop claiming and issuing ids; ids in progress can still finish."""
        self.retired = True

    def export(self, issuer: tuple[str, int] | None = None) -> LedgerExport:
        """Retire, and return one issuer's ids (own by default), once, for one successor.

        Send the export once. Send it to another VM only if nothing was handed to the transport: two
        successors, or one that restarted in between, would each run an unused id.
        """
        key = issuer or self._own_key
        record = self._issuer_records[key]
        if record.is_exported:
            raise AlreadyExportedError(*key)
        record.is_exported = True
        self.retire()
        return LedgerExport(
            secret=record.secret,
            entries=tuple(self._entries[request_id] for request_id in record.ids),
            expired_through_unix_s=max(record.expired_through_unix_s, self._latest_unix_s),
        )

    def adopt(self, vm: str, incarnation: int, export: LedgerExport) -> bool:
        """Adopt a stopped issuer's ids; return false and change nothing if they cannot be held."""
        key = (vm, incarnation)
        if self.retired or key in self._issuer_records or len(export.entries) > self.free_entries:
            return False
        self._issuer_records[key] = _IssuerRecord(
            export.secret,
            expired_through_unix_s=export.expired_through_unix_s,
            kept_until_unix_s=max(self._latest_unix_s, export.expired_through_unix_s)
            + self.lifetime_s,
        )
        for entry in export.entries:
            self._add(key, self._as_adopted(entry))
        return True

    def _as_adopted(self, entry: LedgerEntry) -> LedgerEntry:
        if entry.state is EntryState.RUNNING:
            return evolve(entry, state=EntryState.LOST, outcome=OUTCOME_UNKNOWN)
        return evolve(entry, outcome=self._within_limits(entry.outcome or OUTCOME_UNKNOWN))

    def expire(self, now_unix_s: float) -> int:
        """Drop expired ids and return how many of them had been used."""
        self._latest_unix_s = max(self._latest_unix_s, now_unix_s)
        forgotten = 0
        while self._expiries and self._expiries[0] <= self._latest_unix_s:
            bucket = self._expiry_buckets.pop(heapq.heappop(self._expiries))
            forgotten += len(bucket.used)
            for request_id in tuple(bucket.used):
                self._drop(request_id)
            self._uncount_issued(bucket.issued)
        self._drop_expired_issuers()
        return forgotten

    def _drop_expired_issuers(self) -> None:
        old = [
            key
            for key, record in self._issuer_records.items()
            if not record.ids and record.kept_until_unix_s < self._latest_unix_s
        ]
        for key in old:
            del self._issuer_records[key]

    def _uncount_issued(self, issued: Counter[str]) -> None:
        self.issued_unexpired -= issued.total()
        self._issued_of_account.subtract(issued)
        for account in issued:
            if not self._issued_of_account[account]:
                del self._issued_of_account[account]

    def _is_running(self, request_id: str) -> bool:
        entry = self._entries.get(request_id)
        return entry is not None and entry.state is EntryState.RUNNING

    def _within_limits(self, outcome: Outcome) -> Outcome:
        free_bytes = self.max_kept_bytes - self.kept_bytes
        if outcome.size_bytes <= min(free_bytes, self.max_body_bytes):
            return outcome
        return evolve(outcome, headers=(), body=None)

    def _record_outcome(self, request_id: str, state: EntryState, outcome: Outcome) -> None:
        entry = self._entries[request_id]
        self._entries[request_id] = evolve(entry, state=state, outcome=outcome)
        self.kept_bytes += outcome.size_bytes

    def _add(self, key: tuple[str, int], entry: LedgerEntry) -> None:
        self._entries[entry.request_id] = entry
        self._issuer_records[key].ids[entry.request_id] = None
        self._expiry_bucket(entry.expires_unix_s).used.add(entry.request_id)
        self._adopted_entries += key != self._own_key
        self.kept_bytes += entry.outcome.size_bytes if entry.outcome else 0

    def _drop(self, request_id: str) -> None:
        entry = self._entries.pop(request_id)
        key = parse_issuer(request_id).unwrap().key
        self._issuer_records[key].ids.pop(request_id)
        self._adopted_entries -= key != self._own_key
        self.kept_bytes -= entry.outcome.size_bytes if entry.outcome else 0

    def _expiry_bucket(self, expires_unix_s: float) -> _ExpiryBucket:
        bucket = self._expiry_buckets.get(expires_unix_s)
        if bucket is None:
            bucket = self._expiry_buckets[expires_unix_s] = _ExpiryBucket()
            heapq.heappush(self._expiries, expires_unix_s)
        return bucket


def _claim_of(entry: LedgerEntry) -> Claim:
    if entry.state is EntryState.RUNNING:
        return Claim(ClaimKind.RUNNING)
    return Claim(ClaimKind.FINISHED, entry.outcome)


def entries_needed(ids_per_s: float, lifetime_s: float = ID_LIFETIME_S) -> int:
    """Return how many entries an issue rate requires."""
    return math.ceil(ids_per_s * lifetime_s)


def memory_bound_bytes(max_entries: int = MAX_ENTRIES, max_kept_bytes: int = MAX_KEPT_BYTES) -> int:
    """Return the upper bound on the memory of a ledger."""
    return max_entries * ENTRY_BYTES + max_kept_bytes
