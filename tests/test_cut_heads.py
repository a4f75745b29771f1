"""Answers whose connection ends within their head, on both kinds of connections to servers."""

import asyncio
import itertools
from unittest.mock import Mock

import aiohttp
import pytest
from aiohttp import client_proto
from aiohttp.http_exceptions import HttpProcessingError
from cut_answer import BODY, HEADS, INTERIM, PARSERS, STATUS_LINE

from pomelobarrow.backends.answer_handler import AnswerHandler
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.backends.single_use import BodyEnd, body_end

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


FRAMING = tuple(
    itertools.chain.from_iterable(
        (f"{name}: {value}\r\n".encode() for value in values)
        for name, values in {
            "Content-Length": ("0", "9", "100", str(2**64 - 1)),
            "Transfer-Encoding": ("chunked", "identity", "gzip, chunked", "chunked, gzip"),
        }.items()
    )
)


@pytest.mark.usefixtures("parser")
@pytest.mark.parametrize("body", [b"", b"4\r\npart\r\n", b"part"])
async def test_answer_without_an_error_has_its_end_or_is_marked_as_without(body: bytes) -> None:
    """With two fields for codings, the last of which names no chunks, a part counted as whole."""
    for count in range(3):
        for fields in itertools.permutations(FRAMING, count):
            handler = handler_of(STATUS_LINE, *fields, b"\r\n", body)
            handler.connection_lost(None)
            try:
                message, content = await handler.read()
                received = await content.read()
            except (aiohttp.ClientError, HttpProcessingError):
                continue
            mark = body_end("GET", message.code, message.headers)
            stated = message.headers.get("Content-Length", "")
            is_whole = mark is BodyEnd.LENGTH and len(received) == int(stated)
            assert is_whole or mark is BodyEnd.CONNECTION, fields


@pytest.mark.usefixtures("parser")
async def test_second_answer_of_a_connection_is_incomplete_if_its_head_is_cut() -> None:
    """Guards against parts of an answer on a connection that brought a whole one before."""
    whole = HEADS["length first"] + BODY
    waiting: list[bytes] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while waiting:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(waiting.pop(0))
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as listening:
        url = f"http://127.0.0.1:{listening.sockets[0].getsockname()[1]}/"
        for size in range(len(whole)):
            waiting += [whole, whole[:size]]
            sessions = BackendSessions({})
            async with sessions.pooled.get(url) as response:
                assert await response.read() == BODY
            with pytest.raises(aiohttp.ClientError):
                async with sessions.pooled.get(url) as response:
                    await response.read()
            await sessions.close()
