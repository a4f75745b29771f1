"""A copy of a revisioned keyspace that never reverts to an older revision.

The observed values include every change up to `observed_revision`. The values in force, which the
daemon uses, are the last observed ones that the validator accepted as a whole. Two copies that
observed the same revision with different digests (a lost change, or one revision published twice)
send each other all values and keep the newest revision of each key, or on a tie the one with the
larger fingerprint. This merge is commutative and idempotent, so all copies converge regardless of
the order and repetition of messages.

A copy that observed a refused revision, but not the valid one before it, gets the values in force
from another copy. The values in force therefore don't depend on when a copy was created.

A store that comes back from an older copy begins a new era, whose revisions are newer than all
before (`store_position`). Its first listing replaces all that was observed. Values in force stay
while those of the new era are an older version of them, until the operator publishes again.
"""

from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Any

from attrs import define, field

from pomelobarrow.decision.published.keyspace_batch import (
    BatchReader,
    ChangeLog,
    Entry,
    PartialBatch,
    merge,
    oldest_deletions,
)
from pomelobarrow.decision.published.keyspace_types import (
    ApplyOutcome,
    ApplyResult,
    Change,
    Delta,
    KeyspaceCounters,
    KeyspaceSummary,
    Validator,
    VersionReader,
    accept_all,
)
from pomelobarrow.decision.published.store_position import era_of, is_return

DIGEST_MASK = 2**64 - 1
TOMBSTONES_KEPT = 4_096


@define
class KeyspaceCopy:
    """One VM's copy of a keyspace: the observed values and the values in force."""

    name: str
    validator: Validator = accept_all
    version_of: VersionReader = lambda values: 0
    tombstones_kept: int = TOMBSTONES_KEPT
    reader: BatchReader = field(factory=BatchReader)
    revision: int = field(default=0, init=False)
    observed_revision: int = field(default=0, init=False)
    digest: int = field(default=0, init=False)
    # Deletions up to this revision may be unknown here, so no delta can start before it.
    tombstone_floor: int = field(default=0, init=False)
    counters: KeyspaceCounters = field(factory=KeyspaceCounters, init=False)
    refused_reasons: tuple[Any, ...] = field(default=(), init=False)
    # True while nothing that is observed comes into force.
    is_held: bool = field(default=False, init=False)
    # An observed revision that holds an older version than the one in force.
    superseded_revision: int = field(default=0, init=False)
    # True once the store has come back from an older copy.
    has_seen_return: bool = field(default=False, init=False)
    # True while all values are requested, to replace the observed ones.
    awaits_all: bool = field(default=False, init=False)
    _entries: dict[str, Entry] = field(factory=dict, init=False, repr=False)
    _observed_values: dict[str, Any] = field(factory=dict, init=False, repr=False)
    _values: dict[str, Any] = field(factory=dict, init=False, repr=False)
    # The changes behind the values in force, for copies that never observed them.
    _in_force: dict[str, Change] = field(factory=dict, init=False, repr=False)
    # Keys whose observed value may differ from the one in force.
    _unapplied_keys: set[str] = field(factory=set, init=False, repr=False)
    # Sorted (revision, key) pairs; a pair is stale and skipped if its key has changed since.
    _log: ChangeLog = field(factory=ChangeLog, init=False, repr=False)
    _tombstones: int = field(default=0, init=False)
    _partial: PartialBatch | None = field(default=None, init=False, repr=False)
    # The revision observed before a restart; older heads are rejected.
    _min_head_revision: int = field(default=0, init=False)

    @property
    def values(self) -> Mapping[str, Any]:
        """Return a live read-only view of the values in force."""
        return MappingProxyType(self._values)

    @property
    def summary(self) -> KeyspaceSummary:
        """Return the summary of this copy for heartbeats."""
        return KeyspaceSummary(
            name=self.name,
            revision=self.observed_revision,
            digest=self.digest,
            revision_in_force=self.revision,
            version=self.version,
        )

    @property
    def version(self) -> int:
        """Return the version that the operator gave the values in force; 0 if they have none."""
        return self.version_of(self.values)

    @property
    def default_era(self) -> int:
        """Return the era of revisions that a peer sends without one."""
        return 0 if self.has_seen_return else era_of(self.observed_revision)

    def revision_in_force(self, key: str) -> int:
        """Return the revision at which a key's value in force was published; 0 if it has none."""
        change = self._in_force.get(key)
        return change.revision if change else 0

    def revision_observed(self, key: str) -> int:
        """Return the revision of a key's newest observed change; 0 if there is none."""
        entry = self._entries.get(key)
        return entry.change.revision if entry else 0

    @property
    def ask_after_revision(self) -> int:
        """Return the revision after which to request the next page."""
        return self._partial.received_revision if self._partial else self.observed_revision

    @property
    def request_after_revision(self) -> int:
        """Return the revision after which to request changes of a peer; 0 requests all values."""
        return 0 if self.awaits_all else self.observed_revision

    def sync_after_revision(self, other: KeyspaceSummary) -> int | None:
        """Return the revision after which to request changes, or None if in sync."""
        if other.revision > self.observed_revision:
            return self.request_after_revision
        if other.revision == self.observed_revision and other.digest != self.digest:
            return 0
        return None

    def lacks_in_force(self, other: KeyspaceSummary) -> bool:
        """Return whether the other copy has newer values in force that this one can't observe."""
        if self._is_newer_version_of_earlier_era(other.version, other.revision_in_force):
            return True
        if self._is_older_version_of_later_era(other.version, other.revision_in_force):
            return False
        return bool(self.refused_reasons) and other.revision_in_force > self.revision

    def _is_older_version_of_later_era(self, version: int, revision: int) -> bool:
        return version < self.version and is_return(self.revision, revision)

    def _is_newer_version_of_earlier_era(self, version: int, revision: int) -> bool:
        return version > self.version and is_return(revision, self.observed_revision)

    def in_force_after(self, revision: int) -> Delta:
        """Return all values in force, or none if they aren't newer than a revision."""
        is_later = self.revision > revision
        return Delta(
            name=self.name,
            after_revision=0,
            head_revision=self.revision,
            changes=tuple(self._in_force.values()) if is_later else (),
        )

    def apply_in_force(self, delta: Delta) -> ApplyResult:
        """Adopt the values in force of another copy, while a later revision is refused here.

        The platform returns only the newest value of a key. Without this, a VM that starts while
        that value is invalid would have no configuration, although every other VM has one.
        """
        new = {change.key: change for change in delta.changes if change.value is not None}
        version = self.version_of({key: change.value for key, change in new.items()})
        if self._is_older_version_of_later_era(version, delta.head_revision):
            return ApplyResult(outcome=ApplyOutcome.STALE)
        is_earlier_era = self._is_newer_version_of_earlier_era(version, delta.head_revision)
        # Beyond the observed revision, a change that arrives late would revert the values.
        is_in_range = self.revision < delta.head_revision <= self.observed_revision
        if not is_earlier_era and not (self.refused_reasons and is_in_range):
            return ApplyResult(outcome=ApplyOutcome.STALE)
        if delta.after_revision > 0:
            return ApplyResult(outcome=ApplyOutcome.GAP)
        changed = frozenset(
            key for key in {*new, *self._in_force} if new.get(key) != self._in_force.get(key)
        )
        candidate = {key: change.value for key, change in new.items()}
        if reasons := self.validator(MappingProxyType(candidate), changed, delta.head_revision):
            return ApplyResult(outcome=ApplyOutcome.INVALID, refused_reasons=reasons)
        for key in changed:
            self._set_in_force(key, new.get(key))
        self._unapplied_keys |= changed
        self.revision = delta.head_revision
        if is_earlier_era:
            self.superseded_revision = self.observed_revision
        self.counters.applied += 1
        return ApplyResult(outcome=ApplyOutcome.IN_FORCE, changed_keys=changed)

    def apply(
        self,
        changes: Sequence[Change],
        head_revision: int,
        *,
        after_revision: int,
        complete: bool = True,
    ) -> ApplyResult:
        """Apply all changes after a revision up to the head, or one page of them."""
        if head_revision < max(self.observed_revision, self._min_head_revision):
            self.counters.stale += 1
            return ApplyResult(outcome=ApplyOutcome.STALE)
        is_whole = complete and after_revision == 0
        is_from_return = is_return(self.observed_revision, head_revision)
        replaces_all = is_whole and (self.awaits_all or is_from_return)
        if not replaces_all and self._misses_changes_before(
            head_revision, after_revision, complete
        ):
            self.counters.gaps += 1
            return ApplyResult(outcome=ApplyOutcome.GAP)
        try:
            batch = self.reader.read(changes, head_revision)
            self.reader.check_size(batch, {} if replaces_all else self._entries)
        except ValueError as error:
            self.counters.malformed += 1
            return ApplyResult(outcome=ApplyOutcome.MALFORMED, refused_reasons=(str(error),))
        if replaces_all:
            self.restart()
        if not complete:
            return self._accumulate(batch, after_revision, head_revision)
        return self._complete(batch, after_revision, head_revision)

    def changes_after(self, revision: int) -> Delta:
        """Return the changes after a revision, or a later one if deletions are unknown before it.

        A copy that receives a delta with a gap after its observed revision calls `await_all` and
        requests all changes after 0.
        """
        if is_return(revision, self.observed_revision):
            revision = 0
        after = revision if revision == 0 else max(revision, self.tombstone_floor)
        items = ((at, self._entries.get(key)) for at, key in self._log.after(after))
        current = (entry.change for at, entry in items if entry and entry.change.revision == at)
        return Delta(
            name=self.name,
            after_revision=after,
            head_revision=self.observed_revision,
            changes=tuple(current),
        )

    def await_all(self) -> None:
        """Let the next listing of all values replace the observed ones, which stay until then.

        Changes that follow the observed revision are still applied, and end the wait.
        """
        self.awaits_all = self.observed_revision > 0

    def restart(self) -> None:
        """Discard the observed values; the values in force stay."""
        self.awaits_all = False
        self._min_head_revision = max(self._min_head_revision, self.observed_revision)
        self._unapplied_keys.update(self._in_force)
        self.observed_revision = self.digest = self.tombstone_floor = self._tombstones = 0
        self._entries.clear()
        self._observed_values.clear()
        self._log.clear()
        self._partial = None

    def _misses_changes_before(
        self, head_revision: int, after_revision: int, complete: bool
    ) -> bool:
        # With changes missing in between, a deletion or a key could be lost permanently, although
        # the observed revision covers it.
        if after_revision > self.ask_after_revision:
            return True
        # A full delta after 0 omits deleted keys. If an empty copy requests it and first receives
        # an older delta from a peer, keys deleted in between would stay in force.
        is_settled = complete and head_revision == self.observed_revision
        return after_revision == 0 < self.observed_revision and not is_settled

    def _accumulate(
        self, batch: list[Entry], after_revision: int, head_revision: int
    ) -> ApplyResult:
        self._partial = self._partial or PartialBatch(self.observed_revision)
        self._partial.add(batch, after_revision, head_revision)
        return ApplyResult(outcome=ApplyOutcome.INCOMPLETE)

    def _complete(self, batch: list[Entry], after_revision: int, head_revision: int) -> ApplyResult:
        partial = self._partial
        if partial is None or after_revision <= self.observed_revision:
            return self._observe(batch, head_revision)
        # Earlier pages omit keys that change again up to their head. A last page from a reader that
        # lags behind that head lacks those keys as well.
        if head_revision < partial.head_revision:
            self.counters.stale += 1
            return ApplyResult(outcome=ApplyOutcome.STALE)
        merge(partial.batch, batch)
        return self._observe(list(partial.batch.values()), head_revision)

    def _observe(self, batch: list[Entry], head_revision: int) -> ApplyResult:
        self.has_seen_return |= is_return(self._min_head_revision, head_revision)
        newer = [entry for entry in batch if self._supersedes(entry)]
        if head_revision == self.observed_revision and not newer:
            self.counters.stale += 1
            return ApplyResult(outcome=ApplyOutcome.STALE)
        if self.observed_revision == 0:
            self.tombstone_floor = head_revision
        for entry in newer:
            self._store(entry)
        self._log.add(newer, self._entries)
        self.observed_revision = head_revision
        self.awaits_all = False
        self._partial = None
        self._prune()
        return self.put_in_force()

    def _supersedes(self, entry: Entry) -> bool:
        old = self._entries.get(entry.change.key)
        if old is not None and old.fingerprint == entry.fingerprint:
            return False
        # A repeated page may contain a deletion that was pruned here. Treated as new, it would
        # count as a conflicting change of an observed revision.
        is_unknown_deletion = old is None and entry.change.value is None
        if is_unknown_deletion and entry.change.revision <= self.tombstone_floor:
            return False
        is_newer = old is None or entry.order > old.order
        is_conflict = entry.change.revision <= self.observed_revision and (
            is_newer or (old is not None and old.change.revision == entry.change.revision)
        )
        self.counters.conflicts += is_conflict
        return is_newer

    def _store(self, entry: Entry) -> None:
        change = entry.change
        self._forget(change.key)
        self._entries[change.key] = entry
        self._unapplied_keys.add(change.key)
        if change.value is None:
            self._tombstones += 1
            return
        self._observed_values[change.key] = change.value
        self.digest = (self.digest + entry.fingerprint) & DIGEST_MASK

    def _forget(self, key: str) -> None:
        old = self._entries.pop(key, None)
        if old is None:
            return
        if old.change.value is None:
            self._tombstones -= 1
            return
        del self._observed_values[key]
        self.digest = (self.digest - old.fingerprint) & DIGEST_MASK

    def _prune(self) -> None:
        # VMs are replaced continuously, so tombstones would accumulate without a limit. A copy that
        # is behind the floor receives a gap and restarts with a full delta.
        if self._tombstones <= self.tombstones_kept:
            return
        for change in oldest_deletions(self._entries.values(), self.tombstones_kept // 2):
            self._forget(change.key)
            self.tombstone_floor = max(self.tombstone_floor, change.revision)
        self._log.rebuild(self._entries)

    def put_in_force(self) -> ApplyResult:
        """Put the observed values in force, unless there are none or they are held back."""
        if self.is_held or not self.observed_revision:
            return ApplyResult(outcome=ApplyOutcome.HELD)
        changed = frozenset(self._unapplied_keys)
        if changed and (reasons := self._older_version_reasons()):
            self.superseded_revision = self.observed_revision
            self.refused_reasons = reasons
            self.counters.superseded += 1
            return ApplyResult(outcome=ApplyOutcome.SUPERSEDED, refused_reasons=reasons)
        if changed:
            candidate = MappingProxyType(self._observed_values)
            self.refused_reasons = self.validator(candidate, changed, self.observed_revision)
        if changed and self.refused_reasons:
            self.counters.invalid += 1
            return ApplyResult(outcome=ApplyOutcome.INVALID, refused_reasons=self.refused_reasons)
        for key in changed:
            entry = self._entries.get(key)
            self._set_in_force(key, entry.change if entry else None)
        self._unapplied_keys.clear()
        self.revision = self.observed_revision
        self.counters.applied += 1
        return ApplyResult(outcome=ApplyOutcome.IN_FORCE, changed_keys=changed)

    def _older_version_reasons(self) -> tuple[str, ...]:
        """Return why the observed values are an older version that a copy of the store brought."""
        version = self.version_of(self._observed_values)
        if not self._is_older_version_of_later_era(version, self.observed_revision):
            return ()
        return (f"version {version} of the store's copy is older than {self.version} in force",)

    def _set_in_force(self, key: str, change: Change | None) -> None:
        if change is None or change.value is None:
            self._in_force.pop(key, None)
            self._values.pop(key, None)
            return
        self._in_force[key] = change
        self._values[key] = change.value
