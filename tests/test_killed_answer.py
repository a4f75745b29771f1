"""What clients of HTTP/1.0, which get streams without framing, see of their ends."""

import asyncio
import sys
from pathlib import Path

import killed_answer
import pytest
from aiohttp import web
from killed_answer import EVENT, answer_by_name

from harness.processes import free_ports
from pomelobarrow.callers.sinks import HttpSink
from pomelobarrow.dispatch.answers import AnswerHead
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.listeners import Listener, RelayListeners

REQUEST = b"GET / HTTP/1.0\r\n\r\n"
LARGE = 8 << 20


@pytest.mark.parametrize("name", answer_by_name)
async def test_stream_without_framing_is_reset_if_its_daemon_is_killed(name: str) -> None:
    """The connections of a killed process closed like that of a complete answer."""
    [port] = free_ports(1)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(killed_answer.__file__)),
        str(port),
        name,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    while b"listening" not in (line := await process.stdout.readline()) or b"info" in line:
        assert line
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(REQUEST)
    assert (await reader.readuntil(EVENT)).endswith(EVENT)
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()
    await process.wait()


async def end_relayed(request: web.BaseRequest) -> web.StreamResponse:
    sink = ClientAnswer(request, closes=lambda: False)
    await sink.open(200, ())
    await sink.send(EVENT)
    await sink.finish(LARGE * b"a")
    assert sink.response is not None
    return sink.response


async def end_own(request: web.BaseRequest) -> web.StreamResponse:
    sink = HttpSink(request, "r1")  # type: ignore[arg-type]
    await sink.head(AnswerHead(200, (), "s1"))
    await sink.chunk(EVENT)
    await sink.end(LARGE * b"a")
    assert sink.response is not None
    return sink.response


@pytest.mark.parametrize("handler", [end_relayed, end_own])
async def test_complete_stream_without_framing_ends_regularly(handler) -> None:  # type: ignore[no-untyped-def]
    """Guards against a reset that drops what the client has not read yet."""
    [port] = free_ports(1)
    listener = Listener(name="clients", address=f"127.0.0.1:{port}", handler=handler)
    listeners = RelayListeners((listener,))
    await listeners.start()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(REQUEST)
    assert (await reader.read()).endswith(EVENT + LARGE * b"a")
    writer.close()
    await listeners.stop()
