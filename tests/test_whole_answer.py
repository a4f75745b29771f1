"""Combining a stream into one answer."""

import tracemalloc

import orjson
import pytest

from pomelobarrow.backends.whole_answer import WholeAnswer

FIRST = b'{"id": "r1", "choices": [{"index": 0, "delta": {"content": "one "}}]}'
SECOND = b'{"choices": [{"index": 0, "delta": {"content": "two"}, "finish_reason": "stop"}]}'


def _body(*events: bytes) -> dict[str, object]:
    answer = WholeAnswer()
    for event in events:
        answer.feed([event])
    body: dict[str, object] = orjson.loads(answer.body())
    return body


PLAIN = (b"data: " + FIRST + b"\n\n", b"data: " + SECOND + b"\n\n", b"data: [DONE]\n\n")


def test_contents_are_joined() -> None:
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": "one two"},
        "finish_reason": "stop",
    }
    assert _body(*PLAIN) == {"id": "r1", "object": "chat.completion", "choices": [choice]}


@pytest.mark.parametrize(
    "events",
    [
        pytest.param((PLAIN[0], b": keep-alive\n\n", *PLAIN[1:]), id="comment"),
        pytest.param((b"id: 1\nevent: x\n" + PLAIN[0], *PLAIN[1:]), id="other fields"),
        pytest.param(tuple(each.replace(b": ", b":", 1) for each in PLAIN), id="no space"),
        pytest.param(
            (b'data: {"id": "r1",\ndata: ' + FIRST[13:] + b"\n\n", *PLAIN[1:]), id="lines"
        ),
    ],
)
def test_each_form_of_the_events_gives_the_same_answer(events: tuple[bytes, ...]) -> None:
    """A comment, another field or a second data line had the whole answer fail after its run."""
    assert _body(*events) == _body(*PLAIN)


def test_choices_are_joined_by_index_and_end_with_their_last_reason() -> None:
    choices = (
        (1, {"content": "b"}, None),
        (0, {"content": "a"}, None),
        (1, {}, "length"),
        (0, {"content": None}, None),
    )
    events = [
        b"data: %s\n\n"
        % orjson.dumps({"choices": [{"index": index, "delta": delta, "finish_reason": reason}]})
        for index, delta, reason in choices
    ]
    merged = _body(*events, b'data: {"choices": [], "usage": {"total_tokens": 3}}\n\n')
    assert merged["usage"] == {"total_tokens": 3}
    assert merged["choices"] == [
        {
            "index": index,
            "message": {"role": "assistant", "content": content},
            "finish_reason": reason,
        }
        for index, content, reason in ((0, "a", "stop"), (1, "b", "length"))
    ]


def test_whole_answer_takes_at_most_twice_the_memory_of_its_events() -> None:
    """Guards against an answer within its limit that fills the memory with parsed events."""
    size_bytes = 4 << 20
    for event in (PLAIN[0], b"data: {}\n\n"):
        whole, events = WholeAnswer(), 1_000 * [event]
        tracemalloc.start()
        while whole.size_bytes < size_bytes:
            whole.feed(events)
        whole.body()
        peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert peak_bytes <= 2 * size_bytes
