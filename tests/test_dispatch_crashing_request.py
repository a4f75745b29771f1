"""Requests of the gateway interface that crash the servers that run them."""

import asyncio
import time
from typing import Any

import pytest
from attrs import define, evolve, field
from gateway_requests import request_of
from test_dispatch_verdicts import Sink
from work_builders import SERVER

from pomelobarrow.decision.common.errors import ErrorKind, RunStatus
from pomelobarrow.decision.placement.region_choice import ShareOutsideHome
from pomelobarrow.decision.requests.attempt import Attempt, AttemptState
from pomelobarrow.decision.requests.short_key import server_key
from pomelobarrow.decision.requests.work import BackendServer, Placement
from pomelobarrow.decision.servers.crash_suspects import CRASHES_TO_BLOCK, RunningRequest
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.dispatch import crash_guard
from pomelobarrow.dispatch import dispatcher as module
from pomelobarrow.dispatch import local as local_module
from pomelobarrow.dispatch.answers import AttemptResult
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.dispatch.dispatcher import Dispatcher
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.dispatch.refusals import RefusedError, refuse
from pomelobarrow.dispatch.request import GatewayRequest


def running(request: GatewayRequest) -> RunningRequest:
    return RunningRequest(fingerprint=request.fingerprint)


@define
class CrashingServers:
    """Lose each attempt because its server ends, and count these servers."""

    guard: CrashGuard
    table: LoadTable = field(factory=lambda: LoadTable("r"))
    ended: int = 0

    def expected_wait_s(self, work: Any) -> float:
        return 0.0

    def region_loads(self, work: Any) -> dict[str, Any]:
        return {}

    async def run(self, request: GatewayRequest, attempt: Attempt, *rest: Any) -> AttemptResult:
        self.ended += 1
        self.guard.note_crash(self.ended, request.work.pool, [running(request)])
        return AttemptResult(state=AttemptState.UNKNOWN, server=f"s{self.ended}")


@pytest.fixture(autouse=True)
def without_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("UNRUN_PAUSE_S", "BACKOFF_FLOOR_S", "BACKOFF_CEILING_S"):
        monkeypatch.setattr(module, name, 0.0)


def dispatcher_of(servers: Any, guard: CrashGuard) -> Dispatcher:
    return Dispatcher(
        own_region="r",
        local=servers,
        forwarder=servers,
        share=ShareOutsideHome(),
        observe=lambda event: None,
        guard=guard,
    )


@pytest.mark.parametrize("repeatable", [True, False])
async def test_repeated_crashing_request_ends_at_most_three_servers(repeatable: bool) -> None:
    guard = CrashGuard()
    servers = CrashingServers(guard)
    dispatcher = dispatcher_of(servers, guard)
    refusals = [await dispatcher.dispatch(request_of(repeatable), Sink()) for _ in range(6)]
    assert servers.ended == 3
    last = refusals[-1]
    assert last is not None
    assert (last.kind, last.run) == (ErrorKind.CRASHES_SERVERS, RunStatus.NO)
    assert last.retry_at_unix_s is None


async def test_request_is_not_repeated_once_two_servers_ended_under_it() -> None:
    """Automatic retries of one request must not crash a third server."""
    guard = CrashGuard()
    servers = CrashingServers(guard)
    refusal = await dispatcher_of(servers, guard).dispatch(request_of(True), Sink())
    assert servers.ended == 2
    assert refusal is not None
    assert (refusal.kind, refusal.run) == (ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN)


async def test_peers_refusal_of_a_crashing_request_is_final() -> None:
    """Such a refusal must not be treated like overload and retried in another region."""

    class Peers(CrashingServers):
        async def run(self, request: Any, attempt: Attempt, *rest: Any) -> AttemptResult:
            self.ended += 1
            return AttemptResult(
                state=AttemptState.REFUSED_UNRUN,
                peer="vm-1",
                refusal=refuse(ErrorKind.CRASHES_SERVERS, RunStatus.NO, "known there"),
            )

    guard = CrashGuard()
    peers = Peers(guard)
    refusal = await dispatcher_of(peers, guard).dispatch(request_of(True), Sink())
    assert (peers.ended, refusal and refusal.kind) == (1, ErrorKind.CRASHES_SERVERS)


async def test_waiting_copy_of_a_crashing_request_is_refused_unrun() -> None:
    """Copies that wait in a queue must not be sent once they get a slot."""
    guard, ran = CrashGuard(), []

    async def run_attempt(request: GatewayRequest, placement: Placement, *rest: Any) -> Any:
        ran.append(placement)
        return AttemptResult(state=AttemptState.FINISHED, server=placement.server.name)

    table = LoadTable("r")
    local = LocalDispatch(
        table=table, run_attempt=run_attempt, observe=lambda event: None, guard=guard
    )
    request = request_of(True)
    waiting = asyncio.create_task(local.run(request, Attempt(), 1, frozenset(), Sink()))
    await asyncio.sleep(0)
    for key in range(3):
        guard.note_crash(key, request.work.pool, [running(request)])
    table.set_servers([evolve(SERVER, region="r", pool="p")])
    local.place_waiting("p")
    with pytest.raises(RefusedError, match="servers ended while they ran this request"):
        await waiting
    assert (ran, dict(table.in_flight())) == ([], {})


@pytest.mark.parametrize(("left_s", "checked_servers"), [(60.0, ["s1"]), (-1.0, [])])
async def test_no_crash_check_delays_an_answer_after_the_deadline(
    left_s: float, checked_servers: list[str]
) -> None:
    """Checking a silent server must not delay the answer a tenth of a second past the deadline."""
    seen: list[str] = []

    class Guard(CrashGuard):
        async def note_closed(self, server: BackendServer, request: RunningRequest) -> None:
            seen.append(server.name)

    async def lose(request: GatewayRequest, placement: Placement, *rest: Any) -> AttemptResult:
        return AttemptResult(state=AttemptState.UNKNOWN, server=placement.server.name)

    table = LoadTable("r")
    table.set_servers([evolve(SERVER, region="r", pool="p")])
    guard = Guard()
    local = LocalDispatch(table=table, run_attempt=lose, observe=lambda event: None, guard=guard)
    request = request_of(True)
    placement = Placement(server=table.pool_servers("p")[0], expected_wait_s=0.0)
    late = evolve(request, work=evolve(request.work, deadline_unix_s=time.time() + left_s))
    await local._record_server_end(late, placement, await lose(late, placement), time.time())
    assert seen == checked_servers


async def test_engine_that_restarts_at_once_crashes_three_times_at_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request crashed four engines, since two crashes of one that had restarted were one."""
    now = [1_000.0]
    for each in (crash_guard, local_module):
        monkeypatch.setattr(each, "now_unix_s", lambda: now[-1])

    class Guard(CrashGuard):
        async def note_closed(self, server: BackendServer, request: RunningRequest) -> None:
            self.note_crash(server_key(server), server.pool, [request])

    guard, table = Guard(), LoadTable("r")
    table.set_servers([evolve(SERVER, region="r", pool="p")])

    async def lose(request: GatewayRequest, placement: Placement, *rest: Any) -> AttemptResult:
        now.append(now[-1] + 0.1)
        return AttemptResult(state=AttemptState.UNKNOWN, server=placement.server.name)

    local = LocalDispatch(table=table, run_attempt=lose, observe=lambda event: None, guard=guard)
    request = request_of(True)
    due = evolve(request, work=evolve(request.work, deadline_unix_s=now[-1] + 60.0))
    for _ in range(CRASHES_TO_BLOCK):
        await local.run(due, Attempt(), 1, frozenset(), Sink())
        # The engine restarts.
        now.append(now[-1] + 0.5)
    assert guard.refuses(due.fingerprint)
