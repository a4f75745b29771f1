"""Combining a stream into one answer."""

import orjson
import pytest

from pomelobarrow.backends.whole_answer import WholeAnswer

FIRST = b'{"id": "r1", "choices": [{"index": 0, "delta": {"content": "one "}}]}'
SECOND = b'{"choices": [{"index": 0, "delta": {"content": "two"}, "finish_reason": "stop"}]}'


def _body(*events: bytes) -> dict[str, object]:
    answer = WholeAnswer(max_bytes=10_000)
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
