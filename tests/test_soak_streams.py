"""The soak's clients parse event streams as the HTML standard says, and find faults in answers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from soak.event_client import Event, EventParser
from soak.stream_records import Answer, Stream
from soak.stream_server import FORMS, PIECES, content, first_item, items_per_piece


def parse(parts: list[bytes]) -> list[Event]:
    parser = EventParser()
    return [event for part in parts for event in parser.feed(part)]


def items(events: list[Event]) -> list[int]:
    return [int(event.data.split()[0]) for event in events]


@pytest.mark.parametrize(
    ("stream", "events"),
    [
        (b"id: 1\ndata: a\n\n", [Event("1", "a")]),
        (b"data: a\r\nid:1\r\n\r\n", [Event("1", "a")]),
        (b"data: a\rid: 1\r\r", [Event("1", "a")]),
        (b"\xef\xbb\xbfdata: a\ndata\ndata:b\n\n", [Event("", "a\n\nb")]),
        (b"id: 1\ndata: a\n\n: comment\n\ndata: b\n\n", [Event("1", "a"), Event("1", "b")]),
        (b"id: 1\n\ndata: a\n\nid\ndata: b\n\n", [Event("1", "a"), Event("", "b")]),
        (b"id: 1\0\ndata:  id: 2\n\n", [Event("", " id: 2")]),
        (b"id: 1\ndata: a\n", []),
    ],
)
def test_client_parses_every_form_of_line_and_field(stream: bytes, events: list[Event]) -> None:
    """A client that reads a sound stream wrongly would report faults that aren't there."""
    assert parse([stream]) == events
    assert parse([bytes([byte]) for byte in stream]) == events


@given(form=st.sampled_from(sorted(FORMS)), cuts=st.lists(st.integers(0, 2_000)))
def test_client_parses_the_same_events_whatever_the_reads(form: str, cuts: list[int]) -> None:
    """Reads hold several events or a part of one, and end at any byte."""
    whole = b"".join(content(form, "s", 0, ""))
    places = [0, *sorted(min(cut, len(whole)) for cut in cuts), len(whole)]
    events = parse([whole[a:b] for a, b in zip(places, places[1:], strict=False)])
    assert items(events) == list(range(1, items_per_piece(form) * PIECES + 1))


@pytest.mark.parametrize("form", sorted(set(FORMS) - {"restarts", "repeats", "skips"}))
def test_resumed_stream_begins_at_the_expected_item(form: str) -> None:
    """Check and server must agree on what follows an id, or sound joins would count as faults."""
    first_id = parse(content(form, "s", 0, ""))[0].last_event_id
    events = parse(content(form, "s", 0, first_id))
    assert items(events)[0] == first_item(form, first_id)
    assert items(events)[-1] == items_per_piece(form) * PIECES


@pytest.mark.parametrize(
    ("after", "received", "fault"),
    [
        ("", [1, 2, 3], ""),
        ("3", [4, 5], ""),
        ("", [], ""),
        ("3", [3, 4], "comes twice"),
        ("", [1, 2, 2], "comes twice"),
        ("", [1, 3], "missing"),
        ("3", [5], "missing"),
        ("", [2, 1], "out of order"),
    ],
)
def test_check_finds_each_fault_of_an_answer(after: str, received: list[int], fault: str) -> None:
    """A check that passes a wrong join would hide the failure that the play looks for."""
    stream = Stream(id="s", form="plain", framing="chunked", padding_bytes=0, writes="cut anywhere")
    answer = Answer(request_id="s-0", after=after, items=received)
    assert stream.fault(answer) == fault


@pytest.mark.parametrize(
    ("last_item", "status", "is_whole", "is_cut_short"),
    [(12, 200, True, False), (11, 200, True, True), (11, 200, False, False), (0, 503, True, False)],
)
def test_check_finds_answers_that_look_complete_too_early(
    last_item: int, status: int, is_whole: bool, is_cut_short: bool
) -> None:
    """A client takes an answer that ends as complete before its last event for the whole."""
    stream = Stream(id="s", form="plain", framing="chunked", padding_bytes=0, writes="cut anywhere")
    received = list(range(1, last_item + 1))
    answer = Answer(request_id="s-0", after="", status=status, items=received, is_whole=is_whole)
    assert stream.is_cut_short(answer) == is_cut_short
