"""Batches of changes that a copy of a keyspace observes."""

from collections.abc import Callable, Iterable
from typing import Any

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.published.keyspace_types import Change, fingerprint


@frozen
class Entry:
    """A change with its fingerprint."""

    change: Change
    fingerprint: int

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


@define(kw_only=True)
class BatchReader:
    """Read the changes of a batch, each by itself.

    Whoever may write to the store may write a value that can't be encoded. If it refused its batch,
    it would refuse each later one too, since all of them hold it until it is replaced.
    """

    # Replaces a value that can't be encoded; None if the key's previous value is to stay.
    value_if_unreadable: Any | None = None
    on_unreadable: Callable[[Change, str], None] = lambda change, error: None

    def read(self, changes: Iterable[Change], head_revision: int) -> list[Entry]:
        """Return the newest change of each key; raise ValueError if the sender's batch is wrong."""
        entries = [self._entry(change, head_revision) for change in changes]
        return newest(entry for entry in entries if entry is not None)

    def _entry(self, change: Change, head_revision: int) -> Entry | None:
        if not 0 < change.revision <= head_revision:
            raise ValueError(
                f"change of {change.key!r} has revision {change.revision}, past the head "
                f"{head_revision}: request the changes again, or from another sender"
            )
        try:
            return Entry(change, fingerprint(change))
        except (TypeError, ValueError) as error:
            self.on_unreadable(change, str(error))
        if self.value_if_unreadable is None:
            return None
        replaced = evolve(change, value=self.value_if_unreadable)
        return Entry(replaced, fingerprint(replaced))


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
