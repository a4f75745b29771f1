"""A copy of a keyspace never reverts, and all copies converge despite reordering and loss."""

import hypothesis.strategies as st
import pytest
from call_counts import CALLS_AN_EXAMPLE, CallCount, at_most_calls
from hypothesis import given, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pomelobarrow.decision.published.keyspace import ApplyOutcome, Change, KeyspaceCopy
from pomelobarrow.decision.published.keyspace_types import (
    KEY_OVERHEAD_BYTES,
    MAX_KEYSPACE_BYTES,
    fingerprint,
)
from pomelobarrow.peers.keyspace_messages import keyspace_delta, read_delta

KEYS = ("a", "b", "c", "d")
COPIES = 3
INVALID = "invalid"
copies = st.integers(0, COPIES - 1)
values = st.sampled_from([1, 2, {"x": 1}, None, None, INVALID])
publications = st.dictionaries(st.sampled_from(KEYS), values, min_size=1, max_size=2)


def refuse_invalid(values, changed, revision):
    return tuple(f"{key} is invalid" for key, value in values.items() if value == INVALID)


class Platform:
    """Keep every published state and return changes like the platform's pages."""

    def __init__(self):
        self.states = [{}]
        self.newest = [{}]

    def publish(self, changes):
        revision = len(self.states)
        state = {**self.states[-1], **changes}
        self.states.append({key: value for key, value in state.items() if value is not None})
        self.newest.append({**self.newest[-1], **dict.fromkeys(changes, revision)})

    def changes_after(self, after, head):
        items = sorted((revision, key) for key, revision in self.newest[head].items())
        changes = [Change(rev, key, self.states[head].get(key)) for rev, key in items]
        return [
            change
            for change in changes
            if change.revision > after and (after or change.value is not None)
        ]


class ConfigurationNeverReverts(RuleBasedStateMachine):
    """Copies read a lagging platform in pages and gossip over a lossy, repeating network."""

    def __init__(self):
        super().__init__()
        self.platform = Platform()
        self.copies = [self.new_copy() for _ in range(COPIES)]
        self.seen_revision = [0] * COPIES
        self.network = []
        self.count = CallCount()
        self.count.start()

    def new_copy(self):
        return KeyspaceCopy("config", refuse_invalid, tombstones_kept=2)

    @rule(changes=publications)
    def publish(self, changes):
        self.platform.publish(changes)

    def send(self, message, at_once):
        self.network.append(message)
        if at_once:
            self.deliver(message)

    @rule(
        index=copies, lag=st.integers(0, 2), page_changes=st.integers(1, 3), at_once=st.booleans()
    )
    def ask_platform(self, index, lag, page_changes, at_once):
        head = max(0, len(self.platform.states) - 1 - lag)
        after = self.copies[index].ask_after_revision
        changes = self.platform.changes_after(after, head)
        page = changes[:page_changes]
        page += [each for each in changes[page_changes:] if each.revision == page[-1].revision]
        self.send((index, page, head, after, len(page) == len(changes)), at_once)

    @rule(index=copies, peer=copies, at_once=st.booleans())
    def ask_peer(self, index, peer, at_once):
        after = self.copies[index].sync_after_revision(self.copies[peer].summary)
        if after is not None:
            delta = self.copies[peer].changes_after(after)
            message = (index, delta.changes, delta.head_revision, delta.after_revision, True)
            self.send(message, at_once)

    @rule(index=copies, peer=copies, at_once=st.booleans())
    def ask_peer_for_what_is_in_force(self, index, peer, at_once):
        copy, other = self.copies[index], self.copies[peer]
        if index != peer and copy.lacks_in_force(other.summary):
            self.send((index, other.in_force_after(copy.revision)), at_once)

    @rule(data=st.data())
    def deliver_any(self, data):
        if self.network:
            self.deliver(data.draw(st.sampled_from(self.network[-6:]), "message"))

    def deliver(self, message):
        index, *content = message
        copy = self.copies[index]
        if len(content) == 1:
            copy.apply_in_force(content[0])
            return
        changes, head, after, complete = content
        result = copy.apply(changes, head, after_revision=after, complete=complete)
        if result.outcome is ApplyOutcome.GAP:
            copy.restart()

    @rule(index=copies)
    def restart(self, index):
        self.copies[index].restart()

    @rule(index=copies)
    def await_all(self, index):
        self.copies[index].await_all()

    @rule(index=copies)
    def replace(self, index):
        self.copies[index] = self.new_copy()
        self.seen_revision[index] = 0
        self.network = [message for message in self.network if message[0] != index]

    @invariant()
    def values_in_force_are_exactly_one_valid_published_revision(self):
        for index, copy in enumerate(self.copies):
            assert dict(copy.values) == self.platform.states[copy.revision]
            assert INVALID not in copy.values.values()
            assert copy.revision >= self.seen_revision[index]
            self.seen_revision[index] = copy.revision
            assert copy.counters.conflicts == 0

    def teardown(self):
        try:
            self.all_copies_converge()
        finally:
            self.count.stop()
        assert self.count.calls <= CALLS_AN_EXAMPLE

    def all_copies_converge(self):
        self.ask_platform(0, 0, 100, at_once=True)
        for index in [*range(COPIES)] * 4:
            self.ask_peer(index, (index + 1) % COPIES, at_once=True)
        for index in [*range(COPIES)] * 2:
            self.ask_peer_for_what_is_in_force(index, (index + 1) % COPIES, at_once=True)
        head = len(self.platform.states) - 1
        assert {copy.observed_revision for copy in self.copies} == {head}
        assert len({copy.digest for copy in self.copies}) == 1
        assert len({copy.revision for copy in self.copies}) == 1
        if INVALID not in self.platform.states[head].values():
            assert self.copies[0].revision == head


ConfigurationNeverReverts.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None
)
TestConfigurationNeverReverts = ConfigurationNeverReverts.TestCase

histories = st.lists(
    st.builds(Change, st.integers(2, 6), st.sampled_from(KEYS), st.sampled_from([1, 2, None])),
    max_size=6,
)


@settings(deadline=None)
@given(st.lists(histories, min_size=3, max_size=3), st.permutations([0, 1, 2]))
@at_most_calls()
def test_copies_with_conflicting_histories_of_one_revision_converge(all_histories, order):
    group = [KeyspaceCopy("config") for _ in all_histories]
    for copy, history in zip(group, all_histories, strict=True):
        copy.apply([], 1, after_revision=0)
        copy.apply(history, 6, after_revision=1)
    for index in list(order) * 2:
        for peer in group:
            if group[index].sync_after_revision(peer.summary) == 0:
                group[index].apply(peer.changes_after(0).changes, 6, after_revision=0)
    newest = sorted(sum(all_histories, []), key=lambda each: (each.revision, fingerprint(each)))
    expected = {each.key: each.value for each in newest}
    expected = {key: value for key, value in expected.items() if value is not None}
    assert [dict(copy.values) for copy in group] == [expected] * 3
    for after in range(1, 6):
        whole = group[0].changes_after(0).changes
        later = [change for change in whole if change.revision > after]
        assert list(group[0].changes_after(after).changes) == later


@pytest.fixture
def copy():
    copy = KeyspaceCopy("config", refuse_invalid, tombstones_kept=4)
    copy.apply([Change(3, "a", 1), Change(4, "b", 2)], 4, after_revision=0)
    return copy


@pytest.mark.parametrize(
    ("changes", "head", "after", "outcome"),
    [
        pytest.param([Change(2, "a", 9)], 3, 0, ApplyOutcome.STALE, id="lower revision"),
        pytest.param([Change(3, "a", 1)], 4, 0, ApplyOutcome.STALE, id="same again"),
        pytest.param([Change(9, "a", 9)], 9, 7, ApplyOutcome.GAP, id="gap before it"),
        pytest.param([Change(9, "a", 9)], 8, 4, ApplyOutcome.MALFORMED, id="past its own head"),
        pytest.param([Change(5, "a", INVALID)], 5, 4, ApplyOutcome.INVALID, id="invalid"),
    ],
)
def test_refused_batches_leave_the_values_in_force(copy, changes, head, after, outcome):
    result = copy.apply(changes, head, after_revision=after)
    assert result.outcome is outcome
    assert (copy.revision, dict(copy.values)) == (4, {"a": 1, "b": 2})


UNENCODABLE = ({1}, 2**70, {"slots": int(1e300)}, "\ud800", [[{"deep": 2**64}]])


@pytest.mark.parametrize("value", UNENCODABLE, ids=repr)
def test_value_that_cannot_be_encoded_leaves_its_key_and_no_other_unchanged(copy, value):
    """Guards against a batch, and each later one, that one value of another writer refuses."""
    reported = []
    copy.reader.on_unreadable = lambda change, error: reported.append(change.key)
    result = copy.apply([Change(5, "a", value), Change(6, "b", 3)], 6, after_revision=4)
    assert (result.outcome, copy.observed_revision) == (ApplyOutcome.IN_FORCE, 6)
    assert dict(copy.values) == {"a": 1, "b": 3}
    assert reported == ["a"]


@pytest.mark.parametrize("value", UNENCODABLE, ids=repr)
def test_value_that_cannot_be_encoded_is_replaced_where_the_keyspace_has_a_replacement(value):
    copy = KeyspaceCopy("vms")
    copy.reader.value_if_unreadable = {"role": "unusable"}
    copy.apply([Change(3, "a", value), Change(4, "b", 2)], 4, after_revision=0)
    assert dict(copy.values) == {"a": {"role": "unusable"}, "b": 2}


VALUES = st.sampled_from([*UNENCODABLE, 1, {"slots": 2}, None])
CHANGES = st.lists(st.tuples(st.sampled_from("abcd"), VALUES), min_size=1, max_size=12)


def copies_of(changes):
    """Return copies that get the changes by a listing, one watch each, and from a peer."""
    copies = [KeyspaceCopy("vms") for _ in range(3)]
    for copy in copies:
        copy.reader.value_if_unreadable = {"role": "unusable"}
    listed, watched, of_peer = copies
    head = len(changes)
    listed.apply(changes, head, after_revision=0)
    for change in changes:
        watched.apply([change], change.revision, after_revision=change.revision - 1)
    delta = read_delta(keyspace_delta(listed.changes_after(0)).delta, of_peer)
    of_peer.apply(delta.changes, delta.head_revision, after_revision=delta.after_revision)
    return copies


@given(CHANGES)
def test_copies_agree_on_values_that_cannot_be_encoded_however_they_come(drawn):
    """Guards against copies that differ for good, and pull from each other all the while."""
    changes = [Change(number, key, value) for number, (key, value) in enumerate(drawn, 1)]
    copies = copies_of(changes)
    newest_values = {change.key: change.value for change in changes}
    sound = {
        key: value
        for key, value in newest_values.items()
        if value is not None and not any(value is each for each in UNENCODABLE)
    }
    for copy in copies:
        assert {key: copy.values.get(key) for key in sound} == sound
        assert (copy.digest, copy.revision) == (copies[0].digest, len(changes))


def test_valid_revision_applies_changes_of_a_refused_one(copy):
    copy.apply([Change(5, "a", 7), Change(5, "b", INVALID)], 5, after_revision=4)
    assert copy.refused_reasons == ("b is invalid",)
    result = copy.apply([Change(6, "b", 8)], 6, after_revision=5)
    assert result.changed_keys == {"a", "b"}
    assert (dict(copy.values), copy.refused_reasons) == ({"a": 7, "b": 8}, ())


def test_repeated_pruned_deletions_are_not_a_conflict():
    # A copy applies three deletions and keeps the newest two. The network repeats the same page.
    # The pruned deletions then look like new changes at an observed revision, and operators see a
    # conflict although there is none.
    copy = KeyspaceCopy("config", refuse_invalid, tombstones_kept=2)
    copy.apply([Change(1, "a", 1)], 1, after_revision=0)
    page = [Change(2, "a", None), Change(2, "b", None), Change(3, "c", None)]
    for _ in range(2):
        copy.apply(page, 3, after_revision=1)
    assert copy.counters.conflicts == 0
    assert (copy.observed_revision, dict(copy.values)) == (3, {})


def test_conflicting_contents_of_a_revision_are_counted_and_converge(copy):
    other = KeyspaceCopy("config")
    other.apply([Change(3, "a", 1), Change(4, "b", 99)], 4, after_revision=0)
    assert copy.sync_after_revision(other.summary) == other.sync_after_revision(copy.summary) == 0
    copy.apply(other.changes_after(0).changes, 4, after_revision=0)
    other.apply(copy.changes_after(0).changes, 4, after_revision=0)
    assert copy.values == other.values
    assert copy.counters.conflicts == 1


def test_full_delta_requested_by_an_empty_copy_is_refused_once_it_has_observed_more(copy):
    # A new VM asks the platform and its peers at once. A peer's older answer arrives first and
    # includes key "a"; the platform's later full delta omits deleted keys. If it were applied, "a"
    # would stay in force permanently, and anti-entropy would restore it on every VM.
    result = copy.apply([Change(4, "b", 2)], 6, after_revision=0)
    assert result.outcome is ApplyOutcome.GAP
    copy.apply([Change(6, "a", None)], 6, after_revision=4)
    assert dict(copy.values) == {"b": 2}


def test_copy_gets_the_last_valid_values_from_another_copy(copy):
    # "z" is deleted at 5 and "b" becomes invalid at 6. A VM that starts then gets only the invalid
    # revision from the platform. It serves with the values that the others have in force until the
    # next valid revision.
    copy.apply([Change(4, "z", 0)], 4, after_revision=0)
    older_delta = copy.in_force_after(0)
    copy.apply([Change(5, "z", None), Change(5, "a", 5)], 5, after_revision=4)
    new, late = (KeyspaceCopy("config", refuse_invalid) for _ in range(2))
    for each in (new, late):
        each.apply([Change(5, "a", 5), Change(6, "b", INVALID)], 6, after_revision=0)
        assert each.lacks_in_force(copy.summary)
        assert each.apply_in_force(older_delta).applied
    assert new.apply_in_force(copy.in_force_after(new.revision)).applied
    assert not new.apply_in_force(older_delta).applied
    assert (new.revision, dict(new.values)) == (5, {"a": 5, "b": 2})
    copy.apply([Change(8, "b", 9)], 8, after_revision=5)
    assert not new.apply_in_force(copy.in_force_after(new.revision)).applied
    late.apply([Change(7, "b", 7)], 7, after_revision=6)
    assert dict(late.values) == {"a": 5, "b": 7}


def test_pages_started_before_a_peer_answered_are_not_continued(copy):
    # The first page of a full delta, read before key "b" was deleted at 6, is followed by a peer's
    # answer up to 5. If the pages were continued, the deletion would be skipped.
    new = KeyspaceCopy("config")
    new.apply([Change(7, "c", 1)], 8, after_revision=0, complete=False)
    new.apply([Change(4, "b", 2)], 5, after_revision=0)
    assert new.apply([Change(8, "d", 1)], 8, after_revision=7).outcome is ApplyOutcome.GAP


def test_copy_filled_by_a_full_delta_does_not_answer_for_earlier_deletions(copy):
    # Key "a" is deleted at 5; a new VM that got the full delta at 6 never receives the deletion.
    # Its answer to a VM at 4 would advance that VM past the deletion with "a" still in force.
    new = KeyspaceCopy("config")
    new.apply([Change(6, "b", 3)], 6, after_revision=0)
    delta = new.changes_after(4)
    result = copy.apply(delta.changes, delta.head_revision, after_revision=delta.after_revision)
    assert result.outcome is ApplyOutcome.GAP


def test_restarted_copy_refuses_revisions_older_than_it_had_observed(copy):
    copy.restart()
    assert copy.apply([Change(3, "a", 0)], 3, after_revision=0).outcome is ApplyOutcome.STALE
    assert copy.apply([Change(4, "b", 2)], 4, after_revision=0).changed_keys == {"a", "b"}
    assert dict(copy.values) == {"b": 2}


def test_tombstones_stay_bounded_while_vms_are_replaced(copy):
    for revision in range(5, 500, 2):
        copy.apply([Change(revision, f"vms/{revision}", 1)], revision, after_revision=4)
        gone = Change(revision + 1, f"vms/{revision}", None)
        copy.apply([gone], revision + 1, after_revision=revision)
    assert len(copy.changes_after(0).changes) <= 2 + 4
    assert copy.changes_after(10).after_revision > 10


def test_values_without_end_are_refused_and_the_copy_stays():
    """Guards against a store or a peer that lists ever more servers, which all VMs pass on."""
    copy = KeyspaceCopy("vms")
    copy.apply([Change(1, "a", "first")], 1, after_revision=0)
    value, revision = "x" * 1_000, 1
    results = []
    for _ in range(2 * MAX_KEYSPACE_BYTES // len(value)):
        change = Change(revision + 1, f"key-{revision}", value)
        results.append(copy.apply([change], revision + 1, after_revision=revision).outcome)
        revision = copy.observed_revision
    held = sum(KEY_OVERHEAD_BYTES + len(key) + len(text) for key, text in copy.values.items())
    assert held <= MAX_KEYSPACE_BYTES
    assert results[-1] is ApplyOutcome.MALFORMED
    assert copy.values["a"] == "first"
    deletions = [Change(revision + 1, f"key-{number}", None) for number in range(1, 1_000)]
    assert copy.apply(deletions, revision + 1, after_revision=revision).applied
    change = Change(revision + 2, "b", "later")
    assert copy.apply([change], revision + 2, after_revision=revision + 1).applied


def test_listing_that_replaces_a_full_copy_is_measured_alone():
    """Guards against a copy that stays full once its store has recovered."""
    copy = KeyspaceCopy("vms")
    half = "x" * (MAX_KEYSPACE_BYTES * 2 // 3)
    assert copy.apply([Change(1, "a", half)], 1, after_revision=0).applied
    copy.await_all()
    assert copy.apply([Change(2, "b", half)], 2, after_revision=0).applied
    assert set(copy.values) == {"b"}
