"""Which events of a stream the client has, and which of a further run are new to it."""

from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.streams.stream_position import StreamPosition

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
