"""What a client receives of a request that is forwarded to a peer."""

import asyncio
from typing import Any

import pytest
from attrs import evolve
from relay_harness import RelayFleet, ask, relay_fleet, route
from scripted_server import Exchange, Script, answers, event, hangs, refuses, resets, streams

from pomelobarrow.decision.admission.retry_share import RetryBound
from pomelobarrow.decision.published.routing import PoolShare, RouteKind, Routing
from pomelobarrow.kernel.clock import now_unix_s


async def test_peer_adds_no_attempts_of_its_own() -> None:
    """The route allows two attempts and is bound to two other regions, where all servers fail.

    If the peer that gets the request retried by itself, the entry VM would count one attempt and
    retry as well, so that three or four servers would get the request.
    """
    bound = route(RouteKind.IDEMPOTENT, max_attempts=2, home_regions=("b", "c"))
    failing = {region: {f"{region}{n}": answers(500) for n in (1, 2)} for region in ("b", "c")}
    async with relay_fleet((bound,), {"a": {}, **failing}) as fleet:
        answer = await ask(fleet.vms["a"], "/idempotent/")
        arrivals = sum(len(server.received) for server in fleet.servers.values())
    assert (answer.status, arrivals) == (500, 2)


async def test_peer_without_a_server_uses_up_no_attempt() -> None:
    """The route allows one attempt and is bound to two regions; the client connects to a third.

    One of the two regions has lost its servers, and the entry VM has not received that update. The
    peer there refuses at once. If this counted as the only attempt, the client would be refused
    although the server of the other region is free.
    """
    bound = route(RouteKind.NON_IDEMPOTENT, home_regions=("b", "c"))
    servers = {"a": {}, "b": {}, "c": {"s1": answers()}}
    nothing = RetryBound(ratio=0.0, slack=0.0, window_s=10.0)
    async with relay_fleet((bound,), servers, nothing) as fleet:
        answers_got = [await ask(fleet.vms["a"], "/non_idempotent/") for _ in range(8)]
    assert [answer.status for answer in answers_got] == [200] * 8


async def test_prompt_refused_by_a_coordinator_runs_on_the_groups_second_server() -> None:
    """Each VM coordinates the one server of its region; a long prompt's group may use either.

    One server has more queued than it can prefill in time. Its coordinator refuses the prompt
    unsent, and the other server of the group runs it once.
    """
    once = route(RouteKind.STREAM, first_answer_target_s=0.5, timeout_s=3.0)
    scripts = {"a": {"s1": streams(1)}, "b": {"s2": streams(1)}}
    headers = {
        "Pomelobarrow-Model": "m",
        "Pomelobarrow-Token-Count": "16000,80",
        "Pomelobarrow-Prompt-Prefix": "5c1e07a2:13000,e4402b7d:3000",
    }
    async with relay_fleet((once,), scripts) as fleet:
        for region, busy, free in (("a", "s1", "s2"), ("b", "s2", "s1")):
            table = fleet.vms[region].relay.placer.table
            table.charge("earlier", busy, 400_000, now_unix_s())
            answer = await ask(fleet.vms["a"], "/stream/", headers=headers)
            table.release("earlier", now_unix_s())
            assert (answer.status, len(fleet.servers[free].received)) == (200, 1)


async def test_stream_resumed_over_a_peer_repeats_no_event() -> None:
    """A stream that runs in another region breaks off after its second event.

    The entry VM sends the request to a peer again. Without the id of the last event, the second
    server starts at the first event, and the client receives events twice.
    """
    bound = route(RouteKind.STREAM, max_attempts=2, is_resumable=True, home_regions=("b", "c"))
    broken = {
        "b": {"b1": streams(4, breaks_after=2)},
        "c": {"c1": streams(4, breaks_after=2)},
    }
    async with relay_fleet((bound,), {"a": {}, **broken}) as fleet:
        for server in fleet.servers.values():
            server.script = _first_breaks_off(fleet.servers.values())
        answer = await ask(fleet.vms["a"], "/stream/")
    assert answer.body == b"".join(event(number) for number in (1, 2, 3, 4))


@pytest.mark.parametrize(
    ("script", "status"),
    [(refuses(), 503), (answers(503), 502), (answers(500), 500), (resets(), 502)],
)
async def test_entry_vm_promises_no_more_than_its_peer_knows(script: Script, status: int) -> None:
    """Guards against a 503 to the client for a request that ran at a server behind a peer."""
    bound = route(RouteKind.NON_IDEMPOTENT, home_regions=("b",))
    async with relay_fleet((bound,), {"a": {}, "b": {"s1": script}}) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert answer.status == status


async def test_hop_that_is_cut_midway_promises_nothing() -> None:
    """Guards against a 503 while the peer whose hop was cut may still send the request."""
    bound = route(RouteKind.NON_IDEMPOTENT, home_regions=("b",))
    async with relay_fleet((bound,), {"a": {}, "b": {"s1": hangs()}}) as fleet:
        asking = asyncio.create_task(ask(fleet.vms["a"], "/non_idempotent/"))
        server = fleet.servers["s1"]
        while not server.received:
            await asyncio.sleep(0.01)
        await fleet.vms["b"].listeners.stop()
        answer = await asking
    assert answer.status in (502, 504)


def _first_breaks_off(servers: Any) -> Script:
    """Break off the first stream over all servers and complete the later ones."""

    async def script(exchange: Exchange) -> None:
        is_first = sum(len(server.received) for server in servers) == 1
        await streams(4, breaks_after=2 if is_first else None)(exchange)

    return script


BOUND = route(RouteKind.NON_IDEMPOTENT, home_regions=("b",))
MOVED = Routing(version=2, routes=(evolve(BOUND, pools=(PoolShare(pool="others"),)),))
OLD_AND_NEW = {"a": {}, "b": {"old": answers(), "new": answers()}}


def runs(fleet: RelayFleet) -> dict[str, int]:
    return {name: len(server.received) for name, server in fleet.servers.items()}


async def test_forwarded_request_is_not_run_by_the_routes_of_before() -> None:
    """A VM that was behind ran it at the old service, after the new one had run others."""
    async with relay_fleet((BOUND,), OLD_AND_NEW, pool_by_server={"new": "others"}) as fleet:
        fleet.vms["a"].front.routing = lambda: MOVED
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        assert runs(fleet) == {"old": 0, "new": 0}
    assert answer.status == 503


async def test_peer_that_is_behind_reads_the_routes_of_a_forwarded_request() -> None:
    async with relay_fleet((BOUND,), OLD_AND_NEW, pool_by_server={"new": "others"}) as fleet:
        fleet.vms["a"].front.routing = lambda: MOVED
        behind = fleet.vms["b"].front

        async def read() -> None:
            behind.routing = lambda: MOVED

        behind.read_lists = read
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        assert runs(fleet) == {"old": 0, "new": 1}
    assert answer.status == 200


async def test_peer_that_is_ahead_runs_a_forwarded_request_by_its_own_routes() -> None:
    async with relay_fleet((BOUND,), OLD_AND_NEW, pool_by_server={"new": "others"}) as fleet:
        fleet.vms["b"].front.routing = lambda: MOVED
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        assert runs(fleet) == {"old": 0, "new": 1}
    assert answer.status == 200
