"""Whether the first ids of a run continue a stream."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.streams.join_check import Join, judge_join


@pytest.mark.parametrize(
    ("last_id", "ids", "join"),
    [
        ("7", ["8"], Join.CONTINUES),
        ("9", ["10"], Join.CONTINUES),
        ("7", ["7"], Join.GOES_BACK),
        ("7", ["1"], Join.GOES_BACK),
        ("7", ["007"], Join.GOES_BACK),
        ("7", ["9"], Join.OPEN),
        ("7", ["9", "10"], Join.OPEN),
        ("7", ["9", "10", "11"], Join.LEAVES_OUT),
        ("7", ["14", "21"], Join.CONTINUES),
        ("7", ["14", "19"], Join.OPEN),
        ("7", ["14", "19", "27"], Join.CONTINUES),
        ("7", ["14", "19", "22"], Join.CONTINUES),
        ("7", ["21", "28", "35"], Join.LEAVES_OUT),
        ("a", ["b"], Join.CONTINUES),
        ("a", ["a"], Join.GOES_BACK),
        ("7", ["a"], Join.CONTINUES),
        ("1700000000000000002", ["1700000000000000001"], Join.GOES_BACK),
        ("18446744073709551614", ["18446744073709551615"], Join.CONTINUES),
        ("2" * 40, ["1" * 40], Join.CONTINUES),
    ],
)
def test_first_ids_show_whether_a_run_continues(last_id: str, ids: list[str], join: Join) -> None:
    """Ids that aren't numbers have no order that the standard names; they only must differ."""
    assert judge_join(last_id, ids) is join


@given(step=st.integers(1, 50), last=st.integers(0, 100), events=st.integers(1, 6))
def test_run_that_counts_in_steps_is_never_rejected(step: int, last: int, events: int) -> None:
    """A stream whose ids count tokens would break off at each join."""
    ids = [str((last + number) * step) for number in range(1, events + 1)]
    joins = [judge_join(str(last * step), ids[:count]) for count in range(1, events + 1)]
    assert set(joins) <= {Join.CONTINUES, Join.OPEN}
    assert joins[1:] in ([], [Join.CONTINUES] * (events - 1))
