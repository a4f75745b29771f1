"""Splitting a byte stream into events, and their fields."""

import re

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.streams.server_sent_events import (
    EventSplitter,
    EventTooLargeError,
    event_data,
    event_id,
    event_name,
)

LINE_ENDS = ("\n", "\r\n", "\r")
LINES = st.sampled_from(
    ("id: 1", "id:2", "id", "id: ", "data: a", "data:", "data", ": comment", "event: x", "ideas: 1")
)
EVENTS = st.lists(st.lists(LINES, min_size=1, max_size=4), max_size=5)


def _split(chunks: list[bytes]) -> tuple[list[bytes], bytes]:
    splitter = EventSplitter()
    events = [event for chunk in chunks for event in splitter.feed(chunk)]
    return events, splitter.rest


def _cut(data: bytes, places: list[int]) -> list[bytes]:
    bounds = [0, *sorted(place % (len(data) + 1) for place in places), len(data)]
    return [data[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]


def _reference_ids(stream: str) -> list[str | None]:
    """Return the last id field of each event by the standard's line rules."""
    ids: list[str | None] = []
    last: str | None = None
    for line in re.split("\r\n|\n|\r", stream):
        name, _, value = line.partition(":")
        if name == "id":
            last = value.removeprefix(" ")
        if not line:
            ids.append(last)
            last = None
    # What follows the last blank line is no event.
    return ids[:-1]


@given(EVENTS, st.sampled_from(LINE_ENDS), st.lists(st.integers(0, 400), max_size=12))
def test_events_are_the_same_however_their_bytes_are_split(
    events: list[list[str]], line_end: str, places: list[int]
) -> None:
    """Only the last event of a read counted, and only line feeds ended one."""
    stream = "".join("".join(line + line_end for line in lines) + line_end for lines in events)
    data = stream.encode()
    split, rest = _split(_cut(data, places))
    assert b"".join(split) + rest == data
    assert rest.strip(b"\r\n") == b""
    assert [_text(event_id(event)) for event in split] == _reference_ids(stream)


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode()


@given(EVENTS, st.sampled_from(LINE_ENDS))
def test_each_event_is_returned_with_its_last_byte(events: list[list[str]], line_end: str) -> None:
    """Clients wait for each event; a line feed after a carriage return may come any time later."""
    splitter = EventSplitter()
    for lines in events:
        event = "".join(line + line_end for line in lines) + line_end
        returned = [each for byte in event.encode() for each in splitter.feed(bytes([byte]))]
        assert len(returned) == 1
        assert splitter.is_between_events


@pytest.mark.parametrize("chunk", [b"x", b"data: x\n", b": \r\n"])
def test_event_that_does_not_end_is_an_error(chunk: bytes) -> None:
    """A server that never ends an event would fill the memory."""
    splitter = EventSplitter(max_event_bytes=100)
    assert splitter.feed(b"id: 1\n\n" + 90 * b"x") == [b"id: 1\n\n"]
    endless = (splitter.feed(chunk) for _ in range(100))
    with pytest.raises(EventTooLargeError, match="^an event exceeds 100 bytes$"):
        list(endless)


@pytest.mark.parametrize(
    ("event", "id_"),
    [
        (b"id: 7\n\n", b"7"),
        (b"id:7\r\n\r\n", b"7"),
        (b"id:  7\r\r", b" 7"),
        (b"data: x\nid: 7\n\n", b"7"),
        (b"id: 7\nid: 8\n\n", b"8"),
        (b"id\n\n", b""),
        (b"id: 7\nid\n\n", b""),
        (b"id: 7\nid: 8\x00\n\n", b"7"),
        (b"\xef\xbb\xbfid: 7\n\n", b"7"),
        (b"\nid: 7\n\n", b"7"),
        (b"data: id: 7\n\n", None),
        (b"idea: 7\n\n", None),
        (b": id: 7\n\n", None),
    ],
)
def test_id_of_an_event(event: bytes, id_: bytes | None) -> None:
    assert event_id(event) == id_


@pytest.mark.parametrize(
    ("event", "data"),
    [
        (b"data: a\n\n", b"a"),
        (b"data:a\ndata\ndata: b\n\n", b"a\n\nb"),
        (b"data: a\r\ndata: b\r\n\r\n", b"a\nb"),
        (b"data\n\n", b""),
        (b": data: a\n\n", None),
        (b"event: data: a\n\n", None),
    ],
)
def test_data_of_an_event(event: bytes, data: bytes | None) -> None:
    assert event_data(event) == data


@pytest.mark.parametrize(
    ("event", "name"),
    [
        (b"event: error\ndata: a\n\n", b"error"),
        (b"data: a\r\nevent:x\r\nevent:error\r\n\r\n", b"error"),
        (b"data: event: error\n\n", b""),
    ],
)
def test_name_of_an_event(event: bytes, name: bytes) -> None:
    assert event_name(event) == name
