"""The changes of a revisioned keyspace, as copies exchange them."""

import enum
from typing import Any

import orjson
import xxhash
from attrs import frozen


@frozen
class Change:
    """Hold one key's value at a revision; None deletes the key."""

    revision: int
    key: str
    value: Any | None


@frozen(kw_only=True)
class Delta:
    """Carry the newest change of each key after a revision, complete up to the head."""

    name: str
    after_revision: int
    head_revision: int
    changes: tuple[Change, ...]


@frozen(kw_only=True)
class KeyspaceSummary:
    """Sum up what a copy observed, for comparison with another's."""

    name: str
    revision: int
    digest: int
    revision_in_force: int = 0


class ApplyOutcome(enum.Enum):
    """Enumerate what became of a batch of changes."""

    IN_FORCE = "in_force"
    INVALID = "invalid"
    INCOMPLETE = "incomplete"
    STALE = "stale"
    GAP = "gap"
    MALFORMED = "malformed"


@frozen(kw_only=True)
class ApplyResult:
    """Say what became of a batch and which keys in force it changed."""

    outcome: ApplyOutcome
    changed_keys: frozenset[str] = frozenset()
    refused_reasons: tuple[Any, ...] = ()

    @property
    def applied(self) -> bool:
        """Say whether the values in force moved."""
        return self.outcome is ApplyOutcome.IN_FORCE


def fingerprint(change: Change) -> int:
    """Hash a change; the value's spelling (order of fields, spaces) doesn't count."""
    value = orjson.dumps(change.value, option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh64_intdigest(f"{change.revision}\0{change.key}\0".encode() + value)
