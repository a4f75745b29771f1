"""Prove guarantee 4: a forwarded stream continues if the link to its executing peer is lost."""

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
FAULTY_PEER, OTHER_PEER = "rotterdam-1", "rotterdam-2"
FAULTY_LINK, ALL_LINKS = f"peer/tallinn/{FAULTY_PEER}", f"peer/tallinn/{REGION}-*"
TOKENS, LONG_TOKENS = 800, 3_000
MIN_THROUGH_FAULTY_PEER, MAX_STREAMS = 3, 20
CALLER_TIMEOUT = aiohttp.ClientTimeout(total=60.0)
FaultInjection = Callable[[Fleet], Awaitable[None]]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    async with Fleet(VASKTORU) as running:
        yield running


@pytest_asyncio.fixture(loop_scope="module")
async def session(fleet: Fleet) -> AsyncIterator[aiohttp.ClientSession]:
    async with caller_session(CALLER_TIMEOUT) as opened:
        await wait_until_served(fleet, opened, [(REVIEW, ENTRY, ACCOUNT)])
        await wait_until(partial(_is_linked, fleet))
        yield opened
    await settle(fleet, RunLog(fleet))


async def _is_linked(fleet: Fleet) -> bool:
    peers = (await fleet.status(ENTRY))["peers"]
    return all(peers[vm]["linked"] for vm in (FAULTY_PEER, OTHER_PEER))


class Streams:
    """Forwarded streams in progress, enough of them through the faulty peer."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._session = session
        self.tasks: list[asyncio.Task[Reply]] = []
        self.markers: list[str] = []

    async def begin(self, tokens: int) -> int:
        """Start streams one by one; return how many run through the faulty peer."""
        while (through := await self.in_progress(FAULTY_PEER)) < MIN_THROUGH_FAULTY_PEER:
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
    """Check that each answer is complete and that each stream ran once and to its end."""
    replies = await streams.replies()
    figure("streams", len(replies))
    figure("through the struck peer", through)
    for outcome, count in sorted(Counter(map(reported_outcome, replies)).items()):
        figure(outcome, count)
    assert [each.problem or each.error for each in replies if not each.is_answered] == []
    assert await streams.states() == {"finished": len(replies)}


async def kill_peer(fleet: Fleet) -> None:
    fleet.processes.kill(FAULTY_PEER)


async def silence_link(fleet: Fleet) -> None:
    await fleet.fault(FAULTY_LINK, "silent")


async def silence_all_links(fleet: Fleet) -> None:
    await fleet.fault(ALL_LINKS, "silent")


async def cut_link(fleet: Fleet) -> None:
    await fleet.fault(FAULTY_LINK, "cut")


async def reset_links(fleet: Fleet) -> None:
    await fleet.fault(ALL_LINKS, "refuse")
    await fleet.fault(ALL_LINKS, "pass")


async def freeze_peer(fleet: Fleet) -> None:
    fleet.freeze(FAULTY_PEER)


async def heal(fleet: Fleet) -> None:
    if FAULTY_PEER not in fleet.processes.running:
        fleet.start_entry(FAULTY_PEER)
    fleet.thaw(FAULTY_PEER)
    await fleet.wait_ready(FAULTY_PEER)
    await fleet.fault("*", "pass")


@pytest.mark.parametrize(
    "strike", [kill_peer, freeze_peer, silence_link, silence_all_links, cut_link, reset_links]
)
async def test_a_forwarded_stream_goes_on_when_its_peer_is_lost(
    fleet: Fleet, streams: Streams, strike: FaultInjection, figure: Figure
) -> None:
    """The link to the executing peer is lost in mid-stream while the engine continues.

    The entry VM requests the events after the last one that it relayed from a reachable peer of
    that region: the same one on a new connection, or another. The caller sees a pause, but no
    missing or repeated event, and the engine runs nothing again.
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
    """The executing peer is frozen, another takes over its streams, and the frozen one resumes.

    It finds its connection closed. If it cancelled the engine's run or sent its buffered events,
    the caller would get an error or a repeated event.
    """
    through = await streams.begin(LONG_TOKENS)
    fleet.freeze(FAULTY_PEER)
    try:
        await wait_until(partial(_has_taken_over, streams))
        figure("still running as it wakes", (await streams.states())["running"])
        fleet.thaw(FAULTY_PEER)
        await check(streams, through, figure)
    finally:
        await heal(fleet)


async def _has_taken_over(streams: Streams) -> bool:
    return await streams.in_progress(OTHER_PEER) == len(streams.tasks)


@pytest.mark.parametrize("server", ["contracts-tallinn-1", "contracts-rotterdam-1"])
async def test_asking_for_the_rest_runs_nothing(
    fleet: Fleet, session: aiohttp.ClientSession, server: str, figure: Figure
) -> None:
    """A peer is asked to resume a request on a server that never ran it, or of another region.

    It refuses with "unknown", since it can request only events, and only from its own servers.
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
    answer = await resume(
        fleet, FAULTY_PEER, pb.ResumeRequest(request=request, server=server), ENTRY
    )
    ids = [run["request_id"] for run in await fleet.runs()]
    figure("runs", ids.count(request.request_id))
    assert answer.refusal is not None
    assert answer.refusal.run == "unknown"
    assert request.request_id not in ids


async def test_the_engine_stops_when_the_caller_of_a_resumed_stream_leaves(
    fleet: Fleet, streams: Streams, figure: Figure
) -> None:
    """The executing peer is killed, another takes over, and then the callers close.

    The peer that took over must be notified and cancel the engine's runs to free its slots.
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
