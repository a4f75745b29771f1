"""What the product's own interface makes of answers whose server stops or ends within them."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial
from socket import SO_LINGER, SOL_SOCKET
from typing import Any

import pytest
from attrs import define, field
from test_backends_attempts import Sink, request_for
from test_end_check import is_running

from pomelobarrow.backends.engine import EngineAttempt
from pomelobarrow.backends.reports import load_probe
from pomelobarrow.backends.service import ServiceAttempt
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.callers.sinks import RESET_ON_CLOSE
from pomelobarrow.decision.requests.attempt import Attempt
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.dispatch.answers import AttemptResult

# No other test listens here. An attempt asks a killed engine for the rest of its answer, which
# would reach the next server on its port.
HOST = "127.0.0.99"
REFUSAL = b'{"error": "no such model"}'
NO_FRAMING = b"HTTP/1.1 404 Not Found\r\n\r\n" + REFUSAL
OTHER_CODING = b"HTTP/1.1 404 Not Found\r\nTransfer-Encoding: identity\r\n\r\n" + REFUSAL
LENGTH = b"HTTP/1.1 404 Not Found\r\nContent-Length: %d\r\n\r\n%b" % (len(REFUSAL), REFUSAL)
CHUNKS = b"HTTP/1.1 404 Not Found\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
    len(REFUSAL),
    REFUSAL,
)


def _load_of(name: str) -> bytes:
    body = b'{"server": "%b", "running": 0}' % name.encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@define(kw_only=True)
class RawServer:
    """Answer a POST with these bytes, and end the connection and maybe the process.

    Other requests are those of an engine for the rest of a stream, which it refuses.
    """

    answer: bytes
    is_killed: bool
    # The server that listens at the address from then on.
    name: str = "s"
    successor: str = ""
    is_reset: bool = False
    _listening: asyncio.Server | None = field(default=None, init=False)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[BackendServer]:
        """Run the server and yield its entry."""
        self._listening = await asyncio.start_server(self._serve, HOST, 0)
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
        head = await reader.readuntil(b"\r\n\r\n")
        assert self._listening is not None
        is_load = head.startswith(b"GET /v1/load ")
        refusal = _load_of(self.name) if is_load else LENGTH
        writer.write(self.answer if head.startswith(b"POST") else refusal)
        await writer.drain()
        if self.successor:
            self.name = self.successor
        elif self.is_killed:
            self._listening.close()
        if self.is_reset:
            writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        writer.close()


async def _is_running(sessions: BackendSessions, server: BackendServer) -> bool:
    return await is_running(sessions, server, load_probe(server))


async def attempt_at(
    server: RawServer, attempt_class: Callable[..., Any], repeatable: bool = False
) -> tuple[AttemptResult, Sink]:
    """Run one attempt and return its result with what the caller got."""
    sessions, sink = BackendSessions({}), Sink()
    is_chat = attempt_class is EngineAttempt
    async with server.running() as entry:
        result = await attempt_class(
            sessions=sessions,
            request=request_for("POST", is_chat=is_chat, repeatable=repeatable, deadline_s=20.0),
            server=entry,
            attempt=Attempt(),
            number=1,
            sink=sink,
            on_first_byte=lambda: None,
            is_running=partial(_is_running, sessions),
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


@pytest.mark.parametrize(("successor", "is_whole"), [("s", True), ("t", False)])
async def test_next_engine_at_an_address_does_not_complete_a_refusal(
    successor: str, is_whole: bool
) -> None:
    """An engine's cut 4xx answer was passed on as whole since the next one answered the probe."""
    server = RawServer(answer=NO_FRAMING, is_killed=True, successor=successor)
    result, sink = await attempt_at(server, EngineAttempt)
    assert (sink.is_whole, result.is_finished) == (is_whole, is_whole)


OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
EVENTS = b'data: {"choices": []}\n\ndata: [DONE]\n\n'
# Answers up to the last byte of their content.
CONTENT = {
    "length": OK + b"Content-Length: %d\r\n\r\n%b" % (len(EVENTS), EVENTS),
    "chunks": OK + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b" % (len(EVENTS), EVENTS),
    "no framing": OK + b"Connection: close\r\n\r\n" + EVENTS,
    "interim answer": b"HTTP/1.1 103 Early Hints\r\n\r\n"
    + OK
    + b"Content-Length: %d\r\n\r\n%b" % (len(EVENTS), EVENTS),
}


@pytest.mark.parametrize(("is_reset", "is_killed"), [*itertools.product((False, True), repeat=2)])
@pytest.mark.parametrize("name", CONTENT)
@pytest.mark.parametrize("attempt_class", [EngineAttempt, ServiceAttempt])
async def test_answer_cut_at_any_byte_is_incomplete(
    attempt_class: Callable[..., Any], name: str, is_reset: bool, is_killed: bool
) -> None:
    """Guards against an empty or short answer that looks whole to the caller."""
    answer = CONTENT[name]
    # What a running service sends without framing is whole at the end of its connection.
    is_whole_once_begun = (name, is_reset, is_killed) == ("no framing", False, False)
    is_service = attempt_class is ServiceAttempt
    end = answer.rindex(b"\r\n\r\n") + 4 if is_service and is_whole_once_begun else len(answer)

    async def attempt_cut_at(size: int) -> None:
        server = RawServer(answer=answer[:size], is_killed=is_killed, is_reset=is_reset)
        result, sink = await attempt_at(server, attempt_class, repeatable=size % 2 == 0)
        assert not sink.is_whole
        assert not result.is_finished

    await asyncio.gather(*(attempt_cut_at(size) for size in range(end)))


@pytest.mark.parametrize("status", [0, 99, 600, 999])
@pytest.mark.parametrize("attempt_class", [EngineAttempt, ServiceAttempt])
async def test_answer_with_an_impossible_status_does_not_reach_the_caller(
    attempt_class: Callable[..., Any], status: int
) -> None:
    """A service in trouble answered with such a status, and its caller got it."""
    answer = b"HTTP/1.1 %03d X\r\nContent-Length: 4\r\n\r\nbody" % status
    result, sink = await attempt_at(RawServer(answer=answer, is_killed=False), attempt_class)
    assert (sink.is_whole, sink.body, result.is_finished) == (False, b"", False)
