"""Store a keyspace as a sequence of revisions."""

from collections.abc import Iterable, Mapping
from typing import Any

import orjson
from attrs import define, field, frozen

MAX_ANSWER_BYTES = 1_000_000


@frozen
class Change:
    """New value of a key in a revision; None deletes the key."""

    revision: int
    key: str
    value: Any


@frozen(kw_only=True)
class Changes:
    """Changes of complete revisions, up to and including `head_revision`."""

    changes: tuple[Change, ...]
    head_revision: int


@frozen(kw_only=True)
class ItemPage:
    """Page of the present items, sorted by key."""

    changes: tuple[Change, ...]
    has_more: bool


class RevisionTooLargeError(ValueError):
    """Raised if a revision does not fit into an answer; publish it in parts."""


@define
class Keyspace:
    """All revisions of a keyspace; readers see them up to `visible_revision`."""

    head_revision: int = 0
    visible_revision: int = 0
    _history: list[Change] = field(factory=list)

    def publish(self, changes: Mapping[str, Any]) -> int:
        """Add one revision; readers see it once it is revealed."""
        revision = self.head_revision + 1
        added = [Change(revision, key, value) for key, value in changes.items()]
        if _size_bytes(added) > MAX_ANSWER_BYTES:
            raise RevisionTooLargeError(f"revision {revision} exceeds 1 MB; publish it in parts")
        self.head_revision = revision
        self._history.extend(added)
        return revision

    def reveal(self, revision: int) -> None:
        """Make the revisions up to this one visible to readers."""
        self.visible_revision = max(self.visible_revision, min(revision, self.head_revision))

    def revert(self, revision: int) -> None:
        """Drop the revisions after this one; their numbers are used again."""
        self.head_revision = min(self.head_revision, revision)
        self.visible_revision = self.head_revision
        self._history = [change for change in self._history if change.revision <= revision]

    def values(self, at_revision: int) -> dict[str, Any]:
        """Return the value of each present key at a revision."""
        return {change.key: change.value for change in self._present_at(at_revision)}

    def changes_after(self, after: int, at_revision: int) -> Changes:
        """Return the changes after a revision: complete revisions only, at most 1 MB."""
        changes = (
            [change for change in self._history if after < change.revision <= at_revision]
            if after
            else self._present_at(at_revision)
        )
        sent = _leading_revisions(changes)
        is_complete = len(sent) == len(changes)
        head_revision = at_revision if is_complete else sent[-1].revision
        return Changes(changes=tuple(sent), head_revision=head_revision)

    def page_after(self, key: str, at_revision: int) -> ItemPage:
        """Return the present items after a key, at most 1 MB but at least one."""
        present = sorted(self._present_at(at_revision), key=lambda change: change.key)
        rest = [change for change in present if change.key > key]
        size_bytes, count = 0, 0
        for change in rest:
            size_bytes += _size_bytes([change])
            if count and size_bytes > MAX_ANSWER_BYTES:
                break
            count += 1
        return ItemPage(changes=tuple(rest[:count]), has_more=count < len(rest))

    def _present_at(self, at_revision: int) -> list[Change]:
        newest = {change.key: change for change in self._history if change.revision <= at_revision}
        present = [change for change in newest.values() if change.value is not None]
        return sorted(present, key=lambda change: change.revision)


def _size_bytes(changes: Iterable[Change]) -> int:
    return sum(len(orjson.dumps([change.key, change.value])) + 1 for change in changes)


def _leading_revisions(changes: list[Change]) -> list[Change]:
    size_bytes = 0
    # Readers continue after the last revision number; the rest of a split revision would be lost.
    complete_count = 0
    for index, change in enumerate(changes):
        if index and changes[index - 1].revision != change.revision:
            complete_count = index
        size_bytes += _size_bytes([change])
        if size_bytes > MAX_ANSWER_BYTES:
            return changes[:complete_count]
    return changes
