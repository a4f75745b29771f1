"""Whether a server that closed a connection is still running."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from pomelobarrow.backends import end_check
from pomelobarrow.backends.end_check import Probe, ServerState, check_server, is_misdirected
from pomelobarrow.backends.reports import load_probe
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.requests.work import BackendServer


def server_at(port: int) -> BackendServer:
    return BackendServer(
        name="s",
        region="r",
        failure_domain="d",
        address=f"127.0.0.1:{port}",
        pool="p",
        slots=1,
        kv_capacity_tokens=0,
    )


async def _is_never_other(answer: aiohttp.ClientResponse) -> bool:
    return False


async def has_ended(sessions: BackendSessions, server: BackendServer, probe: Probe) -> bool:
    """Return whether a server is known to have ended."""
    return await check_server(sessions, server, probe) is ServerState.ENDED


ANY_ANSWER = Probe(path="/", is_of_other=_is_never_other)


async def _check(port: int, probe: Probe = ANY_ANSWER) -> ServerState:
    sessions = BackendSessions({})
    try:
        return await check_server(sessions, server_at(port), probe)
    finally:
        await sessions.close()


@asynccontextmanager
async def answering(status: int, text: str = "") -> AsyncIterator[int]:
    """Run a server that gives each request the same answer; yield its port."""

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(status=status, text=text)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    yield runner.addresses[0][1]
    await runner.cleanup()


async def test_server_that_refuses_connections_has_ended(unused_tcp_port: int) -> None:
    assert await _check(unused_tcp_port) is ServerState.ENDED


@pytest.mark.parametrize("status", [200, 421, 503])
async def test_server_that_answers_is_running(status: int) -> None:
    async with answering(status) as port:
        assert await _check(port) is ServerState.RUNNING


@pytest.mark.parametrize(
    ("status", "state"),
    [(200, ServerState.RUNNING), (400, ServerState.RUNNING), (421, ServerState.ENDED)],
)
async def test_server_whose_address_another_one_has_taken_has_ended(
    status: int, state: ServerState
) -> None:
    """A stream looked complete since the probe was answered by the next process at the address."""
    probe = Probe(path="/", headers={"Server": "s"}, is_of_other=is_misdirected)
    async with answering(status) as port:
        assert await _check(port, probe) is state


@pytest.mark.parametrize(
    ("text", "state"),
    [
        ('{"server": "s"}', ServerState.RUNNING),
        ('{"server": "t"}', ServerState.ENDED),
        ('{"running": 1}', ServerState.RUNNING),
        ('["t"]', ServerState.RUNNING),
        ("not JSON", ServerState.RUNNING),
        (" " * (1 << 20), ServerState.RUNNING),
    ],
    ids=["own name", "other name", "no name", "no object", "no JSON", "too long"],
)
async def test_engine_whose_load_names_another_one_has_ended(text: str, state: ServerState) -> None:
    """A refusal looked complete since the next engine at the address had answered the probe."""
    async with answering(200, text) as port:
        assert await _check(port, load_probe(server_at(port))) is state


@pytest.mark.parametrize("stops", [True, False])
async def test_server_that_resets_a_connection_has_ended_if_it_refuses_the_next(
    stops: bool,
) -> None:
    """A process that ends may accept a connection.

    One that has too many resets them all, and so does a proxy whose server has ended.
    """

    async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if stops:
            listening.close()
        writer.transport.abort()

    async with await asyncio.start_server(reset, "127.0.0.1", 0) as listening:
        port = listening.sockets[0].getsockname()[1]
        expected = ServerState.ENDED if stops else ServerState.UNKNOWN
        assert await _check(port) is expected


async def test_server_that_does_not_answer_may_have_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """A proxy accepts the connections of a server that has vanished."""
    monkeypatch.setattr(end_check, "CHECK_TIMEOUT", aiohttp.ClientTimeout(total=0.02))
    accepted = []

    async def keep(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.append(writer)

    async with await asyncio.start_server(keep, "127.0.0.1", 0) as listening:
        port = listening.sockets[0].getsockname()[1]
        assert await _check(port) is ServerState.UNKNOWN
        for writer in accepted:
            writer.close()
