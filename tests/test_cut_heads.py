"""Answers whose connection ends within their head, on both kinds of connections to servers."""

import asyncio
from unittest.mock import Mock

import aiohttp
import pytest
from aiohttp import client_proto
from cut_answer import HEADS, INTERIM, PARSERS

from pomelobarrow.backends.answer_handler import AnswerHandler

RESET = ConnectionResetError(104, "Connection reset by peer")


@pytest.fixture(params=PARSERS)
def parser(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> None:
    """Use one of aiohttp's parsers; the one in Python serves where the other isn't built."""
    monkeypatch.setattr(client_proto, "HttpResponseParser", PARSERS[request.param])


def handler_of(*parts: bytes) -> AnswerHandler:
    """Return the handler of a connection that has received these parts of an answer."""
    handler = AnswerHandler(loop=asyncio.get_running_loop())
    handler.connection_made(Mock(spec=asyncio.Transport, **{"get_extra_info.return_value": None}))
    handler.set_response_params(read_until_eof=True, auto_decompress=False)
    for part in parts:
        handler.data_received(part)
    return handler


async def final_status(handler: AnswerHandler) -> int:
    """Return the status of the final answer."""
    while (message := (await handler.read())[0]).code < 200:
        pass
    return message.code


@pytest.mark.usefixtures("parser")
@pytest.mark.parametrize("name", HEADS)
async def test_truncated_head_is_no_answer(name: str) -> None:
    """At the end of its connection, a parser completes a truncated head, with a shorter length."""
    head = HEADS[name]
    for size in range(len(head)):
        for parts in ([head[:size]], [head[at : at + 1] for at in range(size)]):
            for error in (None, RESET):
                handler = handler_of(*parts)
                interim_answers = len(handler)
                handler.connection_lost(error)
                with pytest.raises(aiohttp.ClientConnectionError) as raised:
                    await final_status(handler)
                assert interim_answers <= INTERIM.count(b"\r\n\r\n")
                assert "RawResponseMessage" not in repr(raised.value)


@pytest.mark.usefixtures("parser")
@pytest.mark.parametrize("name", HEADS)
async def test_head_is_an_answer_with_its_blank_line(name: str) -> None:
    for error in (None, RESET):
        handler = handler_of(HEADS[name])
        handler.connection_lost(error)
        assert await final_status(handler) in (200, 204)
