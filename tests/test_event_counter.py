"""Which bytes of a stream are events that an engine counts, and which end it."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.streams.event_counter import EventCounter
from pomelobarrow.decision.streams.server_sent_events import event_data

END_EVENT = b"data: [DONE]\n\n"
LINE_ENDS = (b"\n", b"\r\n", b"\r")
COUNTED = (
    (b"data: token",),
    (b"id: 7", b"data:token"),
    (b"event: x", b"data: a", b"data: b"),
    (b"data: token", b"data: [DONE]"),
    (b"data",),
)
NOT_COUNTED = ((b": keep-alive",), (b": data: [DONE]",), (b"id: 8",), (b"retry: 10",), ())
BLOCKS = st.lists(st.sampled_from(COUNTED + NOT_COUNTED), max_size=6)


def _stream(blocks: list[tuple[bytes, ...]], line_end: bytes) -> bytes:
    return b"".join(b"".join(line + line_end for line in (*block, b"")) for block in blocks)


def _contents(events: list[bytes]) -> list[bytes]:
    return [content for event in events if (content := event_data(event)) is not None]


@given(BLOCKS, st.sampled_from(LINE_ENDS), st.lists(st.integers(0, 400), max_size=12))
def test_count_is_the_same_however_the_bytes_are_split(
    blocks: list[tuple[bytes, ...]], line_end: bytes, places: list[int]
) -> None:
    """An event that counts once too often is left out when the stream is resumed."""
    ended = [*blocks, (b"id: 9", b"data: [DONE]"), (b"data: late",)]
    data = _stream(ended, line_end)
    bounds = [0, *sorted(place % (len(data) + 1) for place in places), len(data)]
    counter = EventCounter()
    passed: list[bytes] = []
    for start, end in zip(bounds, bounds[1:], strict=False):
        passed += counter.feed(data[start:end])
    counted = [block for block in blocks if block in COUNTED]
    assert counter.complete_events == len(counted) + 1
    assert counter.is_ended
    assert _contents(passed) == [*_contents([_stream([b], b"\n") for b in counted]), b"[DONE]"]
    assert data.startswith(b"".join(passed))


@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize("block", COUNTED + NOT_COUNTED)
def test_only_an_event_with_exactly_the_end_data_ends_the_stream(
    block: tuple[bytes, ...], line_end: bytes
) -> None:
    """An event that ended with the bytes of the end event had its answer look complete."""
    counter = EventCounter()
    counter.feed(_stream([block, (b"data: next",)], line_end))
    assert not counter.is_ended


def test_nothing_after_the_end_event_is_passed_on() -> None:
    counter = EventCounter()
    assert counter.feed(b"data: a\n\n" + END_EVENT + b"data: late\n\n") == [
        b"data: a\n\n",
        END_EVENT,
    ]
    assert counter.feed(END_EVENT) == []
    assert counter.is_ended


def test_incomplete_event_of_a_broken_stream_is_not_counted() -> None:
    """The resumed stream begins with the event that was cut off."""
    counter = EventCounter()
    counter.feed(b"data: a\n\ndata: b\n")
    counter.drop_partial()
    assert counter.feed(b"data: b\n\n") == [b"data: b\n\n"]
    assert counter.complete_events == 2
