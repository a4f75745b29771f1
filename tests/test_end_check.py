"""Whether a server that closed a connection is still running."""

import asyncio

import pytest
from aiohttp import web

from pomelobarrow.backends.end_check import has_ended
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


async def _check(port: int) -> bool:
    sessions = BackendSessions({})
    try:
        return await has_ended(sessions, _server(port), "/", {})
    finally:
        await sessions.close()


async def test_server_that_refuses_connections_has_ended(unused_tcp_port: int) -> None:
    assert await _check(unused_tcp_port)


@pytest.mark.parametrize("status", [200, 421, 503])
async def test_server_that_answers_is_running(status: int) -> None:
    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(status=status)

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    assert not await _check(runner.addresses[0][1])
    await runner.cleanup()


@pytest.mark.parametrize("stops", [True, False])
async def test_server_that_resets_a_connection_has_ended_if_it_refuses_the_next(
    stops: bool,
) -> None:
    """A process that ends may accept a connection; one that has too many resets them all."""

    async def reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if stops:
            listening.close()
        writer.transport.abort()

    async with await asyncio.start_server(reset, "127.0.0.1", 0) as listening:
        port = listening.sockets[0].getsockname()[1]
        assert await _check(port) is stops
