"""Changes of a revisioned keyspace, as exchanged between copies."""

import enum
from collections.abc import Callable, Mapping
from typing import Any

import orjson
import xxhash
from attrs import define, frozen

# Returns the version that the operator gave to values, 0 if they have none.
VersionReader = Callable[[Mapping[str, Any]], int]
Validator = Callable[[Mapping[str, Any], frozenset[str], int], tuple[Any, ...]]

# The most that a copy holds: keys and encoded values, and so much more for each key. Decoded values
# may take some twenty times their encoded size.
MAX_KEYSPACE_BYTES = 4 << 20
KEY_OVERHEAD_BYTES = 256


def accept_all(
    _values: Mapping[str, Any], _changed: frozenset[str], _revision: int
) -> tuple[Any, ...]:
    """Accept any values."""
    return ()


# A revision is a position in the store: its era and its revision there, as one integer.


@frozen
class Change:
    """A key's value at a revision; None deletes the key."""

    revision: int
    key: str
    value: Any | None


@frozen(kw_only=True)
class Delta:
    """The newest change of each key after a revision, complete up to the head."""

    name: str
    after_revision: int
    head_revision: int
    changes: tuple[Change, ...]

    @property
    def lists_nothing(self) -> bool:
        """Return whether this is a listing of all values that holds none."""
        return self.after_revision == 0 and not self.changes


@frozen(kw_only=True)
class KeyspaceSummary:
    """Revision and digest of a copy, for comparison with another copy."""

    name: str
    revision: int
    digest: int
    revision_in_force: int = 0
    # The version that the operator gave the values in force; 0 if they have none.
    version: int = 0


@define
class KeyspaceCounters:
    """Counters of applied and rejected batches, for operators."""

    applied: int = 0
    invalid: int = 0
    stale: int = 0
    gaps: int = 0
    conflicts: int = 0
    malformed: int = 0
    superseded: int = 0


class ApplyOutcome(enum.Enum):
    """Outcome of applying a batch of changes."""

    IN_FORCE = "in_force"
    INVALID = "invalid"
    # Observed and valid, but an older version than the one in force.
    SUPERSEDED = "superseded"
    # Observed, and to be put in force later.
    HELD = "held"
    INCOMPLETE = "incomplete"
    STALE = "stale"
    GAP = "gap"
    MALFORMED = "malformed"


@frozen(kw_only=True)
class ApplyResult:
    """Outcome of applying a batch and the keys in force that it changed."""

    outcome: ApplyOutcome
    changed_keys: frozenset[str] = frozenset()
    refused_reasons: tuple[Any, ...] = ()

    @property
    def applied(self) -> bool:
        """Return whether the values in force advanced."""
        return self.outcome is ApplyOutcome.IN_FORCE


def encoded_value(change: Change) -> bytes:
    """Encode a change's value, independent of field order."""
    return orjson.dumps(change.value, option=orjson.OPT_SORT_KEYS)


def fingerprint(change: Change) -> int:
    """Hash a change, independent of field order and spaces in the value's encoding."""
    return fingerprint_of_encoded(change, encoded_value(change))


def fingerprint_of_encoded(change: Change, value: bytes) -> int:
    """Hash a change whose value is encoded."""
    return xxhash.xxh64_intdigest(f"{change.revision}\0{change.key}\0".encode() + value)


def held_bytes(key: str, value: bytes) -> int:
    """Return what a change counts for in a copy."""
    return KEY_OVERHEAD_BYTES + len(key) + len(value)
