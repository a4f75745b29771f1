"""Prove guarantee 5: a request reported as "not run" has not run and never will."""

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
# Connection faults at each step of a request.
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
# The three links fail at the same time, each used by requests through a different entry VM.
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
    """Send requests and return once each of them has started to run or been answered."""
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
    even if the connection then fails, so after that only the receiver can report "not run".
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
    """Engines or peers freeze with requests in their socket buffers.

    The entry VM answers its caller at the deadline. The frozen processes resume later and read the
    requests; engines have no deadline and run them, so "not run" would become false.
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
    """An engine runs a query, its answer is delayed, and it is killed and restarted.

    The new process answers a cancellation with "not run", because it has no record of the id. Only
    the process that was running when the query was sent can report that reliably.
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

    The new process answers the entry VM's cancellation under the same name, but has no record of
    what the old one ran.
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
    """An entry VM freezes with requests in its sockets, its callers disconnect, and it resumes.

    It reads the requests and the closed connections at once and must check for the latter before
    it sends anything: no one would get the answer, and the callers may have retried elsewhere. The
    test waits until the proxy has closed its connections to the VM, since otherwise the VM could
    not detect the disconnects and would rightly run the requests.
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
        async with aiohttp.ClientSession(
            timeout=timeout, connector=connector
        ) as short_timeout_session:
            asks = (QUERY, WHOLE_QUERY, DESK_CALL)
            replies = await ask_all(
                fleet, short_timeout_session, [(vm, "paying-rotterdam")], asks * 4
            )
        await wait_until(all_have_left)
    finally:
        fleet.thaw(vm)
    await check(fleet, log, replies, figure)
    starts = await log.starts()
    assert [each.marker for each in replies if starts[each.marker]] == []
