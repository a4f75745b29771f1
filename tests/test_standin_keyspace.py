"""Test that a keyspace answers in complete revisions, starting with current values."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.standin import keyspace as keyspace_module
from pomelobarrow.standin.keyspace import Keyspace, RevisionTooLargeError

KEYS = st.sampled_from("abcd")
PUBLISHED = st.lists(
    st.dictionaries(KEYS, st.none() | st.text("x", max_size=40), min_size=1), max_size=12
)


def published(*revisions: dict[str, Any]) -> Keyspace:
    keyspace = Keyspace()
    for changes in revisions:
        keyspace.reveal(keyspace.publish(changes))
    return keyspace


def changes(keyspace: Keyspace, after: int) -> list[tuple[int, str, Any]]:
    answer = keyspace.changes_after(after, keyspace.visible_revision)
    return [(change.revision, change.key, change.value) for change in answer.changes]


def test_first_read_gives_current_values_and_later_reads_every_change() -> None:
    keyspace = published({"a": 1, "b": 1}, {"a": 2}, {"b": None})
    assert changes(keyspace, 0) == [(2, "a", 2)]
    assert changes(keyspace, 1) == [(2, "a", 2), (3, "b", None)]


def test_revision_is_unseen_until_revealed() -> None:
    keyspace = published({"a": 1})
    keyspace.publish({"a": 2})
    assert changes(keyspace, 0) == [(1, "a", 1)]


def test_revert_gives_the_next_revision_a_used_number() -> None:
    keyspace = published({"a": 1}, {"a": 2}, {"a": 3})
    keyspace.revert(1)
    assert (changes(keyspace, 0), keyspace.publish({"a": 9})) == ([(1, "a", 1)], 2)


def test_revision_larger_than_an_answer_is_refused() -> None:
    keyspace = published({"a": 1})
    with pytest.raises(RevisionTooLargeError, match="in parts"):
        keyspace.publish({"b": "x" * keyspace_module.MAX_ANSWER_BYTES})
    assert keyspace.head_revision == 1


@given(PUBLISHED)
def test_reading_in_parts_gives_the_same_values_as_reading_at_once(
    revisions: list[dict[str, Any]],
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        keyspace = published(*revisions)
        patch.setattr(keyspace_module, "MAX_ANSWER_BYTES", 400)
        mirror: dict[str, Any] = {}
        after, is_complete = 0, False
        while not is_complete:
            answer = keyspace.changes_after(after, keyspace.visible_revision)
            is_complete = answer.head_revision == keyspace.visible_revision
            assert is_complete or answer.changes
            for change in answer.changes:
                mirror[change.key] = change.value
                after = change.revision
    present = {key: value for key, value in mirror.items() if value is not None}
    assert present == keyspace.values(keyspace.visible_revision)


@given(PUBLISHED)
def test_listing_in_pages_gives_every_present_item_once(revisions: list[dict[str, Any]]) -> None:
    with pytest.MonkeyPatch.context() as patch:
        keyspace = published(*revisions)
        patch.setattr(keyspace_module, "MAX_ANSWER_BYTES", 60)
        listed: list[tuple[str, Any]] = []
        last_key, has_more = "", True
        while has_more:
            page = keyspace.page_after(last_key, keyspace.visible_revision)
            listed += [(change.key, change.value) for change in page.changes]
            last_key, has_more = (listed[-1][0] if listed else ""), page.has_more
    assert listed == sorted(keyspace.values(keyspace.visible_revision).items())
