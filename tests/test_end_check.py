"""Whether a server that closed a connection is still running."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from pomelobarrow.backends import end_check
from pomelobarrow.backends.end_check import Probe, answer_by_name, check_server
from pomelobarrow.backends.reports import load_probe
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.process_state import ProbeAnswer, ProcessState


def server_at(port: int, born_unix_ms: int = 0) -> BackendServer:
    return BackendServer(
        name="s",
        region="r",
        failure_domain="d",
        address=f"127.0.0.1:{port}",
        pool="p",
        slots=1,
        kv_capacity_tokens=0,
        born_unix_ms=born_unix_ms,
    )


async def _states_nothing(answer: aiohttp.ClientResponse) -> ProbeAnswer:
    return ProbeAnswer()


async def is_running(sessions: BackendSessions, server: BackendServer, probe: Probe) -> bool:
    """Return whether a server is known to run."""
    return await check_server(sessions, server, probe) is ProcessState.RUNNING


ANY_ANSWER = Probe(path="/", read_answer=_states_nothing)


async def _check(port: int, probe: Probe = ANY_ANSWER, born_unix_ms: int = 0) -> ProcessState:
    sessions = BackendSessions({})
    try:
        return await check_server(sessions, server_at(port, born_unix_ms), probe)
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
    assert await _check(unused_tcp_port) is ProcessState.ENDED


@pytest.mark.parametrize("status", [200, 421, 503])
async def test_server_that_answers_is_running(status: int) -> None:
    async with answering(status) as port:
        assert await _check(port) is ProcessState.RUNNING


@pytest.mark.parametrize(
    ("status", "state"),
    [(200, ProcessState.RUNNING), (400, ProcessState.RUNNING), (421, ProcessState.ENDED)],
)
async def test_server_whose_address_another_one_has_taken_has_ended(
    status: int, state: ProcessState
) -> None:
    """A stream looked complete since the probe was answered by the next process at the address."""
    read_answer = answer_by_name(lambda statement: None)
    probe = Probe(path="/", headers={"Server": "s"}, read_answer=read_answer)
    async with answering(status) as port:
        assert await _check(port, probe) is state


@pytest.mark.parametrize(
    ("text", "state"),
    [
        ('{"server": "s"}', ProcessState.RUNNING),
        ('{"server": "t"}', ProcessState.ENDED),
        ('{"running": 1}', ProcessState.RUNNING),
        ('["t"]', ProcessState.RUNNING),
        ("not JSON", ProcessState.RUNNING),
        (" " * (1 << 20), ProcessState.RUNNING),
    ],
    ids=["own name", "other name", "no name", "no object", "no JSON", "too long"],
)
async def test_engine_whose_load_names_another_one_has_ended(
    text: str, state: ProcessState
) -> None:
    """A refusal looked complete since the next engine at the address had answered the probe."""
    async with answering(200, text) as port:
        assert await _check(port, load_probe(server_at(port))) is state


@pytest.mark.parametrize(
    ("text", "state"),
    [
        ('{"server": "s", "born_unix_ms": 1000}', ProcessState.RUNNING),
        ('{"server": "s", "born_unix_ms": 2000}', ProcessState.ENDED),
        ('{"server": "t", "born_unix_ms": 1000}', ProcessState.ENDED),
        ('{"server": "s"}', ProcessState.UNKNOWN),
        ('{"server": "s", "born_unix_ms": "1000"}', ProcessState.UNKNOWN),
        ("not JSON", ProcessState.UNKNOWN),
    ],
    ids=["same start", "next start", "other name", "no start", "no number", "no JSON"],
)
async def test_engine_that_is_listed_with_its_start_runs_only_if_it_states_the_same(
    text: str, state: ProcessState
) -> None:
    """Guards against the next start of an engine under its name that answers for the one before."""
    async with answering(200, text) as port:
        assert await _check(port, load_probe(server_at(port)), born_unix_ms=1_000) is state


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
        expected = ProcessState.ENDED if stops else ProcessState.UNKNOWN
        assert await _check(port) is expected


async def test_server_that_does_not_answer_may_have_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """A proxy accepts the connections of a server that has vanished."""
    monkeypatch.setattr(end_check, "CHECK_TIMEOUT_S", 0.02)
    accepted = []

    async def keep(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        accepted.append(writer)

    async with await asyncio.start_server(keep, "127.0.0.1", 0) as listening:
        port = listening.sockets[0].getsockname()[1]
        assert await _check(port) is ProcessState.UNKNOWN
        for writer in accepted:
            writer.close()
