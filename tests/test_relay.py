"""What a client gets of a relayed request, and what the servers see of it."""

import asyncio

import aiohttp
import pytest
from relay_harness import HOST, ask, relay_fleet, route
from scripted_server import (
    SEAL,
    Exchange,
    Script,
    answers,
    event,
    holds,
    refuses,
    resets,
    streams,
)

from pomelobarrow.decision.retry_share import SAFETY_SHARE, RetryBound
from pomelobarrow.decision.routing import RouteKind
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.events import RelayEnded
from pomelobarrow.relay.health_monitor import PATIENCE_FLOOR_S

IDEMPOTENT = route(RouteKind.IDEMPOTENT, max_attempts=2)
ONCE = route(RouteKind.NON_IDEMPOTENT)
RESUMABLE = route(RouteKind.STREAM, max_attempts=2, is_resumable=True)
UNRESUMABLE = route(RouteKind.STREAM, max_attempts=2)


async def test_request_reaches_the_server_as_it_came() -> None:
    async with relay_fleet((ONCE,), {"a": {"s1": answers()}}) as fleet:
        target = "/non_idempotent/x%2Fy/../z?q=%7e&&"
        headers = {"X-Own": "kept", "Pomelobarrow-Hold": "mine", "Kv-From": "10.0.0.1:1/x"}
        vm = fleet.vms["a"]
        reader, writer = await asyncio.open_connection(vm.host, vm.front_port)
        fields = {"Host": HOST, "Pomelobarrow-Request-Id": "r1", **headers, "Content-Length": "3"}
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"POST {target} HTTP/1.1\r\n{head}\r\nabc".encode())
        status_line = await reader.readline()
        writer.close()
        received = fleet.servers["s1"].received[0]
    assert status_line.startswith(b"HTTP/1.1 200")
    assert (received.line, received.body) == (f"POST {target} HTTP/1.1", b"abc")
    assert received.headers["x-own"] == "kept"
    assert received.headers["pomelobarrow-target-instance"] == "s1"
    assert not {"pomelobarrow-hold", "kv-from"} & received.headers.keys()


async def test_answer_comes_back_with_its_seal() -> None:
    async with relay_fleet((ONCE,), {"a": {"s1": answers(body=b"done")}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert (answer.status, answer.body) == (200, b"done")
    assert answer.headers["Pomelobarrow-Response-Seal"] == SEAL


async def test_half_an_event_is_not_passed_on() -> None:
    """The client reads a stream; its server stops in the middle of the third event.

    The half was joined with the first event of the server that took over, and the client read one
    event made of two.
    """
    script = _breaks_off_once(streams(4, breaks_after=2, half=b"id: 3\ndata: pie"), streams(4))
    async with relay_fleet((RESUMABLE,), {"a": {"s1": script, "s2": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/stream/")
    assert answer.body == b"".join(event(number) for number in (1, 2, 3, 4))


def _breaks_off_once(first: Script, later: Script) -> Script:
    calls = []

    async def script(exchange: Exchange) -> None:
        calls.append(exchange)
        await (first if len(calls) == 1 else later)(exchange)

    return script


async def test_stream_that_may_not_be_resumed_breaks_off_visibly() -> None:
    """The client reads a stream whose server breaks off; nobody may go on with it.

    Ended like a whole one, it would look complete. The connection closes without the end mark.
    """
    async with relay_fleet((UNRESUMABLE,), {"a": {"s1": streams(4, breaks_after=2)}}) as fleet:
        with pytest.raises(aiohttp.ClientPayloadError):
            await ask(fleet.vms["a"], "/stream/")
        assert len(fleet.servers["s1"].received) == 1


@pytest.mark.parametrize("script", [resets(), answers(500)])
async def test_idempotent_request_is_tried_on_a_second_server(script: Script) -> None:
    once = _breaks_off_once(script, answers(body=b"second"))
    async with relay_fleet((IDEMPOTENT,), {"a": {"s1": once, "s2": once}}) as fleet:
        answer = await ask(fleet.vms["a"], "/idempotent/")
    assert (answer.status, answer.body) == (200, b"second")


async def test_request_that_may_have_run_is_not_sent_again() -> None:
    """The client asks for what may run once; the server drops the connection without a word.

    It may have run. Sent again it could run twice, and called "not run" the client would send it
    again itself. The answer promises nothing.
    """
    async with relay_fleet((ONCE,), {"a": {"s1": resets(), "s2": resets()}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        arrivals = sum(len(server.received) for server in fleet.servers.values())
    assert (answer.status, arrivals) == (502, 1)
    assert "Retry-After" not in answer.headers


async def test_servers_own_failure_goes_to_the_client() -> None:
    async with relay_fleet((ONCE,), {"a": {"s1": answers(500, b"why")}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert (answer.status, answer.body) == (500, b"why")
    assert answer.headers["Pomelobarrow-Response-Seal"] == SEAL


async def test_refused_request_is_refused_with_a_time_to_come_back() -> None:
    async with relay_fleet((ONCE,), {"a": {"s1": refuses()}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert answer.status == 503
    assert 0.0 < float(answer.headers["Retry-After"]) < 1.0
    assert "Pomelobarrow-Response-Seal" not in answer.headers


async def test_failure_after_a_refusal_is_not_called_unrun() -> None:
    """One server loses the request after it may have run, the next one refuses it unrun.

    Answered with 503, the client would take the last word for all attempts and send again what has
    run.
    """
    script = _breaks_off_once(resets(), refuses())
    async with relay_fleet((IDEMPOTENT,), {"a": {"s1": script, "s2": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/idempotent/")
    assert answer.status == 502


async def test_body_without_length_that_was_reset_is_not_whole() -> None:
    """The server sends a body without a length and resets the connection halfway.

    Such a body ends with its connection, so the half would pass for the whole.
    """

    async def script(exchange: Exchange) -> None:
        exchange.write_head(200)
        exchange.writer.write(b"half")
        await exchange.writer.drain()
        await asyncio.sleep(0.05)
        exchange.reset()

    async with relay_fleet((ONCE,), {"a": {"s1": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert answer.status == 502


async def test_body_without_length_is_whole_at_its_connections_end() -> None:
    async def script(exchange: Exchange) -> None:
        exchange.write_head(200)
        exchange.writer.write(b"all of it")

    async with relay_fleet((ONCE,), {"a": {"s1": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert (answer.status, answer.body) == (200, b"all of it")


async def test_answer_to_another_request_is_not_used() -> None:
    """A faulty server sends the answer to some other request first."""

    async def script(exchange: Exchange) -> None:
        exchange.received.headers["pomelobarrow-request-id"] = "another"
        await answers(body=b"not yours")(exchange)

    async with relay_fleet((ONCE,), {"a": {"s1": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert (answer.status, b"not yours" in answer.body) == (502, False)


async def test_client_that_leaves_ends_the_servers_work() -> None:
    """The client closes its connection while a server works for it.

    The server would go on for nobody. Its connection closes at once.
    """
    async with relay_fleet((ONCE,), {"a": {"s1": holds()}}) as fleet:
        asking = asyncio.create_task(ask(fleet.vms["a"], "/non_idempotent/"))
        server = fleet.servers["s1"]
        while not server.received:
            await asyncio.sleep(0.01)
        asking.cancel()
        async with asyncio.timeout(5):
            await server.lost.wait()
        outcomes = [e.outcome for e in fleet.vms["a"].events if isinstance(e, RelayEnded)]
    assert outcomes == ["client gone"]


async def test_time_that_is_up_ends_with_an_answer_that_promises_nothing() -> None:
    quick = route(RouteKind.NON_IDEMPOTENT, timeout_s=0.2)
    async with relay_fleet((quick,), {"a": {"s1": holds()}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert answer.status == 504


async def test_second_attempts_stay_within_the_bound() -> None:
    """All of a pool's answers are failures; the bound on repeats allows none."""
    nothing = RetryBound(ratio=0.0, slack=0.0, window_s=10.0)
    failing = {"s1": answers(500), "s2": answers(500)}
    async with relay_fleet((IDEMPOTENT,), {"a": failing}, nothing) as fleet:
        answer = await ask(fleet.vms["a"], "/idempotent/")
        arrivals = sum(len(server.received) for server in fleet.servers.values())
    assert (answer.status, arrivals) == (500, 1)


async def test_silent_server_is_waited_for_where_no_repeat_is_left() -> None:
    """Several clients wait for one server that is silent for a while; one repeat is allowed.

    Each is sent while the repeat is still free. When their patience ends one takes it; the others,
    given up as well, failed with nobody left to try, though the server answers them all.
    """
    slow = _answers_when_asked_again()
    one = RetryBound(ratio=0.0, slack=1.5 / SAFETY_SHARE, window_s=60.0)
    servers = {"a": {"s1": slow, "s2": slow}}
    async with relay_fleet((IDEMPOTENT,), servers, one) as fleet:
        asked = [ask(fleet.vms["a"], "/idempotent/") for _ in range(4)]
        got = await asyncio.gather(*asked)
        arrivals = sum(len(server.received) for server in fleet.servers.values())
    assert [answer.status for answer in got] == [200] * 4
    assert arrivals == 5


def _answers_when_asked_again() -> Script:
    """Hold every answer back until a fifth request has come, and some more."""
    arrivals, fifth = 0, asyncio.Event()

    async def script(exchange: Exchange) -> None:
        nonlocal arrivals
        arrivals += 1
        if arrivals == 5:
            await asyncio.sleep(PATIENCE_FLOOR_S)
            fifth.set()
        await fifth.wait()
        await answers()(exchange)

    return script


async def test_unknown_route_is_not_found() -> None:
    async with relay_fleet((ONCE,), {"a": {"s1": answers()}}) as fleet:
        answer = await ask(fleet.vms["a"], "/elsewhere/")
    assert answer.status == 404


async def test_failure_after_a_stream_began_is_not_written_into_it() -> None:
    """The client has two events of a stream; its server breaks off, the next one answers 500.

    Passed on as an answer of its own, the 500 would stand in the middle of the stream's body. The
    stream is broken off instead.
    """
    script = _breaks_off_once(streams(4, breaks_after=2), answers(500, b"why"))
    async with relay_fleet((RESUMABLE,), {"a": {"s1": script, "s2": script}}) as fleet:
        with pytest.raises(aiohttp.ClientPayloadError):
            await ask(fleet.vms["a"], "/stream/")


async def test_client_that_waits_no_longer_gets_no_server_to_work() -> None:
    """The client says that it has no time left; the route allows seconds."""
    async with relay_fleet((ONCE,), {"a": {"s1": answers()}}) as fleet:
        headers = {"Pomelobarrow-Request-Deadline": "0"}
        answer = await ask(fleet.vms["a"], "/non_idempotent/", headers=headers)
        arrivals = len(fleet.servers["s1"].received)
    assert (answer.status, arrivals) == (503, 0)


async def test_stopping_vm_takes_late_only_what_it_can_finish() -> None:
    """An entry VM stops; clients that learned of it before still come, some of them late.

    A long prompt taken late was queued at its server and still ran when the process was ended: its
    answer was cut off in the middle. It is refused unrun, so that another VM gives it whole; short
    work, and whatever comes early, is served.
    """
    brief = route(RouteKind.IDEMPOTENT, timeout_s=0.5)
    async with relay_fleet((ONCE, brief), {"a": {"s1": answers()}}) as fleet:
        vm, now = fleet.vms["a"], now_unix_s()
        vm.planned_stop.begin(now + 60.0, now + 61.0)
        early = await ask(vm, "/non_idempotent/")
        vm.planned_stop.begin(now, now_unix_s() + 2.0)
        late = await ask(vm, "/non_idempotent/")
        short = await ask(vm, "/idempotent/")
        arrivals = len(fleet.servers["s1"].received)
    assert (early.status, late.status, short.status, arrivals) == (200, 503, 200, 2)
    assert "draining" in late.body.decode()
    assert 0.0 < float(late.headers["Retry-After"]) < 1.0


async def test_request_that_comes_while_the_lists_are_read_is_answered() -> None:
    """All VMs start again after a loss of power, and clients come at once.

    A VM listens before it has read the configuration and the list of servers. Refused, its clients
    would come back late; the lists are there a few milliseconds on.
    """
    async with relay_fleet((IDEMPOTENT,), {"a": {"s1": answers()}}) as fleet:
        front, reads = fleet.vms["a"].front, iter([False, False, False])
        routing = front.routing()
        front.routing = lambda: routing if next(reads, True) else None
        assert (await ask(fleet.vms["a"], "/idempotent/x")).status == 200


async def test_vm_whose_lists_do_not_come_refuses() -> None:
    async with relay_fleet((IDEMPOTENT,), {"a": {"s1": answers()}}) as fleet:
        fleet.vms["a"].front.routing = lambda: None
        refused = await ask(fleet.vms["a"], "/idempotent/x")
    assert (refused.status, float(refused.headers["Retry-After"]) > 0.0) == (503, True)
