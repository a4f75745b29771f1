"""Whether a server that closed a connection is still running."""

import asyncio

import aiohttp
import pytest
from aiohttp import web

from pomelobarrow.backends import end_check
from pomelobarrow.backends.end_check import ServerState, check_server, has_ended
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.requests.work import BackendServer


def _server(port: int) -> BackendServer:
    return BackendServer(
        name="s",
        region="r",
        failure_domain="d",
        address=f"127.0.0.1:{port}",
        pool="p",
        slots=1,
        kv_capacity_tokens=0,
    )


async def _check(port: int) -> ServerState:
    sessions = BackendSessions({})
    try:
        state = await check_server(sessions, _server(port), "/", {})
        is_ended = await has_ended(sessions, _server(port), "/", {})
        assert is_ended is (state is ServerState.ENDED)
        return state
    finally:
        await sessions.close()


async def test_server_that_refuses_connections_has_ended(unused_tcp_port: int) -> None:
    assert await _check(unused_tcp_port) is ServerState.ENDED


@pytest.mark.parametrize("status", [200, 421, 503])
async def test_server_that_answers_is_running(status: int) -> None:
    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(status=status)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    assert await _check(runner.addresses[0][1]) is ServerState.RUNNING
    await runner.cleanup()


@pytest.mark.parametrize(
    ("status", "state"),
    [(200, ServerState.RUNNING), (400, ServerState.RUNNING), (421, ServerState.ENDED)],
)
async def test_server_whose_address_another_one_has_taken_has_ended(
    status: int, state: ServerState
) -> None:
    """A stream looked complete since the probe was answered by the next process at the address."""

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(status=status)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    sessions = BackendSessions({})
    server = _server(runner.addresses[0][1])
    assert await check_server(sessions, server, "/", {"Server": "s"}, is_named=True) is state
    await sessions.close()
    await runner.cleanup()


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
