"""What clients and servers receive of relayed requests and answers."""

import asyncio

import aiohttp
import pytest
from attrs import evolve
from relay_harness import HOST, ask, relay_fleet, route
from scripted_server import (
    SEAL,
    Exchange,
    Script,
    answers,
    event,
    hangs,
    is_killed_after,
    refuses,
    resets,
    streams,
)

from pomelobarrow.decision.admission.retry_share import SAFETY_SHARE, RetryBound
from pomelobarrow.decision.members.member import Phase
from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.events import RelayEnded
from pomelobarrow.relay.health_monitor import MIN_TIME_LIMIT_S

IDEMPOTENT = route(RouteKind.IDEMPOTENT, max_attempts=2)
ONCE = route(RouteKind.NON_IDEMPOTENT)
RESUMABLE = route(RouteKind.STREAM, max_attempts=2, is_resumable=True)
UNRESUMABLE = route(RouteKind.STREAM, max_attempts=2)


async def test_request_reaches_the_server_unchanged() -> None:
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


async def test_incomplete_event_is_not_forwarded() -> None:
    """The server of a stream stops in the middle of the third event.

    If the incomplete event is forwarded, the client reads it and the first event of the next server
    as one event.
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


async def test_unframed_answer_of_a_killed_server_is_not_passed_on() -> None:
    """The part that had arrived when the process was killed was passed on as the whole answer."""
    script = _breaks_off_once(is_killed_after(b"who"), answers(body=b"whole"))
    async with relay_fleet((IDEMPOTENT,), {"a": {"s1": script, "s2": script}}) as fleet:
        assert (await ask(fleet.vms["a"], "/idempotent/")).body == b"whole"
    async with relay_fleet((ONCE,), {"a": {"s1": is_killed_after(b"who")}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert (answer.status, SEAL in str(answer.headers)) == (502, False)


async def test_unresumable_stream_breaks_off_visibly() -> None:
    """The server of a stream that may not be resumed breaks off.

    If the stream were ended regularly, it would look complete. The connection is closed without the
    last chunk instead.
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
    """The server drops the connection of a request that may run only once, without an answer.

    The request may have run. A retry could run it twice, and after an answer "not run" the client
    would send it again. The answer leaves the outcome open.
    """
    async with relay_fleet((ONCE,), {"a": {"s1": resets(), "s2": resets()}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        arrivals = sum(len(server.received) for server in fleet.servers.values())
    assert (answer.status, arrivals) == (502, 1)
    assert "Retry-After" not in answer.headers


async def test_failed_answer_of_the_server_goes_to_the_client() -> None:
    async with relay_fleet((ONCE,), {"a": {"s1": answers(500, b"why")}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert (answer.status, answer.body) == (500, b"why")
    assert answer.headers["Pomelobarrow-Response-Seal"] == SEAL


@pytest.mark.parametrize("status", [408, 429, 503])
async def test_servers_failure_that_may_have_run_is_not_passed_on_as_unrun(status: int) -> None:
    """Guards against a server's 503 for a request that it ran, which clients take for "not run"."""
    async with relay_fleet((ONCE,), {"a": {"s1": answers(status)}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert answer.status == 502


@pytest.mark.parametrize("status", [200, 503])
async def test_load_of_an_answer_to_another_request_is_not_recorded(status: int) -> None:
    """Guards against placement by numbers that a spoiled answer states."""

    async def script(exchange: Exchange) -> None:
        exchange.received.headers["pomelobarrow-request-id"] = "another"
        exchange.write_head(status, Pomelobarrow_Server_Load="900,900,8", Content_Length="0")

    async with relay_fleet((ONCE,), {"a": {"s1": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        report = fleet.vms["a"].relay.placer.table.report("s1")
    assert (answer.status, report) == (502, None)


async def test_rejection_of_another_request_is_no_statement_about_this_one() -> None:
    """Guards against a faulty server that answers with the rejection of another request."""

    async def script(exchange: Exchange) -> None:
        exchange.received.headers["pomelobarrow-request-id"] = "another"
        await refuses()(exchange)

    async with relay_fleet((ONCE,), {"a": {"s1": script, "s2": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        arrivals = sum(len(server.received) for server in fleet.servers.values())
    assert (answer.status, arrivals) == (502, 1)


async def test_refusal_states_a_retry_time() -> None:
    async with relay_fleet((ONCE,), {"a": {"s1": refuses()}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert answer.status == 503
    assert 0.0 < float(answer.headers["Retry-After"]) < 1.0
    assert "Pomelobarrow-Response-Seal" not in answer.headers


async def test_caller_of_a_full_pool_returns_later_than_at_once() -> None:
    """Guards against callers who return at once to servers without a free slot."""
    script = _breaks_off_once(hangs(), refuses())
    async with relay_fleet((ONCE,), {"a": {"s1": script}}, slots=1) as fleet:
        other = {"Pomelobarrow-Request-Id": "r0"}
        asking = asyncio.create_task(ask(fleet.vms["a"], "/non_idempotent/", headers=other))
        while not fleet.servers["s1"].received:
            await asyncio.sleep(0.01)
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        asking.cancel()
    assert answer.status == 503
    assert 0.4 < float(answer.headers["Retry-After"]) <= 0.7


async def test_refusal_after_a_lost_attempt_is_not_reported_as_unrun() -> None:
    """One server loses the request after it may have run, and the next one refuses it unrun.

    After a 503, the client would take the last refusal for all attempts and send a request again
    that may have run.
    """
    script = _breaks_off_once(resets(), refuses())
    async with relay_fleet((IDEMPOTENT,), {"a": {"s1": script, "s2": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/idempotent/")
    assert answer.status == 502


async def test_body_without_length_that_was_reset_is_incomplete() -> None:
    """The server sends a body without a length and resets the connection halfway.

    Such a body ends with its connection, so the first half could be taken for the complete body.
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


async def test_body_without_length_is_complete_at_the_end_of_its_connection() -> None:
    async def script(exchange: Exchange) -> None:
        exchange.write_head(200)
        exchange.writer.write(b"all of it")

    async with relay_fleet((ONCE,), {"a": {"s1": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert (answer.status, answer.body) == (200, b"all of it")


async def test_answer_to_another_request_is_not_used() -> None:
    """A faulty server sends the answer to another request first."""

    async def script(exchange: Exchange) -> None:
        exchange.received.headers["pomelobarrow-request-id"] = "another"
        await answers(body=b"not yours")(exchange)

    async with relay_fleet((ONCE,), {"a": {"s1": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert (answer.status, b"not yours" in answer.body) == (502, False)


async def test_disconnect_of_the_client_ends_the_servers_work() -> None:
    """The client closes its connection while a server runs its request.

    The connection to the server is closed at once, so that it does not finish an unwanted answer.
    """
    async with relay_fleet((ONCE,), {"a": {"s1": hangs()}}) as fleet:
        asking = asyncio.create_task(ask(fleet.vms["a"], "/non_idempotent/"))
        server = fleet.servers["s1"]
        while not server.received:
            await asyncio.sleep(0.01)
        asking.cancel()
        async with asyncio.timeout(5):
            await server.lost.wait()
        outcomes = [e.outcome for e in fleet.vms["a"].events if isinstance(e, RelayEnded)]
    assert outcomes == ["client gone"]


async def test_deadline_ends_with_an_unknown_outcome() -> None:
    quick = route(RouteKind.NON_IDEMPOTENT, timeout_s=0.2)
    async with relay_fleet((quick,), {"a": {"s1": hangs()}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert answer.status == 504


async def test_retries_stay_within_the_budget() -> None:
    """All answers of a pool are failures, and the retry budget allows no retry."""
    nothing = RetryBound(ratio=0.0, slack=0.0, window_s=10.0)
    failing = {"s1": answers(500), "s2": answers(500)}
    async with relay_fleet((IDEMPOTENT,), {"a": failing}, nothing) as fleet:
        answer = await ask(fleet.vms["a"], "/idempotent/")
        arrivals = sum(len(server.received) for server in fleet.servers.values())
    assert (answer.status, arrivals) == (500, 1)


async def test_vm_that_has_just_started_uses_no_slack_of_the_retry_bound() -> None:
    """It took the whole slack, as if it were the only VM: each VM did, once all had restarted."""
    slack = RetryBound(ratio=0.0, slack=100.0, window_s=10.0)
    failing = {"s1": answers(500), "s2": answers(500)}
    async with relay_fleet((IDEMPOTENT,), {"a": failing}, slack) as fleet:
        vm, arrivals = fleet.vms["a"], []
        view = vm.relay.placer.members.view
        for phase in (Phase.STARTING, Phase.READY):
            view.observe_own(evolve(view.own, phase=phase.value))
            await ask(vm, "/idempotent/")
            arrivals.append(sum(len(server.received) for server in fleet.servers.values()))
    assert arrivals == [1, 3]


async def test_silent_server_is_awaited_when_no_retry_is_left() -> None:
    """Several clients wait for one server that is silent for a while; one retry is allowed.

    Each request is sent while that retry is still available. When the time limit passes, one of
    them takes it. If the others are given up as well, they fail without another server to try,
    although the silent server answers all of them later.
    """
    slow = _answers_after_fifth_request()
    one = RetryBound(ratio=0.0, slack=1.5 / SAFETY_SHARE, window_s=60.0)
    servers = {"a": {"s1": slow, "s2": slow}}
    async with relay_fleet((IDEMPOTENT,), servers, one) as fleet:
        asked = [ask(fleet.vms["a"], "/idempotent/") for _ in range(4)]
        got = await asyncio.gather(*asked)
        arrivals = sum(len(server.received) for server in fleet.servers.values())
    assert [answer.status for answer in got] == [200] * 4
    assert arrivals == 5


def _answers_after_fifth_request() -> Script:
    """Delay every answer until a fifth request has arrived and the time limit has passed again."""
    arrivals, fifth = 0, asyncio.Event()

    async def script(exchange: Exchange) -> None:
        nonlocal arrivals
        arrivals += 1
        if arrivals == 5:
            await asyncio.sleep(MIN_TIME_LIMIT_S)
            fifth.set()
        await fifth.wait()
        await answers()(exchange)

    return script


async def test_unknown_route_is_not_found() -> None:
    async with relay_fleet((ONCE,), {"a": {"s1": answers()}}) as fleet:
        answer = await ask(fleet.vms["a"], "/elsewhere/")
    assert answer.status == 404


async def test_failure_after_a_stream_began_is_not_written_into_it() -> None:
    """A server breaks off after two events of a stream, and the next one answers 500.

    If the 500 were sent as an answer, it would appear in the middle of the stream's body. The
    stream is broken off instead.
    """
    script = _breaks_off_once(streams(4, breaks_after=2), answers(500, b"why"))
    async with relay_fleet((RESUMABLE,), {"a": {"s1": script, "s2": script}}) as fleet:
        with pytest.raises(aiohttp.ClientPayloadError):
            await ask(fleet.vms["a"], "/stream/")


async def test_request_without_time_left_reaches_no_server() -> None:
    """The client states that it has no time left; the route allows seconds."""
    async with relay_fleet((ONCE,), {"a": {"s1": answers()}}) as fleet:
        headers = {"Pomelobarrow-Request-Deadline": "0"}
        answer = await ask(fleet.vms["a"], "/non_idempotent/", headers=headers)
        arrivals = len(fleet.servers["s1"].received)
    assert (answer.status, arrivals) == (503, 0)


async def test_stopping_vm_accepts_late_only_what_it_can_finish() -> None:
    """An entry VM stops while clients that looked it up before still connect, some of them late.

    A long request accepted late may wait at its server and still run when the process ends, which
    truncates its answer. It is refused unrun, so that another VM can answer it completely. Short
    requests and early ones are served.
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


async def test_request_during_startup_is_answered() -> None:
    """All VMs restart after a power loss, and clients connect immediately.

    A VM listens before it has read the configuration and the list of servers. Refused clients would
    come back late, although both arrive within a few milliseconds.
    """
    async with relay_fleet((IDEMPOTENT,), {"a": {"s1": answers()}}) as fleet:
        front, reads = fleet.vms["a"].front, iter([False, False, False])
        routing = front.routing()
        front.routing = lambda: routing if next(reads, True) else None
        assert (await ask(fleet.vms["a"], "/idempotent/x")).status == 200


async def test_vm_without_routing_refuses() -> None:
    async with relay_fleet((IDEMPOTENT,), {"a": {"s1": answers()}}) as fleet:
        fleet.vms["a"].front.routing = lambda: None
        refused = await ask(fleet.vms["a"], "/idempotent/x")
    assert (refused.status, float(refused.headers["Retry-After"]) > 0.0) == (503, True)


async def test_request_is_served_although_more_servers_than_the_limit_refuse_connections() -> None:
    """Servers that crashed are listed for seconds; a request met three of them and was refused."""
    scripts = {f"s{number}": answers() for number in range(6)}
    async with relay_fleet((ONCE,), {"a": scripts}) as fleet:
        for server in list(fleet.servers.values())[:5]:
            server.end()
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert answer.status == 200
