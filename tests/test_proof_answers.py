"""Prove that each caller gets the whole answer to its own request: point 4."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from functools import partial

import aiohttp
import pytest
import pytest_asyncio
from attrs import evolve
from callers import Reply, chat, chat_body, wait_until
from proof_report import Figure
from run_checks import (
    DESK_CALL,
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

LONG = evolve(REVIEW, tokens=300, deadline_s=15.0)
LONG_WHOLE = evolve(LONG, is_streamed=False)
LONG_QUERY = evolve(QUERY, tokens=300, deadline_s=15.0)
HOME = ("warsaw-1", "paying-warsaw")
ENGINES = ("contracts-warsaw-1", "contracts-warsaw-2")
SERVERS = "server/warsaw/contracts-*"
# From another region: the entry VM passes the request on to a peer in Rotterdam.
AWAY = ("tallinn-1", "paying-rotterdam")
PEERS = ("rotterdam-1", "rotterdam-2")
PATIENT = aiohttp.ClientTimeout(total=25.0)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    async with Fleet(VASKTORU) as running:
        yield running


@pytest_asyncio.fixture(loop_scope="module")
async def session(fleet: Fleet) -> AsyncIterator[aiohttp.ClientSession]:
    async with caller_session(PATIENT) as opened:
        ways = [(ask, *way) for way in (HOME, AWAY) for ask in (QUERY, DESK_CALL)]
        await wait_until_served(fleet, opened, ways)
        yield opened
    await settle(fleet, RunLog(fleet))


class Streams:
    """Hold streams that have begun, so that a fault can strike in the middle."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._session = session
        self._begun: list[asyncio.Event] = []
        self._tasks: list[asyncio.Task[Reply]] = []

    async def begin(self, way: tuple[str, str], asks: list[RequestSpec]) -> None:
        """Send requests and return once each has brought a token; whole ones just run."""
        vm, account = way
        for ask in asks:
            begun = asyncio.Event()
            body = chat_body(ask.model, ask.tokens, ask.prompt, stream=ask.is_streamed)
            address = self._fleet.entries[vm].advertised_caller
            sending = chat(
                self._fleet, address, account, ask.class_name, body, begun.set, self._session
            )
            self._tasks.append(asyncio.create_task(sending))
            if ask.is_streamed:
                self._begun.append(begun)
        await asyncio.gather(*(begun.wait() for begun in self._begun))

    async def replies(self) -> list[Reply]:
        return await asyncio.gather(*self._tasks)

    def leave(self) -> None:
        """Let every caller go without a word."""
        for task in self._tasks:
            task.cancel()


@pytest.fixture
def streams(fleet: Fleet, session: aiohttp.ClientSession) -> Streams:
    return Streams(fleet, session)


async def check(fleet: Fleet, replies: list[Reply], figure: Figure, *allowed: str) -> None:
    log = RunLog(fleet)
    await settle(fleet, log)
    outcomes = Counter(map(reported_outcome, replies))
    for name, count in sorted(outcomes.items()):
        figure(name, count)
    assert [
        each for each in contradicted_replies(replies, await log.starts()) if "looks whole" in each
    ] == []
    assert set(outcomes) <= set(allowed), [each.problem or each.error for each in replies]


async def test_many_callers_each_get_their_own_answer(
    fleet: Fleet, session: aiohttp.ClientSession, figure: Figure
) -> None:
    """Many callers ask at once while the links stall and go on, so that answers overtake others.

    A stalled connection delivers late what others have long brought; none may end at the wrong
    caller or be short.
    """
    asks = [QUERY, WHOLE_QUERY, DESK_CALL, REVIEW] * 15
    ways = (HOME, AWAY, ("tallinn-2", "paying-tallinn"))
    sending = [
        asyncio.create_task(evolve(ask, deadline_s=15.0).send(fleet, session, *way))
        for ask in asks
        for way in ways
    ]
    routes = ("server/*/contracts-*-1", "peer/tallinn/rotterdam-1", "caller/warsaw-1")
    for done in range(20, len(sending), 20):
        route = routes[done // 20 % len(routes)]
        await fleet.fault(route, "cut_to_client")
        await wait_until(partial(_are_done, sending, done))
        await fleet.fault(route, "pass")
    await check(fleet, await asyncio.gather(*sending), figure, "answered")


async def _are_done(tasks: list["asyncio.Task[Reply]"], count: int) -> bool:
    stalled = sum(not task.done() for task in tasks)
    return len(tasks) - stalled >= count or stalled <= len(tasks) // 2


@pytest.mark.parametrize("after_bytes", [1_000, 5_000, 20_000])
async def test_a_stream_that_breaks_off_is_resumed_exactly(
    fleet: Fleet, streams: Streams, after_bytes: int, figure: Figure
) -> None:
    """Each connection to an engine closes after some bytes, often in the middle of an event.

    The rest is fetched from the next whole event on; a half event is not passed on twice.
    """
    await fleet.fault(SERVERS, "close", after_bytes_to_client=after_bytes)
    await streams.begin(HOME, [LONG, LONG_WHOLE, LONG_QUERY] * 2)
    await check(fleet, await streams.replies(), figure, "answered")


async def test_a_stream_on_a_silent_connection_is_resumed_exactly(
    fleet: Fleet, streams: Streams, figure: Figure
) -> None:
    """Connections to engines go silent for good in mid-stream while new ones work.

    No error ever comes. The next byte's deadline passes, and a new connection brings the rest.
    """
    await streams.begin(HOME, [LONG, LONG_QUERY] * 3)
    await fleet.fault(SERVERS, "silent")
    await check(fleet, await streams.replies(), figure, "answered")


async def test_an_answer_from_a_killed_engine_never_looks_whole(
    fleet: Fleet, streams: Streams, figure: Figure
) -> None:
    """Engines are killed in mid-stream: what they had in memory is gone.

    A begun stream ends with an error event; a whole answer of which nothing was passed on yet
    comes from another engine instead.
    """
    log = RunLog(fleet)
    await streams.begin(HOME, [LONG, LONG_WHOLE] * 6)
    await log.kill(ENGINES[0])
    await log.restart(ENGINES[0])
    await check(fleet, await streams.replies(), figure, "answered", "broken off, run unknown")
    whole = (await streams.replies())[1::2]
    assert [each.problem for each in whole if not each.is_answered] == []


@pytest.mark.parametrize("killed", [(HOME, HOME[:1]), (AWAY, PEERS)], ids=["entry VM", "peers"])
async def test_an_answer_from_a_killed_daemon_never_looks_whole(
    fleet: Fleet, streams: Streams, killed: tuple[tuple[str, str], tuple[str, ...]], figure: Figure
) -> None:
    """An entry VM, or the peers that it passed streams on to, are killed in mid-stream.

    The caller's connection breaks without the end event, or the entry VM sends an error event.
    """
    way, vms = killed
    await streams.begin(way, [LONG, LONG_QUERY] * 3)
    for vm in vms:
        fleet.processes.kill(vm)
    replies = await streams.replies()
    for vm in vms:
        fleet.start_entry(vm)
    await fleet.wait_ready(*vms)
    await check(fleet, replies, figure, "nothing", "broken off, run unknown")


async def test_a_forwarded_stream_on_a_silent_link_never_looks_whole(
    fleet: Fleet, streams: Streams, figure: Figure
) -> None:
    """The connections between two entry VMs go silent for good in the middle of streams."""
    await streams.begin(AWAY, [LONG, LONG_QUERY] * 3)
    await fleet.fault("peer/tallinn/rotterdam-*", "silent")
    await check(fleet, await streams.replies(), figure, "answered", "broken off, run unknown")


@pytest.mark.parametrize("after_bytes", [1, 100, 180, 230])
async def test_a_truncated_answer_of_a_service_never_looks_whole(
    fleet: Fleet, session: aiohttp.ClientSession, after_bytes: int, figure: Figure
) -> None:
    """The connection to a service closes within the headers or the body of its answer."""
    await fleet.fault("server/warsaw/desk-*", "close", after_bytes_to_client=after_bytes)
    replies = [await DESK_CALL.send(fleet, session, *HOME) for _ in range(3)]
    await check(fleet, replies, figure, "nothing", "refused, run unknown")


@pytest.mark.parametrize("way", [HOME, AWAY], ids=["own region", "forwarded"])
async def test_the_engine_stops_when_its_caller_leaves(
    fleet: Fleet, streams: Streams, way: tuple[str, str], figure: Figure
) -> None:
    """Callers close their connections in mid-stream; nobody will read the rest.

    The engines are told to cancel, and their slots are free for others.
    """
    await streams.begin(way, [evolve(LONG, tokens=4_000)] * 4)
    streams.leave()
    await wait_until(RunLog(fleet).is_idle)
    runs = [run for run in await fleet.runs() if run["state"] == "cancelled"]
    figure("cancelled runs", len(runs))
    assert len(runs) >= 4
    assert all(run["output_tokens"] < 4_000 for run in runs)

    async def has_no_charge_left() -> bool:
        states = await asyncio.gather(*(fleet.status(vm) for vm in fleet.entries))
        charges = [state["dispatch"]["in_flight"].values() for state in states]
        return not any(count for each in charges for count in each)

    await wait_until(has_no_charge_left)
