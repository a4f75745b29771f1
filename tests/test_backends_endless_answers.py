"""Answers without end of servers behind the own interface: errors, statements and whole answers."""

import pytest
from attrs import evolve
from endless_answer import SOCKET_BYTES, EndlessAnswer, Start, raw
from gateway_requests import request_of
from scripted_server import Exchange, Script, ScriptedServer
from test_backends_attempts import Sink

from pomelobarrow.backends.answer_limits import (
    MAX_CACHE_EVENTS_BYTES,
    MAX_STATEMENT_BYTES,
    MAX_WHOLE_ANSWER_BYTES,
)
from pomelobarrow.backends.engine import EngineAttempt
from pomelobarrow.backends.orders import OrderSender
from pomelobarrow.backends.reports import LoadPoller
from pomelobarrow.backends.service import ServiceAttempt
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.requests.attempt import Attempt, AttemptState
from pomelobarrow.decision.requests.orders import FencedOrders, Order, OrderBook, OrderKind
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.dispatch.answers import AttemptResult
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.kernel.clock import now_unix_s

EVENT = b'data: {"choices":[{"index":0,"delta":{"content":"text"}}]}\n\n'


def begins(status: int) -> Start:
    """Begin an answer that ends with its connection."""
    return raw(b"HTTP/1.1 %d X\r\n\r\n" % status)


def endless(
    status: int, repeated: bytes = b" ", stop_bytes: int = 6 * SOCKET_BYTES
) -> EndlessAnswer:
    return EndlessAnswer(start=begins(status), repeated=repeated, stop_bytes=stop_bytes)


def server_at(address: str) -> BackendServer:
    return BackendServer(
        name="s",
        region="r",
        failure_domain="d",
        address=address,
        pool="p",
        slots=1,
        kv_capacity_tokens=0,
    )


async def run_attempt(
    attempt_class: type[EngineAttempt] | type[ServiceAttempt], script: Script, is_streamed: bool
) -> tuple[AttemptResult, Sink]:
    """Run an attempt on a scripted server."""
    sessions, sink = BackendSessions({}), Sink()
    request: GatewayRequest = request_of(False)
    async with ScriptedServer(name="s", host="127.0.0.1", script=script) as server:
        result = await attempt_class(
            sessions=sessions,
            request=evolve(request, is_streamed=is_streamed, body=b"{}"),
            server=server_at(server.address),
            attempt=Attempt(),
            number=1,
            sink=sink,
            on_first_byte=lambda: None,
        ).run()
    assert sessions.buffers.reserved_bytes == 0
    await sessions.close()
    return result, sink


def for_method(method: str, script: Script, otherwise: Script) -> Script:
    async def choose(exchange: Exchange) -> None:
        is_other = not exchange.received.line.startswith(method)
        await (otherwise if is_other else script)(exchange)

    return choose


async def resets_without_answer(exchange: Exchange) -> None:
    exchange.reset()


@pytest.mark.parametrize(
    ("attempt_class", "status", "max_bytes"),
    [
        (ServiceAttempt, 503, MAX_STATEMENT_BYTES),
        (EngineAttempt, 503, MAX_WHOLE_ANSWER_BYTES),
        (EngineAttempt, 400, MAX_WHOLE_ANSWER_BYTES),
    ],
)
async def test_error_without_end_leaves_the_outcome_unknown(
    attempt_class: type[EngineAttempt] | type[ServiceAttempt], status: int, max_bytes: int
) -> None:
    """Guards against memory that the body of an error fills until the deadline."""
    answer = endless(status)
    script = for_method("POST", answer, resets_without_answer)
    result, sink = await run_attempt(attempt_class, script, is_streamed=True)
    assert await answer.is_closed_within(max_bytes)
    assert (result.state, sink.status) == (AttemptState.UNKNOWN, 0)


async def test_whole_answer_without_end_is_cancelled() -> None:
    answer = endless(200, EVENT)
    result, sink = await run_attempt(
        EngineAttempt, for_method("POST", answer, resets_without_answer), is_streamed=False
    )
    assert await answer.is_closed_within(MAX_WHOLE_ANSWER_BYTES)
    assert (result.state, sink.status) == (AttemptState.UNKNOWN, 0)
    assert len(answer.written_bytes) == 1


async def test_answer_to_a_cancellation_without_end_leaves_the_outcome_unknown() -> None:
    answer = endless(200)
    result, _ = await run_attempt(
        EngineAttempt, for_method("DELETE", answer, resets_without_answer), is_streamed=True
    )
    assert await answer.is_closed_within(MAX_STATEMENT_BYTES)
    assert result.state is AttemptState.UNKNOWN


@pytest.mark.parametrize(
    ("path", "max_bytes"),
    [("/v1/load", MAX_STATEMENT_BYTES), ("/v1/cache/events", MAX_CACHE_EVENTS_BYTES)],
)
async def test_report_without_end_is_not_read_on(path: str, max_bytes: int) -> None:
    """Guards against memory that the reports of several servers fill at each poll."""

    async def states_a_load(exchange: Exchange) -> None:
        exchange.writer.write(b"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n{}")

    answer, sessions, table = endless(200), BackendSessions({}), LoadTable("r")
    script = for_method(f"GET {path}", answer, states_a_load)
    async with ScriptedServer(name="s", host="127.0.0.1", script=script) as listening:
        server = server_at(listening.address)
        table.set_servers([server])
        poller = LoadPoller(
            own_vm="vm",
            sessions=sessions,
            table=table,
            servers=lambda: [server],
            live_vms=lambda: ["vm"],
            is_engine=lambda server: True,
            on_report=lambda pool: None,
        )
        await poller._poll(server)
        assert await answer.is_closed_within(max_bytes)
    await sessions.close()


async def test_answer_to_an_order_without_end_is_a_refusal() -> None:
    answer, sessions = endless(200), BackendSessions({})
    async with ScriptedServer(name="s", host="127.0.0.1", script=answer) as listening:
        sender = OrderSender(
            sessions=sessions, book=OrderBook(), owned=list, configuration=lambda: None
        )
        order = Order(kind=OrderKind.SERVE_VERSION)
        due = FencedOrders(
            server=server_at(listening.address),
            revision=1,
            fencing=1,
            orders=(order,),
            expires_unix_s=now_unix_s() + 60.0,
        )
        assert not await sender._send(due, order)
        assert await answer.is_closed_within(MAX_STATEMENT_BYTES)
    await sessions.close()
