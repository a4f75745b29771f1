"""Which events of a stream the client has, and which of a further run are new to it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.streams.stream_position import (
    MAX_HELD_BYTES,
    MAX_UNIDENTIFIED_EVENTS,
    JoinError,
    StreamPosition,
    is_beyond,
)

COMMENT = b": keep-alive\n\n"


def event(number: int) -> bytes:
    """Return an event with its id."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


@given(
    st.lists(
        st.sampled_from([COMMENT, b"data: no id\n\n", b"id\ndata: no place\n\n", b"event"]),
        max_size=30,
    ),
    st.data(),
)
def test_last_event_is_the_same_however_events_are_read(
    kinds: list[bytes], data: st.DataObject
) -> None:
    """Only the last event of a read counted."""
    events = [event(n) if kind == b"event" else kind for n, kind in enumerate(kinds, 1)]
    whole, one_by_one = StreamPosition(), StreamPosition()
    for each in events:
        one_by_one.note_sent([each])
    while events:
        size = data.draw(st.integers(1, len(events)))
        whole.note_sent(events[:size])
        events = events[size:]
    assert whole == one_by_one


def test_only_comments_leave_a_stream_at_its_beginning() -> None:
    """A server that fails after its first keep-alive has sent nothing that another would repeat."""
    position = StreamPosition()
    position.note_sent([COMMENT, b"retry: 100\n\n"])
    assert position.is_resumable
    assert position.last_event_id == ""


def note(number: int) -> bytes:
    """Return an event without an id."""
    return b"data: note %d\n\n" % number


def position_after(*events: bytes) -> StreamPosition:
    """Return the position of a client that has these events, before the next run."""
    position = StreamPosition()
    position.note_sent(events)
    position.begin_run()
    return position


def test_events_without_an_id_are_not_sent_again_after_the_last_id() -> None:
    """The server that goes on after an id repeats the events without an id behind it."""
    position = position_after(event(1), note(1), COMMENT, note(2))
    assert position.select_new([note(1)]) == []
    assert position.select_new([COMMENT, note(2), note(3), event(2)]) == [
        COMMENT,
        note(3),
        event(2),
    ]


@given(
    st.lists(st.sampled_from([COMMENT, note(1), note(2), event(1), event(2), event(3)])),
    st.data(),
)
def test_events_of_a_run_that_are_new_are_the_same_however_they_are_read(
    run: list[bytes], data: st.DataObject
) -> None:
    """Events without an id went out if the id that shows a wrong join came in a later read."""
    reads = []
    rest = run
    while rest:
        size = data.draw(st.integers(1, len(rest)))
        reads.append(rest[:size])
        rest = rest[size:]
    assert select_all(reads) == select_all([run])


def select_all(reads: list[list[bytes]]) -> tuple[list[bytes], bool]:
    """Return the new events with data of a run, and whether it was rejected."""
    position = position_after(event(1), event(2), note(1))
    passed: list[bytes] = []
    try:
        for each in reads:
            passed += each if position.is_join_checked else position.select_new(each)
        passed += position.release_held()
    except JoinError:
        return [each for each in passed if each != COMMENT], True
    return [each for each in passed if each != COMMENT], False


def test_run_without_any_id_is_rejected_beyond_a_limit() -> None:
    """Without a bound, events that wait for an id would fill the memory."""
    position = position_after(event(1))
    large = b"data: %s\n\n" % (b"x" * (MAX_HELD_BYTES // 2))
    assert position.select_new([large]) == []
    with pytest.raises(JoinError):
        position.select_new([large])


def test_events_that_a_server_does_not_repeat_are_new() -> None:
    """One that sends its notes once only goes on with other events."""
    position = position_after(event(1), note(1), note(2))
    rest = [note(3), note(2), event(2), note(1)]
    assert position.select_new(rest) == rest


def test_too_many_events_without_an_id_make_a_stream_unresumable() -> None:
    """Without a bound, a stream of one id would fill the memory."""
    position = position_after(event(1), *(note(n) for n in range(MAX_UNIDENTIFIED_EVENTS)))
    assert position.is_resumable
    position.note_sent([note(0)])
    assert not position.is_resumable
    position.note_sent([event(2)])
    assert position.is_resumable


@pytest.mark.parametrize("begins_at", [1, 2])
def test_run_that_goes_back_is_rejected(begins_at: int) -> None:
    """A server that ignores the last event id begins at the first event."""
    position = position_after(event(1), event(2))
    message = f"^the run goes on with event {begins_at} after 2$"
    with pytest.raises(JoinError, match=message):
        position.select_new([COMMENT, event(begins_at)])


def test_run_whose_ids_grow_in_uneven_steps_is_accepted() -> None:
    """An event may hold several tokens; such streams could not go on at any server."""
    position = position_after(event(1))
    assert position.select_new([event(5), event(7)]) == [event(5), event(7)]
    assert position.is_join_checked


def test_first_run_of_a_stream_may_begin_with_any_id() -> None:
    position = StreamPosition()
    position.begin_run()
    assert position.is_join_checked


def test_attempt_that_broke_off_leaves_nothing_held_back() -> None:
    """Events of two runs would be passed on together."""
    position = position_after(event(7))
    assert position.select_new([note(7)]) == []
    position.begin_run()
    assert position.select_new([event(8)]) == [event(8)]


def test_ids_within_a_run_are_the_servers_own() -> None:
    """Only the first ids of a run are compared: an answer is passed on as its server sends it."""
    position = position_after(event(2))
    run = [event(3), event(1), event(3)]
    assert position.select_new(run) == run


@pytest.mark.parametrize(
    ("first_id", "last_id", "is_accepted"),
    [
        ("8", "7", True),
        ("10", "9", True),
        ("7", "7", False),
        ("6", "7", False),
        ("007", "7", False),
        ("b", "a", True),
        ("a", "a", False),
        ("a", "7", True),
        ("1700000000000000001", "1700000000000000002", False),
        ("18446744073709551615", "18446744073709551614", True),
        ("1" * 40, "2" * 40, True),
    ],
)
def test_order_of_ids(first_id: str, last_id: str, is_accepted: bool) -> None:
    """Ids that aren't numbers have no order that the standard names."""
    assert is_beyond(first_id, last_id) == is_accepted
