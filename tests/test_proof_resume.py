"""Prove that a forwarded stream goes on when the way to its executing peer is lost: point 4."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from functools import partial

import aiohttp
import pytest
import pytest_asyncio
from callers import Reply, chat, chat_body, wait_until
from peer_calls import forward_message, resume
from proof_report import Figure
from run_checks import REVIEW, RunLog, caller_session, reported_outcome, settle, wait_until_served

from harness.deployments import VASKTORU
from harness.fleet import Fleet
from pomelobarrow.peers import peers_pb2 as pb

pytestmark = [pytest.mark.proof, pytest.mark.asyncio(loop_scope="module")]

ENTRY, ACCOUNT, REGION = "tallinn-1", "paying-rotterdam", "rotterdam"
STRUCK, OTHER = "rotterdam-1", "rotterdam-2"
STRUCK_LINK, ALL_LINKS = f"peer/tallinn/{STRUCK}", f"peer/tallinn/{REGION}-*"
TOKENS, LONG_TOKENS = 800, 3_000
THROUGH_STRUCK, MAX_STREAMS = 3, 20
PATIENT = aiohttp.ClientTimeout(total=60.0)
Strike = Callable[[Fleet], Awaitable[None]]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    async with Fleet(VASKTORU) as running:
        yield running


@pytest_asyncio.fixture(loop_scope="module")
async def session(fleet: Fleet) -> AsyncIterator[aiohttp.ClientSession]:
    async with caller_session(PATIENT) as opened:
        await wait_until_served(fleet, opened, [(REVIEW, ENTRY, ACCOUNT)])
        await wait_until(partial(_is_linked, fleet))
        yield opened
    await settle(fleet, RunLog(fleet))


async def _is_linked(fleet: Fleet) -> bool:
    peers = (await fleet.status(ENTRY))["peers"]
    return all(peers[vm]["linked"] for vm in (STRUCK, OTHER))


class Streams:
    """Hold forwarded streams that have begun, enough of them through the struck peer."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._session = session
        self.tasks: list[asyncio.Task[Reply]] = []
        self.markers: list[str] = []

    async def begin(self, tokens: int) -> int:
        """Send streams one by one; return how many run through the struck peer."""
        while (through := await self.in_progress(STRUCK)) < THROUGH_STRUCK:
            assert len(self.tasks) < MAX_STREAMS
            begun = asyncio.Event()
            body = chat_body("contract-reader", tokens, "Read this contract. " * 40)
            address = self._fleet.entries[ENTRY].advertised_caller
            sending = chat(
                self._fleet, address, ACCOUNT, "contract-review", body, begun.set, self._session
            )
            self.tasks.append(asyncio.create_task(sending))
            self.markers.append(body["metadata"]["marker"])
            await begun.wait()
        return through

    async def in_progress(self, vm: str) -> int:
        return int((await self._fleet.status(vm))["dispatch"]["in_progress"])

    async def replies(self) -> list[Reply]:
        return await asyncio.gather(*self.tasks)

    async def states(self) -> Counter[str]:
        """Count the runs of these streams by state; a second run counts as one more."""
        runs = [run for run in await self._fleet.runs() if run["marker"] in self.markers]
        return Counter(run["state"] for run in runs)


@pytest.fixture
def streams(fleet: Fleet, session: aiohttp.ClientSession) -> Streams:
    return Streams(fleet, session)


async def check(streams: Streams, through: int, figure: Figure) -> None:
    """Each text is compared token by token; each stream ran once and to its end."""
    replies = await streams.replies()
    figure("streams", len(replies))
    figure("through the struck peer", through)
    for outcome, count in sorted(Counter(map(reported_outcome, replies)).items()):
        figure(outcome, count)
    assert [each.problem or each.error for each in replies if not each.is_answered] == []
    assert await streams.states() == {"finished": len(replies)}


async def kill_peer(fleet: Fleet) -> None:
    fleet.processes.kill(STRUCK)


async def silence_link(fleet: Fleet) -> None:
    await fleet.fault(STRUCK_LINK, "silent")


async def silence_all_links(fleet: Fleet) -> None:
    await fleet.fault(ALL_LINKS, "silent")


async def cut_link(fleet: Fleet) -> None:
    await fleet.fault(STRUCK_LINK, "cut")


async def reset_links(fleet: Fleet) -> None:
    await fleet.fault(ALL_LINKS, "refuse")
    await fleet.fault(ALL_LINKS, "pass")


async def freeze_peer(fleet: Fleet) -> None:
    fleet.freeze(STRUCK)


async def heal(fleet: Fleet) -> None:
    if STRUCK not in fleet.processes.running:
        fleet.start_entry(STRUCK)
    fleet.thaw(STRUCK)
    await fleet.wait_ready(STRUCK)
    await fleet.fault("*", "pass")


@pytest.mark.parametrize(
    "strike", [kill_peer, freeze_peer, silence_link, silence_all_links, cut_link, reset_links]
)
async def test_a_forwarded_stream_goes_on_when_its_peer_is_lost(
    fleet: Fleet, streams: Streams, strike: Strike, figure: Figure
) -> None:
    """The way to the executing peer is lost in mid-stream while the engine goes on.

    The entry VM asks a live peer of that region, the same on a new connection or the one beside
    it, for the events after the last that it passed on. The caller sees a pause, no gap and no
    event twice; the engine runs nothing again.
    """
    through = await streams.begin(TOKENS)
    await strike(fleet)
    try:
        await check(streams, through, figure)
    finally:
        await heal(fleet)


async def test_a_peer_that_wakes_leaves_the_stream_to_the_one_that_took_over(
    fleet: Fleet, streams: Streams, figure: Figure
) -> None:
    """The executing peer freezes, another takes its streams over, and the frozen one wakes.

    It finds its connection closed. Did it tell the engine to cancel, or send on what it holds, the
    caller would get an error or an event twice.
    """
    through = await streams.begin(LONG_TOKENS)
    fleet.freeze(STRUCK)
    try:
        await wait_until(partial(_has_taken_over, streams))
        figure("still running as it wakes", (await streams.states())["running"])
        fleet.thaw(STRUCK)
        await check(streams, through, figure)
    finally:
        await heal(fleet)


async def _has_taken_over(streams: Streams) -> bool:
    return await streams.in_progress(OTHER) == len(streams.tasks)


@pytest.mark.parametrize("server", ["contracts-tallinn-1", "contracts-rotterdam-1"])
async def test_asking_for_the_rest_runs_nothing(
    fleet: Fleet, session: aiohttp.ClientSession, server: str, figure: Figure
) -> None:
    """A peer is asked for the rest of what a server of another region, or no server, has run.

    It refuses and says "unknown": its code can ask for events only, and only its own servers.
    """
    request = forward_message(
        fleet,
        f"never-sent-to-{server}",
        forwarded_by=ENTRY,
        class_name="contract-review",
        account=ACCOUNT,
        home_region=REGION,
        is_streamed=True,
        is_chat=True,
    )
    answer = await resume(fleet, STRUCK, pb.ResumeRequest(request=request, server=server), ENTRY)
    ids = [run["request_id"] for run in await fleet.runs()]
    figure("runs", ids.count(request.request_id))
    assert answer.refusal is not None
    assert answer.refusal.run == "unknown"
    assert request.request_id not in ids


async def test_the_engine_stops_when_the_caller_of_a_resumed_stream_leaves(
    fleet: Fleet, streams: Streams, figure: Figure
) -> None:
    """The executing peer is killed, another takes over, and then the callers close.

    The peer that took over is told at once, cancels the engine's work and frees its slots.
    """
    await streams.begin(LONG_TOKENS)
    await kill_peer(fleet)
    try:
        await wait_until(partial(_has_taken_over, streams))
        for task in streams.tasks:
            task.cancel()
        await wait_until(RunLog(fleet).is_idle)
        states = await streams.states()
        figure("cancelled runs", states["cancelled"])
        assert states == {"cancelled": len(streams.tasks)}
    finally:
        await heal(fleet)
