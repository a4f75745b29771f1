"""What a caller's connection shows of an answer."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from aiohttp import web

from pomelobarrow.callers.sinks import HttpSink
from pomelobarrow.decision.common.errors import ErrorKind, RunStatus
from pomelobarrow.dispatch.answers import AnswerHead
from pomelobarrow.dispatch.refusals import refuse

Answer = Callable[[HttpSink], Awaitable[None]]
LOST = refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, "the connection was lost")


async def _body(answer: Answer, version: str = "1.1") -> bytes:
    """Request an answer and return its body as it is framed."""

    async def handle(request: web.Request) -> web.StreamResponse:
        sink = HttpSink(request, "r1")
        await answer(sink)
        assert sink.response is not None
        return sink.response

    app = web.Application()
    app.router.add_get("/", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    reader, writer = await asyncio.open_connection(*runner.addresses[0][:2])
    try:
        writer.write(f"GET / HTTP/{version}\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        await reader.readuntil(b"\r\n\r\n")
        return await reader.read()
    finally:
        writer.close()
        await runner.cleanup()


async def test_aborted_answer_without_chunks_is_reset() -> None:
    """A caller of HTTP/1.0 took the regular end of the connection for the end of its answer."""

    async def answer(sink: HttpSink) -> None:
        await sink.head(AnswerHead(200))
        await sink.chunk(b"half")
        await sink.abort(LOST)

    with pytest.raises(ConnectionResetError):
        await _body(answer, "1.0")


async def test_bytes_like_the_end_event_keep_their_place() -> None:
    """An answer's part that ended like the end event was sent last, or never if there were two."""
    parts = (b"data: 1\n\n", b"data: x\ndata: [DONE]\n\n", b"data: 2\n\n", b"data: [DONE]\n\n")

    async def answer(sink: HttpSink) -> None:
        await sink.head(AnswerHead(200, (("Content-Length", str(len(b"".join(parts)))),)))
        for part in parts:
            await sink.chunk(part)
        await sink.end()

    assert await _body(answer) == b"".join(parts)
