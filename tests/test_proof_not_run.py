"""Prove that "not run" is true: point 5 of what must always hold."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import pytest
import pytest_asyncio
from attrs import evolve
from callers import Reply, wait_until
from proof_report import Figure
from run_checks import (
    DESK_CALL,
    NON_REPEATABLE_CLASSES,
    QUERY,
    REVIEW,
    WHOLE_QUERY,
    RequestSpec,
    RunLog,
    caller_session,
    contradicted_replies,
    reported_outcome,
    settle,
    wait_until_served,
)

from harness.deployments import VASKTORU
from harness.fleet import Fleet

pytestmark = [pytest.mark.proof, pytest.mark.asyncio(loop_scope="module")]

ASKS = (QUERY, WHOLE_QUERY, DESK_CALL, REVIEW)
# What happens to a connection, at each step of the way.
STEPS: dict[str, dict[str, Any]] = {
    "refused before connect": {"mode": "refuse"},
    "silent after connect": {"mode": "cut"},
    "nothing gets there": {"mode": "cut_to_target"},
    "nothing comes back": {"mode": "cut_to_client"},
    "silent within headers": {"mode": "silent", "after_bytes_to_target": 60},
    "closed within headers": {"mode": "close", "after_bytes_to_target": 60},
    "silent after headers": {"mode": "silent", "after_bytes_to_target": 700},
    "reset within body": {"mode": "refuse", "after_bytes_to_target": 2_000},
    "silent before the answer": {"mode": "silent", "after_bytes_to_client": 1},
    "reset before the answer": {"mode": "refuse", "after_bytes_to_client": 1},
    "silent in the answer": {"mode": "silent", "after_bytes_to_client": 900},
    "closed in the answer": {"mode": "close", "after_bytes_to_client": 900},
}
ENGINES = ("contracts-rotterdam-1", "contracts-rotterdam-2", "contracts-rotterdam-3")
PEERS = ("rotterdam-1", "rotterdam-2")
# The three links have faults at the same time, each met by requests through an entry VM of its own.
LINKS = {
    "caller to daemon": ("caller/tallinn-1", "tallinn-1", "paying-tallinn"),
    "daemon to server": ("server/warsaw/*", "warsaw-1", "paying-warsaw"),
    "daemon to peer": ("peer/tallinn/rotterdam-*", "tallinn-2", "paying-rotterdam"),
}


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    async with Fleet(VASKTORU) as running:
        yield running


@pytest_asyncio.fixture(loop_scope="module")
async def session(fleet: Fleet) -> AsyncIterator[aiohttp.ClientSession]:
    async with caller_session() as opened:
        yield opened
    await fleet.fault("*", "pass")


async def ask_all(
    fleet: Fleet,
    session: aiohttp.ClientSession,
    ways: list[tuple[str, str]],
    asks: tuple[RequestSpec, ...],
) -> list[Reply]:
    return await asyncio.gather(
        *(ask.send(fleet, session, vm, account) for vm, account in ways for ask in asks)
    )


async def ask_until_run(
    fleet: Fleet, session: aiohttp.ClientSession, log: RunLog, way: tuple[str, str], asks: Any
) -> list["asyncio.Task[Reply]"]:
    """Send requests and return once each of them runs or has got its reply."""
    before = (await log.starts()).total()
    asking = [asyncio.create_task(ask.send(fleet, session, *way)) for ask in asks]

    async def all_run() -> bool:
        replied = sum(task.done() for task in asking)
        return (await log.starts()).total() - before + replied >= len(asking)

    await wait_until(all_run)
    return asking


async def check(fleet: Fleet, log: RunLog, replies: list[Reply], figure: Figure) -> None:
    await settle(fleet, log)
    starts = await log.starts()
    assert contradicted_replies(replies, starts) == []
    once = [each for each in replies if each.class_name in NON_REPEATABLE_CLASSES]
    assert [each.marker for each in once if starts[each.marker] > 1] == []
    for name, count in sorted(Counter(map(reported_outcome, replies)).items()):
        figure(name, count)


@pytest.mark.parametrize("step", STEPS)
async def test_not_run_is_true_when_a_connection_fails(
    fleet: Fleet, session: aiohttp.ClientSession, step: str, figure: Figure
) -> None:
    """A connection fails at one step: to an entry VM, to a backend server, to a peer.

    The caller gets an answer, "not run" or "unknown". Bytes handed to the transport may arrive
    although every later sign of the connection is lost, so "not run" after that must come from
    the receiver itself.
    """
    log = RunLog(fleet)
    ways = [(vm, account) for _, vm, account in LINKS.values()]
    await wait_until_served(fleet, session, [(a, *way) for way in ways for a in (QUERY, DESK_CALL)])
    for route, _, _ in LINKS.values():
        await fleet.fault(route, **STEPS[step])
    replies = await ask_all(fleet, session, ways, ASKS * 2)
    await check(fleet, log, replies, figure)


async def freeze_engines(fleet: Fleet, log: RunLog) -> None:
    for name in ENGINES:
        fleet.freeze(name)


async def thaw_engines(fleet: Fleet, log: RunLog) -> None:
    for name in ENGINES:
        fleet.thaw(name)


async def freeze_peers(fleet: Fleet, log: RunLog) -> None:
    for name in PEERS:
        fleet.freeze(name)


async def thaw_peers(fleet: Fleet, log: RunLog) -> None:
    for name in PEERS:
        fleet.thaw(name)


FREEZES = {
    "engines": (freeze_engines, thaw_engines),
    "peers": (freeze_peers, thaw_peers),
}


@pytest.mark.parametrize("frozen", FREEZES)
async def test_not_run_is_true_when_a_process_freezes_past_the_deadline(
    fleet: Fleet, session: aiohttp.ClientSession, frozen: str, figure: Figure
) -> None:
    """Engines, or the peers asked, stop in their tracks with requests in their sockets.

    The entry VM answers its caller at the deadline. Later they wake and read those requests, and
    an engine knows no deadline: "not run" would be made untrue then.
    """
    freeze, thaw = FREEZES[frozen]
    log = RunLog(fleet)
    ways = [("rotterdam-1", "paying-rotterdam"), ("tallinn-1", "paying-rotterdam")]
    await wait_until_served(fleet, session, [(a, *way) for way in ways for a in (QUERY, DESK_CALL)])
    await freeze(fleet, log)
    try:
        replies = await ask_all(fleet, session, ways[1:] if frozen == "peers" else ways, ASKS * 2)
    finally:
        await thaw(fleet, log)
    await check(fleet, log, replies, figure)


async def test_not_run_is_true_when_an_engine_restarts_unheard(
    fleet: Fleet, session: aiohttp.ClientSession, figure: Figure
) -> None:
    """An engine runs a query, its answer is held up on the way, and it is killed and restarted.

    Asked to cancel, the new process says "not run" in good faith: it never saw that id. Only a
    process that was there when the query was sent can vouch for it.
    """
    log = RunLog(fleet)
    way, asks = ("rotterdam-1", "paying-rotterdam"), (evolve(QUERY, tokens=200, deadline_s=4.0),)
    await wait_until_served(fleet, session, [(QUERY, *way)])
    await fleet.fault("server/rotterdam/contracts-*", "cut_to_client")
    asking = await ask_until_run(fleet, session, log, way, asks * 6)
    for name in ENGINES:
        await log.kill(name)
    for name in ENGINES:
        await log.restart(name)
    await check(fleet, log, await asyncio.gather(*asking), figure)


async def test_not_run_is_true_when_the_peer_is_killed(
    fleet: Fleet, session: aiohttp.ClientSession, figure: Figure
) -> None:
    """Peers run forwarded requests and are killed and restarted while the answers come.

    The new process answers the entry VM's question under the old one's name, and knows nothing of
    what that one ran.
    """
    log = RunLog(fleet)
    way = ("tallinn-1", "paying-rotterdam")
    asks = tuple(evolve(each, tokens=200, deadline_s=4.0) for each in ASKS)
    await wait_until_served(fleet, session, [(QUERY, *way), (DESK_CALL, *way)])
    asking = await ask_until_run(fleet, session, log, way, asks * 2)
    for vm in PEERS:
        fleet.processes.kill(vm)
        fleet.start_entry(vm)
    replies = await asyncio.gather(*asking)
    await fleet.wait_ready(*PEERS)
    await check(fleet, log, replies, figure)


async def test_an_entry_that_wakes_runs_nothing_its_callers_gave_up(
    fleet: Fleet, session: aiohttp.ClientSession, figure: Figure
) -> None:
    """An entry VM freezes with requests in its sockets, its callers leave, and it wakes.

    It reads the requests and the closed connections in one go, and must look at both before it
    sends anything: nobody would get the answer, and the caller has asked elsewhere by then. The
    closings come through the proxy, which may be slow to pass them on: woken before they are in its
    sockets, the VM can't know, and rightly runs the requests.
    """
    log, vm = RunLog(fleet), "rotterdam-1"

    async def connections_kept() -> int:
        routes = (await fleet.get(fleet.control, "/faults"))["routes"]
        return int(routes[f"caller/{vm}"]["kept_by_client"])

    async def all_have_left() -> bool:
        return await connections_kept() <= kept_before

    await wait_until_served(fleet, session, [(QUERY, vm, "paying-rotterdam")])
    kept_before = await connections_kept()
    timeout = aiohttp.ClientTimeout(total=0.5)
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    fleet.freeze(vm)
    try:
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as impatient:
            asks = (QUERY, WHOLE_QUERY, DESK_CALL)
            replies = await ask_all(fleet, impatient, [(vm, "paying-rotterdam")], asks * 4)
        await wait_until(all_have_left)
    finally:
        fleet.thaw(vm)
    await check(fleet, log, replies, figure)
    starts = await log.starts()
    assert [each.marker for each in replies if starts[each.marker]] == []
