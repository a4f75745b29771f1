"""A copy of a revisioned keyspace that never reverts.

The observed values hold every change up to `observed_revision`; the values in force are the last
observed ones that the validator accepted whole. Two copies that observed the same revision with
different digests (a lost change, or one revision published twice) send each other everything and
keep, for each key, the newest revision, of equal ones the larger fingerprint. That choice is a
maximum: it doesn't depend on order or repetition, so all copies that exchange reach the same state.

A copy that observed a refused revision without the good one before it takes the values in force
from another copy; they never depend on which copy was there at which time.
"""

import bisect
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Any

from attrs import define, field, frozen

from pomelobarrow.decision.keyspace_types import (
    ApplyOutcome,
    ApplyResult,
    Change,
    Delta,
    KeyspaceSummary,
    fingerprint,
)

__all__ = [
    "ApplyOutcome",
    "ApplyResult",
    "Change",
    "Delta",
    "KeyspaceCopy",
    "KeyspaceCounters",
    "KeyspaceSummary",
    "Validator",
    "accept_all",
]

DIGEST_MASK = 2**64 - 1
TOMBSTONES_KEPT = 4_096
LOG_SLACK = 64


@define
class KeyspaceCounters:
    """Count what an operator should see."""

    applied: int = 0
    invalid: int = 0
    stale: int = 0
    gaps: int = 0
    conflicts: int = 0
    malformed: int = 0


Validator = Callable[[Mapping[str, Any], frozenset[str], int], tuple[Any, ...]]


def accept_all(
    _values: Mapping[str, Any], _changed: frozenset[str], _revision: int
) -> tuple[Any, ...]:
    """Accept any values."""
    return ()


@frozen
class _Kept:
    change: Change
    fingerprint: int

    @property
    def order(self) -> tuple[int, int]:
        return (self.change.revision, self.fingerprint)


@define
class _Pending:
    """Hold the pages received of a batch that isn't complete yet."""

    received_revision: int
    head_revision: int = 0
    batch: dict[str, _Kept] = field(factory=dict)


@define
class KeyspaceCopy:
    """Hold what was observed of a keyspace and what is in force of it."""

    name: str
    validator: Validator = accept_all
    tombstones_kept: int = TOMBSTONES_KEPT
    revision: int = field(default=0, init=False)
    observed_revision: int = field(default=0, init=False)
    digest: int = field(default=0, init=False)
    # Deletions up to here may be unknown to this copy, so it can't serve a delta from before.
    tombstone_floor: int = field(default=0, init=False)
    counters: KeyspaceCounters = field(factory=KeyspaceCounters, init=False)
    refused_reasons: tuple[Any, ...] = field(default=(), init=False)
    _kept: dict[str, _Kept] = field(factory=dict, init=False, repr=False)
    _observed_values: dict[str, Any] = field(factory=dict, init=False, repr=False)
    _values: dict[str, Any] = field(factory=dict, init=False, repr=False)
    # The changes that gave the values in force, for copies that never saw them.
    _in_force: dict[str, Change] = field(factory=dict, init=False, repr=False)
    # Keys whose observed value may differ from the one in force.
    _waiting: set[str] = field(factory=set, init=False, repr=False)
    # (revision, key) in order; an item whose key has changed since is stale and skipped.
    _log: list[tuple[int, str]] = field(factory=list, init=False, repr=False)
    _tombstones: int = field(default=0, init=False)
    _pending: _Pending | None = field(default=None, init=False, repr=False)
    # The revision observed before a restart; nothing older may take its place.
    _least_head: int = field(default=0, init=False)

    @property
    def values(self) -> Mapping[str, Any]:
        """Return the values in force, a view that follows later changes."""
        return MappingProxyType(self._values)

    @property
    def summary(self) -> KeyspaceSummary:
        """Return what a heartbeat says of this copy."""
        return KeyspaceSummary(
            name=self.name,
            revision=self.observed_revision,
            digest=self.digest,
            revision_in_force=self.revision,
        )

    @property
    def ask_after_revision(self) -> int:
        """Return the revision from which to ask for the next page."""
        return self._pending.received_revision if self._pending else self.observed_revision

    def sync_after_revision(self, other: KeyspaceSummary) -> int | None:
        """Return the revision after which to ask the other copy, None when in step with it."""
        if other.revision > self.observed_revision:
            return self.observed_revision
        if other.revision == self.observed_revision and other.digest != self.digest:
            return 0
        return None

    def lacks_in_force(self, other: KeyspaceSummary) -> bool:
        """Say whether the other copy has in force what this one, refusing a later one, lacks."""
        return bool(self.refused_reasons) and other.revision_in_force > self.revision

    def in_force_after(self, revision: int) -> Delta:
        """Return the whole of what is in force here, where that is later than a revision."""
        is_later = self.revision > revision
        return Delta(
            name=self.name,
            after_revision=0,
            head_revision=self.revision,
            changes=tuple(self._in_force.values()) if is_later else (),
        )

    def apply_in_force(self, delta: Delta) -> ApplyResult:
        """Put in force the whole that another copy has, while a later revision stays refused.

        The platform shows only the newest value of a key. A VM that starts while that one is
        invalid would find nothing to serve on, although every other VM does.
        """
        # Past what was observed here, a change that arrives late would take the values back.
        is_between = self.revision < delta.head_revision <= self.observed_revision
        if not self.refused_reasons or not is_between:
            return ApplyResult(outcome=ApplyOutcome.STALE)
        if delta.after_revision > 0:
            return ApplyResult(outcome=ApplyOutcome.GAP)
        new = {change.key: change for change in delta.changes if change.value is not None}
        changed = frozenset(
            key for key in {*new, *self._in_force} if new.get(key) != self._in_force.get(key)
        )
        candidate = {key: change.value for key, change in new.items()}
        if reasons := self.validator(MappingProxyType(candidate), changed, delta.head_revision):
            return ApplyResult(outcome=ApplyOutcome.INVALID, refused_reasons=reasons)
        for key in changed:
            self._set_in_force(key, new.get(key))
        self._waiting |= changed
        self.revision = delta.head_revision
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
        """Take the changes after a revision up to the head, or a part of them."""
        if head_revision < max(self.observed_revision, self._least_head):
            self.counters.stale += 1
            return ApplyResult(outcome=ApplyOutcome.STALE)
        if self._misses_changes_before(head_revision, after_revision, complete):
            self.counters.gaps += 1
            return ApplyResult(outcome=ApplyOutcome.GAP)
        try:
            batch = _newest(_checked(change, head_revision) for change in changes)
        except (TypeError, ValueError) as error:
            self.counters.malformed += 1
            return ApplyResult(outcome=ApplyOutcome.MALFORMED, refused_reasons=(str(error),))
        if not complete:
            return self._accumulate(batch, after_revision, head_revision)
        return self._complete(batch, after_revision, head_revision)

    def changes_after(self, revision: int) -> Delta:
        """Return what another copy lacks; it starts later than asked where deletions are unknown.

        A copy that gets a gap in reply to its own observed revision calls `restart` and asks
        after 0.
        """
        after = revision if revision == 0 else max(revision, self.tombstone_floor)
        start = bisect.bisect_right(self._log, (after, chr(0x10FFFF)))
        items = ((at, self._kept.get(key)) for at, key in self._log[start:])
        newest = (kept.change for at, kept in items if kept and kept.change.revision == at)
        return Delta(
            name=self.name,
            after_revision=after,
            head_revision=self.observed_revision,
            changes=tuple(newest),
        )

    def restart(self) -> None:
        """Forget what was observed, to ask for everything; the values in force stay."""
        self._least_head = max(self._least_head, self.observed_revision)
        self._waiting.update(self._in_force)
        self.observed_revision = self.digest = self.tombstone_floor = self._tombstones = 0
        self._kept.clear()
        self._observed_values.clear()
        self._log.clear()
        self._pending = None

    def _misses_changes_before(
        self, head_revision: int, after_revision: int, complete: bool
    ) -> bool:
        # With changes missing in between, a deletion or a key could be lost for good, while the
        # revision says that nothing is.
        if after_revision > self.ask_after_revision:
            return True
        # The whole from 0 leaves out deleted keys. Asked for by an empty copy and arriving after a
        # peer's older delta, it would leave the keys deleted in between in force.
        is_settled = complete and head_revision == self.observed_revision
        return after_revision == 0 < self.observed_revision and not is_settled

    def _accumulate(
        self, batch: list[_Kept], after_revision: int, head_revision: int
    ) -> ApplyResult:
        pending = self._pending or _Pending(self.observed_revision)
        _merge(pending.batch, batch)
        last_revision = max((kept.change.revision for kept in batch), default=after_revision)
        pending.received_revision = max(pending.received_revision, last_revision)
        pending.head_revision = max(pending.head_revision, head_revision)
        self._pending = pending
        return ApplyResult(outcome=ApplyOutcome.INCOMPLETE)

    def _complete(self, batch: list[_Kept], after_revision: int, head_revision: int) -> ApplyResult:
        pending = self._pending
        if pending is None or after_revision <= self.observed_revision:
            return self._observe(batch, head_revision)
        # The earlier pages left out the keys that change again before their head. A last page from
        # a reader that lags behind that head lacks those keys too.
        if head_revision < pending.head_revision:
            self.counters.stale += 1
            return ApplyResult(outcome=ApplyOutcome.STALE)
        _merge(pending.batch, batch)
        return self._observe(list(pending.batch.values()), head_revision)

    def _observe(self, batch: list[_Kept], head_revision: int) -> ApplyResult:
        news = [kept for kept in batch if self._is_news(kept)]
        if head_revision == self.observed_revision and not news:
            self.counters.stale += 1
            return ApplyResult(outcome=ApplyOutcome.STALE)
        if self.observed_revision == 0:
            self.tombstone_floor = head_revision
        for kept in news:
            self._keep(kept)
        self._append_to_log(news)
        self.observed_revision = head_revision
        self._pending = None
        self._prune()
        return self._put_in_force()

    def _is_news(self, kept: _Kept) -> bool:
        old = self._kept.get(kept.change.key)
        if old is not None and old.fingerprint == kept.fingerprint:
            return False
        # A deletion that was pruned here comes again with a repeated page. Taken as new, it would
        # be counted as a second content of a revision that has one.
        is_known_gone = old is None and kept.change.value is None
        if is_known_gone and kept.change.revision <= self.tombstone_floor:
            return False
        is_newer = old is None or kept.order > old.order
        is_conflict = kept.change.revision <= self.observed_revision and (
            is_newer or (old is not None and old.change.revision == kept.change.revision)
        )
        self.counters.conflicts += is_conflict
        return is_newer

    def _keep(self, kept: _Kept) -> None:
        change = kept.change
        self._forget(change.key)
        self._kept[change.key] = kept
        self._waiting.add(change.key)
        if change.value is None:
            self._tombstones += 1
            return
        self._observed_values[change.key] = change.value
        self.digest = (self.digest + kept.fingerprint) & DIGEST_MASK

    def _forget(self, key: str) -> None:
        old = self._kept.pop(key, None)
        if old is None:
            return
        if old.change.value is None:
            self._tombstones -= 1
            return
        del self._observed_values[key]
        self.digest = (self.digest - old.fingerprint) & DIGEST_MASK

    def _append_to_log(self, news: list[_Kept]) -> None:
        added = sorted((kept.change.revision, kept.change.key) for kept in news)
        in_order = not self._log or not added or self._log[-1] <= added[0]
        self._log.extend(added)
        if not in_order or len(self._log) > 2 * len(self._kept) + LOG_SLACK:
            self._rebuild_log()

    def _rebuild_log(self) -> None:
        self._log = sorted((kept.change.revision, key) for key, kept in self._kept.items())

    def _prune(self) -> None:
        # VMs come and go for ever, and so would their tombstones stay. A copy that is behind the
        # floor is told so and starts from the whole.
        if self._tombstones <= self.tombstones_kept:
            return
        dead = [kept.change for kept in self._kept.values() if kept.change.value is None]
        dead.sort(key=lambda change: change.revision)
        for change in dead[: len(dead) - self.tombstones_kept // 2]:
            self._forget(change.key)
            self.tombstone_floor = max(self.tombstone_floor, change.revision)
        self._rebuild_log()

    def _put_in_force(self) -> ApplyResult:
        changed = frozenset(self._waiting)
        if changed:
            candidate = MappingProxyType(self._observed_values)
            self.refused_reasons = self.validator(candidate, changed, self.observed_revision)
        if changed and self.refused_reasons:
            self.counters.invalid += 1
            return ApplyResult(outcome=ApplyOutcome.INVALID, refused_reasons=self.refused_reasons)
        for key in changed:
            kept = self._kept.get(key)
            self._set_in_force(key, kept.change if kept else None)
        self._waiting.clear()
        self.revision = self.observed_revision
        self.counters.applied += 1
        return ApplyResult(outcome=ApplyOutcome.IN_FORCE, changed_keys=changed)

    def _set_in_force(self, key: str, change: Change | None) -> None:
        if change is None or change.value is None:
            self._in_force.pop(key, None)
            self._values.pop(key, None)
            return
        self._in_force[key] = change
        self._values[key] = change.value


def _checked(change: Change, head_revision: int) -> _Kept:
    if not 0 < change.revision <= head_revision:
        raise ValueError(
            f"change of {change.key!r} has revision {change.revision}, the head is "
            f"{head_revision}: ask the sender again, or another one"
        )
    return _Kept(change, fingerprint(change))


def _newest(batch: Iterable[_Kept]) -> list[_Kept]:
    by_key: dict[str, _Kept] = {}
    _merge(by_key, batch)
    return list(by_key.values())


def _merge(into: dict[str, _Kept], batch: Iterable[_Kept]) -> None:
    for kept in batch:
        old = into.get(kept.change.key)
        if old is None or kept.order > old.order:
            into[kept.change.key] = kept
