"""Prove guarantee 4: each caller gets the complete answer to its own request."""

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
LOCAL = ("warsaw-1", "paying-warsaw")
ENGINES = ("contracts-warsaw-1", "contracts-warsaw-2")
SERVERS = "server/warsaw/contracts-*"
# From another region: the entry VM forwards the request to a peer in Rotterdam.
FORWARDED = ("tallinn-1", "paying-rotterdam")
PEERS = ("rotterdam-1", "rotterdam-2")
CALLER_TIMEOUT = aiohttp.ClientTimeout(total=25.0)


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    async with Fleet(VASKTORU) as running:
        yield running


@pytest_asyncio.fixture(loop_scope="module")
async def session(fleet: Fleet) -> AsyncIterator[aiohttp.ClientSession]:
    async with caller_session(CALLER_TIMEOUT) as opened:
        ways = [(ask, *way) for way in (LOCAL, FORWARDED) for ask in (QUERY, DESK_CALL)]
        await wait_until_served(fleet, opened, ways)
        yield opened
    await settle(fleet, RunLog(fleet))


class Streams:
    """Streams in progress, for tests that inject a fault in mid-stream."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._session = session
        self._begun: list[asyncio.Event] = []
        self._tasks: list[asyncio.Task[Reply]] = []

    async def begin(self, way: tuple[str, str], asks: list[RequestSpec]) -> None:
        """Send requests and return once each streamed one has received a token."""
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

    def disconnect(self) -> None:
        """Disconnect all callers."""
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
    """Many callers send requests while links stall and recover, so that answers arrive reordered.

    No answer may reach the wrong caller or be truncated.
    """
    asks = [QUERY, WHOLE_QUERY, DESK_CALL, REVIEW] * 15
    ways = (LOCAL, FORWARDED, ("tallinn-2", "paying-tallinn"))
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

    The gateway resumes after the last complete event and must not relay part of an event twice.
    """
    await fleet.fault(SERVERS, "close", after_bytes_to_client=after_bytes)
    await streams.begin(LOCAL, [LONG, LONG_WHOLE, LONG_QUERY] * 2)
    await check(fleet, await streams.replies(), figure, "answered")


async def test_a_stream_on_a_silent_connection_is_resumed_exactly(
    fleet: Fleet, streams: Streams, figure: Figure
) -> None:
    """Open connections to engines stop delivering in mid-stream while new ones work.

    No error is reported. The deadline for the next byte passes, and the gateway fetches the rest
    over a new connection.
    """
    await streams.begin(LOCAL, [LONG, LONG_QUERY] * 3)
    await fleet.fault(SERVERS, "silent")
    await check(fleet, await streams.replies(), figure, "answered")


async def test_an_answer_from_a_killed_engine_never_looks_whole(
    fleet: Fleet, streams: Streams, figure: Figure
) -> None:
    """Engines are killed in mid-stream and lose their state.

    A stream that has begun ends with an error event. A non-streamed answer, of which nothing was
    relayed yet, comes from another engine instead.
    """
    log = RunLog(fleet)
    await streams.begin(LOCAL, [LONG, LONG_WHOLE] * 6)
    await log.kill(ENGINES[0])
    await log.restart(ENGINES[0])
    await check(fleet, await streams.replies(), figure, "answered", "broken off, run unknown")
    whole = (await streams.replies())[1::2]
    assert [each.problem for each in whole if not each.is_answered] == []


@pytest.mark.parametrize(
    "killed", [(LOCAL, LOCAL[:1]), (FORWARDED, PEERS)], ids=["entry VM", "peers"]
)
async def test_an_answer_from_a_killed_daemon_never_looks_whole(
    fleet: Fleet, streams: Streams, killed: tuple[tuple[str, str], tuple[str, ...]], figure: Figure
) -> None:
    """An entry VM, or the peers to which it forwarded streams, are killed in mid-stream.

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
    """The connections from an entry VM to its peers stop delivering in mid-stream."""
    await streams.begin(FORWARDED, [LONG, LONG_QUERY] * 3)
    await fleet.fault("peer/tallinn/rotterdam-*", "silent")
    await check(fleet, await streams.replies(), figure, "answered", "broken off, run unknown")


@pytest.mark.parametrize("after_bytes", [1, 100, 180, 230])
async def test_a_truncated_answer_of_a_service_never_looks_whole(
    fleet: Fleet, session: aiohttp.ClientSession, after_bytes: int, figure: Figure
) -> None:
    """The connection to a service closes within the headers or the body of its answer."""
    await fleet.fault("server/warsaw/desk-*", "close", after_bytes_to_client=after_bytes)
    replies = [await DESK_CALL.send(fleet, session, *LOCAL) for _ in range(3)]
    await check(fleet, replies, figure, "nothing", "refused, run unknown")


@pytest.mark.parametrize("way", [LOCAL, FORWARDED], ids=["own region", "forwarded"])
async def test_the_engine_stops_when_its_caller_leaves(
    fleet: Fleet, streams: Streams, way: tuple[str, str], figure: Figure
) -> None:
    """Callers close their connections in mid-stream.

    The engines must receive a cancellation and free their slots.
    """
    await streams.begin(way, [evolve(LONG, tokens=4_000)] * 4)
    streams.disconnect()
    await wait_until(RunLog(fleet).is_idle)
    runs = [run for run in await fleet.runs() if run["state"] == "cancelled"]
    figure("cancelled runs", len(runs))
    assert len(runs) >= 4
    assert all(run["output_tokens"] < 4_000 for run in runs)

    async def has_none_in_flight() -> bool:
        states = await asyncio.gather(*(fleet.status(vm) for vm in fleet.entries))
        in_flight_counts = [state["dispatch"]["in_flight"].values() for state in states]
        return not any(count for each in in_flight_counts for count in each)

    await wait_until(has_none_in_flight)
