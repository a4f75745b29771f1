"""Batches of changes that a copy of a keyspace observes."""

import bisect
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.published.keyspace_types import (
    MAX_KEYSPACE_BYTES,
    Change,
    encoded_value,
    fingerprint_of_encoded,
    held_bytes,
)

# The replaced changes that the log may hold beyond as many as there are keys.
LOG_SLACK = 64


@frozen
class Entry:
    """A change with its fingerprint, and what it counts for in a copy."""

    change: Change
    fingerprint: int
    held_bytes: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return what decides between two changes of one key."""
        return (self.change.revision, self.fingerprint)


@define
class PartialBatch:
    """Pages received of a batch that isn't complete yet."""

    received_revision: int
    head_revision: int = 0
    batch: dict[str, Entry] = field(factory=dict)

    def add(self, page: list[Entry], after_revision: int, head_revision: int) -> None:
        """Add a page that was requested after a revision."""
        merge(self.batch, page)
        last_revision = max((entry.change.revision for entry in page), default=after_revision)
        self.received_revision = max(self.received_revision, last_revision)
        self.head_revision = max(self.head_revision, head_revision)


@define
class ChangeLog:
    """List the changed keys in the order of their revisions, replaced changes included."""

    _changes: list[tuple[int, str]] = field(factory=list, init=False)

    def after(self, revision: int) -> list[tuple[int, str]]:
        """Return the revisions and the keys of the changes after a revision."""
        return self._changes[bisect.bisect_right(self._changes, (revision, chr(0x10FFFF))) :]

    def add(self, newer: Iterable[Entry], entries: Mapping[str, Entry]) -> None:
        """Add changes; `entries` are the last ones of all keys."""
        added = sorted((entry.change.revision, entry.change.key) for entry in newer)
        in_order = not self._changes or not added or self._changes[-1] <= added[0]
        self._changes.extend(added)
        if not in_order or len(self._changes) > 2 * len(entries) + LOG_SLACK:
            self.rebuild(entries)

    def rebuild(self, entries: Mapping[str, Entry]) -> None:
        """List the last changes only."""
        self._changes = sorted((entry.change.revision, key) for key, entry in entries.items())

    def clear(self) -> None:
        """Remove all changes."""
        self._changes.clear()


@define(kw_only=True)
class BatchReader:
    """Read the changes of a batch, each by itself.

    Whoever may write to the store may write a value that can't be encoded. If it refused its batch,
    it would refuse each later one too, since all of them hold it until it is replaced.
    """

    # Replaces a value that can't be encoded; None if the key's previous value is to stay.
    value_if_unreadable: Any | None = None
    on_unreadable: Callable[[Change, str], None] = lambda change, error: None
    max_held_bytes: int = MAX_KEYSPACE_BYTES

    def read(self, changes: Iterable[Change], head_revision: int) -> list[Entry]:
        """Return the newest change of each key; raise ValueError if the sender's batch is wrong."""
        entries = [self._entry(change, head_revision) for change in changes]
        return newest(entry for entry in entries if entry is not None)

    def check_size(self, batch: Iterable[Entry], held: Mapping[str, Entry]) -> None:
        """Raise ValueError if a copy would hold too much with a batch."""
        size_bytes = sum(entry.held_bytes for entry in held.values())
        for entry in batch:
            old = held.get(entry.change.key)
            size_bytes += entry.held_bytes - (old.held_bytes if old else 0)
        if size_bytes > self.max_held_bytes:
            raise ValueError(f"the copy would hold {size_bytes} of {self.max_held_bytes} bytes")

    def _entry(self, change: Change, head_revision: int) -> Entry | None:
        if not 0 < change.revision <= head_revision:
            raise ValueError(
                f"change of {change.key!r} has revision {change.revision}, past the head "
                f"{head_revision}: request the changes again, or from another sender"
            )
        try:
            return _measured(change)
        except (TypeError, ValueError) as error:
            self.on_unreadable(change, str(error))
        if self.value_if_unreadable is None:
            return None
        replaced = evolve(change, value=self.value_if_unreadable)
        return _measured(replaced)


def _measured(change: Change) -> Entry:
    value = encoded_value(change)
    return Entry(change, fingerprint_of_encoded(change, value), held_bytes(change.key, value))


def newest(batch: Iterable[Entry]) -> list[Entry]:
    """Return the newest change of each key."""
    by_key: dict[str, Entry] = {}
    merge(by_key, batch)
    return list(by_key.values())


def merge(into: dict[str, Entry], batch: Iterable[Entry]) -> None:
    """Add the changes of a batch that are newer than those of the same key."""
    for entry in batch:
        old = into.get(entry.change.key)
        if old is None or entry.order > old.order:
            into[entry.change.key] = entry


def oldest_deletions(entries: Iterable[Entry], kept: int) -> list[Change]:
    """Return all deletions but the newest ones, of which this many are kept."""
    deletions = [entry.change for entry in entries if entry.change.value is None]
    deletions.sort(key=lambda change: change.revision)
    return deletions[: len(deletions) - kept]
