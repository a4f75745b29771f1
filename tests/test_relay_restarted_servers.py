"""Unframed answers of servers that may have ended, or started again under their names, before."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from relay_harness import RelayFleet, ask, relay_fleet, route
from scripted_server import (
    SEAL,
    Exchange,
    Script,
    ScriptedServer,
    answers,
    event,
    is_killed_behind_a_proxy,
    keeps_connection_silent,
    resets_connection,
    starts_again_after,
    streams,
    writes_unframed,
)

from pomelobarrow.decision.published.routing import Route, RouteKind

BORN_UNIX_MS = 1_700_000_000_000
ONCE = route(RouteKind.NON_IDEMPOTENT)
REPEATABLE = route(RouteKind.IDEMPOTENT, max_attempts=2)
STREAM = route(RouteKind.STREAM)
RESUMABLE = route(RouteKind.STREAM, is_resumable=True, max_attempts=2)
ROUTES = (ONCE, REPEATABLE)
HALF = b"half"


@asynccontextmanager
async def fleet_of(*runs: Script, asked: tuple[Route, ...] = ROUTES) -> AsyncIterator[RelayFleet]:
    """Run a VM whose servers may start again under their names, and answer by these scripts."""
    scripts = iter(runs)

    async def run_next(exchange: Exchange) -> None:
        await next(scripts)(exchange)

    servers = {"a": {f"s{number}": run_next for number in range(len(runs))}}
    async with relay_fleet(asked, servers, born_unix_ms=BORN_UNIX_MS) as fleet:
        yield fleet


NO_CERTAIN_END = {
    "next start answers the probe": starts_again_after(HALF),
    "probe is reset": is_killed_behind_a_proxy(HALF, resets_connection),
    "probe is not answered": is_killed_behind_a_proxy(HALF, keeps_connection_silent),
}
each_end = pytest.mark.parametrize("ends", NO_CERTAIN_END.values(), ids=NO_CERTAIN_END)


@each_end
async def test_half_of_an_unframed_answer_is_not_passed_on(ends: Script) -> None:
    """It passed for whole if its server had started again, or if no probe was answered."""
    async with fleet_of(ends) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
        runs = sum(len(server.received) for server in fleet.servers.values())
    assert (answer.status, runs) == (502, 1)
    assert SEAL not in str(answer.headers)


@each_end
async def test_request_whose_unframed_answer_may_be_cut_is_tried_on_another_server(
    ends: Script,
) -> None:
    """A request that may be repeated was answered with half of the first server's answer."""
    async with fleet_of(ends, answers()) as fleet:
        answer = await ask(fleet.vms["a"], "/idempotent/")
    assert (answer.status, answer.body) == (200, b"whole")


@each_end
async def test_half_of_an_unframed_answer_of_a_peers_server_is_not_passed_on(ends: Script) -> None:
    """The peer gave a length to the half, so that it looked whole on the hop, too."""
    bound = route(RouteKind.NON_IDEMPOTENT, home_regions=("b",))
    servers: dict[str, dict[str, Script]] = {"a": {}, "b": {"s1": ends}}
    async with relay_fleet((bound,), servers, born_unix_ms=BORN_UNIX_MS) as fleet:
        answer = await ask(fleet.vms["a"], "/non_idempotent/")
    assert answer.status == 502


def starts_again_within(events: int) -> Script:
    return starts_again_after(b"".join(map(event, range(1, events + 1))))


async def test_unframed_stream_of_a_server_that_started_again_is_not_complete() -> None:
    """The next start of the server answered the probe for the one that had sent the events."""
    async with fleet_of(starts_again_within(2), asked=(STREAM,)) as fleet:
        with pytest.raises(aiohttp.ClientPayloadError):
            await ask(fleet.vms["a"], "/stream/")
    async with fleet_of(starts_again_within(2), streams(4), asked=(RESUMABLE,)) as fleet:
        answer = await ask(fleet.vms["a"], "/stream/")
    assert answer.body == b"".join(map(event, range(1, 5)))


@pytest.mark.parametrize("path", ["/non_idempotent/", "/idempotent/"])
async def test_unframed_answer_of_a_server_that_still_runs_is_whole(path: str) -> None:
    async with fleet_of(writes_unframed(b"whole")) as fleet:
        answer = await ask(fleet.vms["a"], path)
    assert (answer.status, answer.body) == (200, b"whole")


async def test_unframed_answer_of_a_server_that_does_not_state_its_start_is_not_whole() -> None:
    """Guards against taking the next start of a server for the listed one."""
    async with fleet_of(writes_unframed(b"whole")) as fleet:
        fleet.servers["s0"].states_born = False
        assert (await ask(fleet.vms["a"], "/non_idempotent/")).status == 502


async def test_unframed_answer_on_the_hop_is_not_whole() -> None:
    """Peers mark the end of each answer, so that one without a mark was cut on its way."""
    bound = route(RouteKind.NON_IDEMPOTENT, home_regions=("b",))
    servers: dict[str, dict[str, Script]] = {"a": {}, "b": {"s1": answers()}}
    async with relay_fleet((bound,), servers) as fleet:
        entry, peer = fleet.vms["a"], fleet.vms["b"]
        async with ScriptedServer(name="", host=peer.host, script=writes_unframed(HALF)) as hop:
            entry.dial[f"{peer.host}:{entry.relay.hop_port}"] = hop.address
            answer = await ask(entry, "/non_idempotent/")
            assert len(hop.received) == 1
    assert answer.status == 502
