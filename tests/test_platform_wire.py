"""The load counts in the head of a backend server's answer are parsed."""

from types import SimpleNamespace

import pytest

from pomelobarrow.platform.wire import read_answer
from pomelobarrow.relay.messages import ServerCounts


def counts_in(text: str | None) -> ServerCounts | None:
    headers = {} if text is None else {"Pomelobarrow-Server-Load": text}
    answer = SimpleNamespace(status=200, headers=headers)
    return read_answer(answer).counts  # type: ignore[arg-type]


def test_server_load_is_parsed() -> None:
    assert counts_in("3, 2,8") == ServerCounts(running=3, waiting=2)


@pytest.mark.parametrize("text", [None, "", "3", "a,b,c", "-1,0,8", "1.5,0,8", "²,0,8", "x,1,8"])
def test_malformed_server_load_is_none(text: str | None) -> None:
    assert counts_in(text) is None
