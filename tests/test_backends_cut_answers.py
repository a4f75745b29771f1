"""What the product's own interface makes of answers whose server stops or ends within them."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import pytest
from attrs import define, field
from test_backends_attempts import Sink, request_for

from pomelobarrow.backends.end_check import has_ended
from pomelobarrow.backends.engine import EngineAttempt
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.requests.attempt import Attempt
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.dispatch.answers import AttemptResult

REFUSAL = b'{"error": "no such model"}'
NO_FRAMING = b"HTTP/1.1 404 Not Found\r\n\r\n" + REFUSAL
OTHER_CODING = b"HTTP/1.1 404 Not Found\r\nTransfer-Encoding: identity\r\n\r\n" + REFUSAL
LENGTH = b"HTTP/1.1 404 Not Found\r\nContent-Length: %d\r\n\r\n%b" % (len(REFUSAL), REFUSAL)
CHUNKS = b"HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
    len(REFUSAL),
    REFUSAL,
)


@define(kw_only=True)
class RawServer:
    """Answer each request with the same bytes, and close the connection."""

    answer: bytes
    is_killed: bool
    _listening: asyncio.Server | None = field(default=None, init=False)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[BackendServer]:
        """Run the server and yield its entry."""
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listening.sockets[0].getsockname()
        yield BackendServer(
            name="s",
            region="r",
            failure_domain="d",
            address=f"{host}:{port}",
            pool="p",
            slots=1,
            kv_capacity_tokens=0,
        )
        self._listening.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        assert self._listening is not None
        writer.write(self.answer)
        await writer.drain()
        if self.is_killed:
            self._listening.close()
        writer.close()


async def attempt_at(
    server: RawServer, attempt_class: Callable[..., Any]
) -> tuple[AttemptResult, Sink]:
    """Run one attempt and return its result with what the caller got."""
    sessions, sink = BackendSessions({}), Sink()
    is_chat = attempt_class is EngineAttempt
    async with server.running() as entry:
        result = await attempt_class(
            sessions=sessions,
            request=request_for("POST", is_chat=is_chat, repeatable=False, deadline_s=5.0),
            server=entry,
            attempt=Attempt(),
            number=1,
            sink=sink,
            on_first_byte=lambda: None,
            has_ended=partial(has_ended, sessions, path="/", headers={}),
        ).run()
        await sessions.close()
    return result, sink


@pytest.mark.parametrize(
    ("answer", "is_killed", "is_whole"),
    [
        pytest.param(NO_FRAMING, True, False, id="no framing, killed"),
        pytest.param(OTHER_CODING, True, False, id="other coding, killed"),
        pytest.param(NO_FRAMING, False, True, id="no framing"),
        pytest.param(LENGTH, True, True, id="length, killed"),
        pytest.param(CHUNKS, True, True, id="chunks, killed"),
    ],
)
async def test_end_of_a_killed_engine_is_not_the_end_of_its_refusal(
    answer: bytes, is_killed: bool, is_whole: bool
) -> None:
    """The part of an engine's 4xx answer that came before its end was passed on as the whole."""
    result, sink = await attempt_at(RawServer(answer=answer, is_killed=is_killed), EngineAttempt)
    assert (sink.is_whole, result.is_finished) == (is_whole, is_whole)
    assert sink.body == (REFUSAL if is_whole else b"")
