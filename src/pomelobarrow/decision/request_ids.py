"""The ledger that runs each issued request id at most once.

Memory is bounded by `max_entries` ids, used or not, of ENTRY_BYTES each, plus `max_kept_bytes` of
answers: ids issued per second times their life times ENTRY_BYTES, plus the answers kept. An id is
counted from its issue, so there is always room to record its use.
"""

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Iterator

from attrs import define, evolve, field
from result import Err

from pomelobarrow.decision.issued_id import (
    IdFault,
    Issuer,
    format_id,
    is_authentic,
    parse_issuer,
)
from pomelobarrow.decision.ledger_types import (
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

LIFE_S = 600.0
MAX_ENTRIES = 65_536
MAX_KEPT_BYTES = 32 * 1024 * 1024
MAX_BODY_BYTES = 256 * 1024
# One used id: its text, the entry, and its places in the tables; measured as 480 for a name of 25
# characters and shared texts, see docs/design/request-ids.md.
ENTRY_BYTES = 768


class AlreadyExportedError(Exception):
    """Report a second export of the same ids."""

    def __init__(self, vm: str, incarnation: int) -> None:
        super().__init__(
            f"the ids of {vm!r} ({incarnation}) were exported before, and whoever got them may "
            "have run some: answer repeats with run unknown"
        )


@define
class _Book:
    """Hold one issuing process's secret and how far its expired ids were forgotten."""

    secret: bytes
    expired_through_unix_s: float = -math.inf
    kept_until_unix_s: float = math.inf
    is_exported: bool = False
    ids: dict[str, None] = field(factory=dict)


@define
class _Second:
    """Hold what expires in one second."""

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
    life_s: float = LIFE_S
    max_body_bytes: int = MAX_BODY_BYTES
    retired: bool = field(default=False, init=False)
    kept_bytes: int = field(default=0, init=False)
    issued_unexpired: int = field(default=0, init=False)
    _books: dict[tuple[str, int], _Book] = field(factory=dict, init=False, repr=False)
    _entries: dict[str, LedgerEntry] = field(factory=dict, init=False, repr=False)
    _seconds: dict[float, _Second] = field(factory=dict, init=False, repr=False)
    _expiries: list[float] = field(factory=list, init=False, repr=False)
    _serials: Iterator[int] = field(factory=itertools.count, init=False, repr=False)
    _issued_of_account: Counter[str] = field(factory=Counter, init=False, repr=False)
    _latest_unix_s: float = field(default=-math.inf, init=False)
    _adopted_entries: int = field(default=0, init=False)

    def __attrs_post_init__(self) -> None:
        self._books[self._own_key] = _Book(self.secret)

    @property
    def _own_key(self) -> tuple[str, int]:
        return (self.vm, self.incarnation)

    @property
    def issuers(self) -> tuple[tuple[str, int], ...]:
        """Return the (vm, incarnation) pairs whose ids are kept here."""
        return tuple(self._books)

    @property
    def free_entries(self) -> int:
        """Return how many more ids can be issued or taken over."""
        return self.max_entries - self.issued_unexpired - self._adopted_entries

    def __len__(self) -> int:
        return len(self._entries)

    def entries(self) -> Iterator[LedgerEntry]:
        """Yield the used ids."""
        return iter(self._entries.values())

    def issue(self, account: str, count: int, now_unix_s: float) -> tuple[str, ...]:
        """Issue up to `count` ids to an account, fewer where the room is short."""
        self.expire(now_unix_s)
        if self.retired:
            return ()
        # An account holds at most as many ids as stay free, so that one that asks without end
        # leaves room for the others.
        fair = (self.free_entries - self._issued_of_account[account]) // 2
        given = max(0, min(count, fair))
        if not given:
            return ()
        expires_unix_s = math.floor(self._latest_unix_s + self.life_s)
        self._count_issued(account, given, expires_unix_s)
        return tuple(self._new_id(account, expires_unix_s) for _ in range(given))

    def _new_id(self, account: str, expires_unix_s: float) -> str:
        serial = next(self._serials)
        return format_id(self.secret, self.vm, self.incarnation, expires_unix_s, serial, account)

    def _count_issued(self, account: str, count: int, expires_unix_s: float) -> None:
        self._second(expires_unix_s).issued[account] += count
        self._issued_of_account[account] += count
        self.issued_unexpired += count

    def claim(self, request_id: str, account: str, now_unix_s: float) -> Claim:
        """Answer whether the id may run now; FRESH is given once and marks it running."""
        self.expire(now_unix_s)
        parsed = parse_issuer(request_id)
        if isinstance(parsed, Err):
            return Claim(ClaimKind.FORGED)
        issuer = parsed.ok_value
        book = self._books.get(issuer.key)
        if book is None:
            return Claim(ClaimKind.NOT_MINE)
        if not is_authentic(request_id, book.secret, account):
            return Claim(ClaimKind.FORGED)
        entry = self._entries.get(request_id)
        if entry is not None:
            return _claim_of(entry)
        # The latest time seen counts, not the clock's: an id forgotten at its expiry would be
        # fresh again after the clock was set back.
        if issuer.expires_unix_s <= max(self._latest_unix_s, book.expired_through_unix_s):
            return Claim(ClaimKind.EXPIRED)
        if self.retired or not self._has_room_for(issuer.key):
            return Claim(ClaimKind.RETIRED)
        self._add(
            issuer.key,
            LedgerEntry(
                request_id=request_id, account=account, expires_unix_s=issuer.expires_unix_s
            ),
        )
        return Claim(ClaimKind.FRESH)

    def _has_room_for(self, key: tuple[str, int]) -> bool:
        return key == self._own_key or self.free_entries > 0

    def finish(self, request_id: str, outcome: Outcome) -> bool:
        """Keep the outcome of a running id, without its body where that doesn't fit."""
        if not self._is_running(request_id):
            return False
        self._settle(request_id, EntryState.FINISHED, self._fitting(outcome))
        return True

    def lose(self, request_id: str) -> bool:
        """Record that nobody will learn how a running id ended."""
        if not self._is_running(request_id):
            return False
        self._settle(request_id, EntryState.LOST, OUTCOME_UNKNOWN)
        return True

    def retire(self) -> None:
        """Let no id start here any more; those in progress still end here."""
        self.retired = True

    def export(self, issuer: tuple[str, int] | None = None) -> LedgerExport:
        """Retire, and return one issuer's book (own by default), once, for one successor.

        Send it once. Send it to another only where nothing was handed to the transport: two
        successors, or one that restarted in between, would each run an unused id.
        """
        key = issuer or self._own_key
        book = self._books[key]
        if book.is_exported:
            raise AlreadyExportedError(*key)
        book.is_exported = True
        self.retire()
        return LedgerExport(
            secret=book.secret,
            entries=tuple(self._entries[request_id] for request_id in book.ids),
            expired_through_unix_s=max(book.expired_through_unix_s, self._latest_unix_s),
        )

    def adopt(self, vm: str, incarnation: int, export: LedgerExport) -> bool:
        """Take over a stopped issuer's ids; False where there is no room, and nothing changed."""
        key = (vm, incarnation)
        if self.retired or key in self._books or len(export.entries) > self.free_entries:
            return False
        self._books[key] = _Book(
            export.secret,
            expired_through_unix_s=export.expired_through_unix_s,
            kept_until_unix_s=max(self._latest_unix_s, export.expired_through_unix_s) + self.life_s,
        )
        for entry in export.entries:
            self._add(key, self._as_adopted(entry))
        return True

    def _as_adopted(self, entry: LedgerEntry) -> LedgerEntry:
        if entry.state is EntryState.RUNNING:
            return evolve(entry, state=EntryState.LOST, outcome=OUTCOME_UNKNOWN)
        return evolve(entry, outcome=self._fitting(entry.outcome or OUTCOME_UNKNOWN))

    def expire(self, now_unix_s: float) -> int:
        """Forget the ids that have expired, and return how many used ones there were."""
        self._latest_unix_s = max(self._latest_unix_s, now_unix_s)
        forgotten = 0
        while self._expiries and self._expiries[0] <= self._latest_unix_s:
            second = self._seconds.pop(heapq.heappop(self._expiries))
            forgotten += len(second.used)
            for request_id in tuple(second.used):
                self._drop(request_id)
            self._uncount_issued(second.issued)
        self._drop_old_books()
        return forgotten

    def _drop_old_books(self) -> None:
        old = [
            key
            for key, book in self._books.items()
            if not book.ids and book.kept_until_unix_s < self._latest_unix_s
        ]
        for key in old:
            del self._books[key]

    def _uncount_issued(self, issued: Counter[str]) -> None:
        self.issued_unexpired -= issued.total()
        self._issued_of_account.subtract(issued)
        for account in issued:
            if not self._issued_of_account[account]:
                del self._issued_of_account[account]

    def _is_running(self, request_id: str) -> bool:
        entry = self._entries.get(request_id)
        return entry is not None and entry.state is EntryState.RUNNING

    def _fitting(self, outcome: Outcome) -> Outcome:
        room_bytes = self.max_kept_bytes - self.kept_bytes
        if outcome.size_bytes <= min(room_bytes, self.max_body_bytes):
            return outcome
        return evolve(outcome, headers=(), body=None)

    def _settle(self, request_id: str, state: EntryState, outcome: Outcome) -> None:
        entry = self._entries[request_id]
        self._entries[request_id] = evolve(entry, state=state, outcome=outcome)
        self.kept_bytes += outcome.size_bytes

    def _add(self, key: tuple[str, int], entry: LedgerEntry) -> None:
        self._entries[entry.request_id] = entry
        self._books[key].ids[entry.request_id] = None
        self._second(entry.expires_unix_s).used.add(entry.request_id)
        self._adopted_entries += key != self._own_key
        self.kept_bytes += entry.outcome.size_bytes if entry.outcome else 0

    def _drop(self, request_id: str) -> None:
        entry = self._entries.pop(request_id)
        key = parse_issuer(request_id).unwrap().key
        self._books[key].ids.pop(request_id)
        self._adopted_entries -= key != self._own_key
        self.kept_bytes -= entry.outcome.size_bytes if entry.outcome else 0

    def _second(self, expires_unix_s: float) -> _Second:
        second = self._seconds.get(expires_unix_s)
        if second is None:
            second = self._seconds[expires_unix_s] = _Second()
            heapq.heappush(self._expiries, expires_unix_s)
        return second


def _claim_of(entry: LedgerEntry) -> Claim:
    if entry.state is EntryState.RUNNING:
        return Claim(ClaimKind.RUNNING)
    return Claim(ClaimKind.FINISHED, entry.outcome)


def entries_needed(ids_per_s: float, life_s: float = LIFE_S) -> int:
    """Return how many entries a rate of issue fills."""
    return math.ceil(ids_per_s * life_s)


def memory_bound_bytes(max_entries: int = MAX_ENTRIES, max_kept_bytes: int = MAX_KEPT_BYTES) -> int:
    """Return the most memory a ledger takes."""
    return max_entries * ENTRY_BYTES + max_kept_bytes
