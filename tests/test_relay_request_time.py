"""A request whose time ends after a server may have run it, and before its attempt is judged."""

import asyncio

import pytest
from attrs import define
from relay_harness import HOST, RelayFleet, RelayVm, ask, relay_fleet, route
from scripted_server import Exchange

from pomelobarrow.backends.server_watch import ServerWatch
from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.crash_suspects import RunningRequest
from pomelobarrow.relay.events import RelayAttemptEnded
from pomelobarrow.relay.hop import FROM_HEADER, RUN_HEADER

QUICK = route(RouteKind.NON_IDEMPOTENT, timeout_s=0.3)
SLOW = route(RouteKind.NON_IDEMPOTENT, timeout_s=5.0)
DEADLINE_HEADER = "Pomelobarrow-Request-Deadline"
# Only a connection that is held for good takes this long.
GIVE_UP_S = 20.0


@define
class EndlessWatch(ServerWatch):
    """Check servers without a result until the request's time ends."""

    async def note_closed(self, server: BackendServer, request: RunningRequest) -> None:
        await asyncio.Event().wait()


async def runs_and_loses_the_answer(exchange: Exchange) -> None:
    exchange.reset()


def check_servers_endlessly(fleet: RelayFleet) -> None:
    for vm in fleet.vms.values():
        vm.relay.guard.watch = EndlessWatch()


@pytest.mark.parametrize(
    ("limit", "deadline_ms"), [(QUICK, "3000"), (SLOW, "300")], ids=["route", "client"]
)
async def test_request_whose_time_ends_during_the_crash_check_is_not_called_unrun(
    limit, deadline_ms
) -> None:
    """Guards against 503 for a request that ran: its client sends it again, and it runs twice."""
    async with relay_fleet((limit,), {"a": {"s1": runs_and_loses_the_answer}}) as fleet:
        check_servers_endlessly(fleet)
        headers = {DEADLINE_HEADER: deadline_ms}
        answer = await ask(fleet.vms["a"], "/non_idempotent/", headers=headers)
        runs = len(fleet.servers["s1"].received)
    assert (answer.status, runs) == (504, 1)


async def test_peer_does_not_call_a_request_unrun_whose_time_ends_during_the_crash_check() -> None:
    """Guards against a second run through another region, which "unsent" allows."""
    async with relay_fleet((QUICK,), {"a": {"s1": runs_and_loses_the_answer}}) as fleet:
        check_servers_endlessly(fleet)
        vm = fleet.vms["a"]
        vm.front_port = vm.relay.hop_port
        answer = await ask(vm, "/non_idempotent/", headers={FROM_HEADER: "vm-b"})
    assert (answer.status, answer.headers[RUN_HEADER]) == (504, "unknown")


async def test_forwarded_request_whose_time_ends_during_the_crash_check_runs_once() -> None:
    """Guards against 503 from the VM that forwarded a request which a peer's server has run."""
    servers = {
        "a": {},
        "b": {"s1": runs_and_loses_the_answer},
        "c": {"s2": runs_and_loses_the_answer},
    }
    async with relay_fleet((QUICK,), servers) as fleet:
        check_servers_endlessly(fleet)
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        runs = sum(len(server.received) for server in fleet.servers.values())
    assert (answer.status, runs) == (504, 1)


async def test_log_line_of_an_attempt_cut_off_says_whether_it_was_sent() -> None:
    """Guards against a line that reads like a lost connection where the request's time ended."""

    async def runs_on(exchange: Exchange) -> None:
        await exchange.reader.read()

    async with relay_fleet((QUICK,), {"a": {"s1": runs_on}}) as fleet:
        # On a busy machine the time may end before the request is sent.
        while not fleet.servers["s1"].received:
            await ask(fleet.vms["a"], "/non_idempotent/")
        ends = [e.end for e in fleet.vms["a"].events if isinstance(e, RelayAttemptEnded)]
    assert ends[-1] == "cancelled"
    assert set(ends) <= {"cancelled", "cancelled unsent"}


async def send_half_a_body(vm: RelayVm, deadline_ms: str) -> bytes:
    """Return the head of the answer to a request whose body never ends."""
    reader, writer = await asyncio.open_connection(vm.host, vm.front_port)
    headers = {"Host": HOST, "Pomelobarrow-Request-Id": "1", DEADLINE_HEADER: deadline_ms}
    lines = [f"{name}: {value}" for name, value in (headers | {"Content-Length": "10"}).items()]
    head = "\r\n".join(["POST /non_idempotent/ HTTP/1.1", *lines, "", ""])
    writer.write(f"{head}half".encode())
    answer = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("limit", "deadline_ms"), [(QUICK, "3000"), (SLOW, "300")], ids=["route", "client"]
)
async def test_request_whose_body_never_ends_is_refused_when_its_time_ends(
    limit, deadline_ms
) -> None:
    """Guards against connections and parts of bodies that clients hold for good."""
    async with relay_fleet((limit,), {"a": {"s1": runs_and_loses_the_answer}}) as fleet:
        async with asyncio.timeout(GIVE_UP_S):
            head = await send_half_a_body(fleet.vms["a"], deadline_ms)
        runs = len(fleet.servers["s1"].received)
    assert head.startswith(b"HTTP/1.1 408")
    assert runs == 0
