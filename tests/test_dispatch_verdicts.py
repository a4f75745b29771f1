import asyncio
from random import Random
from typing import Any

import pytest
from aiohttp import ClientSession, web
from attrs import define, evolve, field
from gateway_requests import request_of
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from pomelobarrow.callers.sinks import HttpSink
from pomelobarrow.decision.attempt import UNRUN_STATES, Attempt, AttemptState
from pomelobarrow.decision.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.region_choice import RegionLoad, ShareOutsideHome
from pomelobarrow.decision.work import Work
from pomelobarrow.dispatch import dispatcher as module
from pomelobarrow.dispatch.answers import AnswerHead, AnswerSink, AttemptResult
from pomelobarrow.dispatch.background import wait_or_detach
from pomelobarrow.dispatch.dispatcher import Dispatcher
from pomelobarrow.dispatch.refusals import RefusedError, refuse

NO_ROOM = refuse(ErrorKind.OVERLOADED, RunStatus.NO, "the queue is full")
# A peer's own word; its refusal says what its state says.
PEER_REFUSALS = {AttemptState.REFUSED_UNRUN: NO_ROOM}
STATES = st.sampled_from(
    [
        AttemptState.NOT_SENT,
        AttemptState.REFUSED_UNRUN,
        AttemptState.UNKNOWN,
        AttemptState.FINISHED,
    ]
)
# What each attempt comes to: no room before it begins, or a state with or without a head passed.
ENDS = st.one_of(st.none(), st.tuples(STATES, st.booleans()))


@define
class Sink:
    """Count how an answer ends."""

    broken_off: int = 0

    async def abort(self, refusal: Refusal) -> None:
        self.broken_off += 1


@define
class Attempts:
    """End attempts as a test says, here and at a peer, and keep what they came to."""

    ends: list[tuple[AttemptState, bool] | None]
    table: LoadTable = field(factory=lambda: LoadTable("r"))
    states: list[AttemptState] = field(factory=list)
    request_ids: list[str] = field(factory=list)

    def expected_wait_s(self, work: Work) -> float:
        return 0.0

    def region_loads(self, work: Work) -> dict[str, RegionLoad]:
        return {}

    async def run(self, request: Any, attempt: Attempt, *rest: Any) -> AttemptResult:
        end = self.ends.pop(0) if self.ends else None
        if end is None:
            raise RefusedError(NO_ROOM)
        self.request_ids.append(request.work.request_id)
        state, head_passed = end
        head_passed = head_passed and state not in UNRUN_STATES
        self.states.append(state)
        refusal = PEER_REFUSALS.get(state)
        return AttemptResult(state=state, head_passed=head_passed, server="s", refusal=refusal)


def dispatcher_of(attempts: Any) -> Dispatcher:
    """Return a dispatcher whose attempts, here and at peers, end as a test says."""
    return Dispatcher(
        own_region="r",
        local=attempts,
        forwarder=attempts,
        share=ShareOutsideHome(),
        observe=lambda event: None,
        rng=Random(0),
    )


@pytest.fixture(autouse=True)
def without_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("UNRUN_PAUSE_S", "BACKOFF_FLOOR_S", "BACKOFF_CEILING_S"):
        monkeypatch.setattr(module, name, 0.0)


@given(ends=st.lists(ENDS, max_size=8), repeatable=st.booleans())
@settings(deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
async def test_the_verdict_follows_from_all_attempts(
    ends: list[tuple[AttemptState, bool] | None], repeatable: bool
) -> None:
    """Attempts end in any mixture: not sent, refused, unknown, broken off, whole.

    Work that may not be repeated is not tried again once it may have run, nothing is tried again
    once a caller has seen a part of an answer, and "not run" needs every attempt to be certain.
    """
    attempts: Any = Attempts(list(ends))
    dispatcher = dispatcher_of(attempts)
    sink: Any = Sink()
    answering: AnswerSink = sink
    refusal = await dispatcher.dispatch(request_of(repeatable), answering)
    states = attempts.states
    may_have_run = [each for each in states if each not in UNRUN_STATES]
    assert (refusal is None) == (AttemptState.FINISHED in states)
    assert states.count(AttemptState.FINISHED) <= 1
    if not repeatable:
        assert len(may_have_run) <= 1
        assert not may_have_run or states[-1] is may_have_run[0]
    if refusal is not None and refusal.run is RunStatus.NO:
        assert may_have_run == []
    assert sink.broken_off <= 1


async def test_work_that_nobody_waits_for_goes_on_to_its_end() -> None:
    may_end, ended = asyncio.Event(), asyncio.Event()

    async def work() -> str:
        await may_end.wait()
        ended.set()
        return "word"

    assert await wait_or_detach(work(), 0.0, "none yet") == "none yet"
    may_end.set()
    await ended.wait()
    assert await wait_or_detach(work(), 60.0, "none yet") == "word"


async def test_headers_that_come_twice_are_passed_on_twice() -> None:
    async def handle(request: web.Request) -> web.StreamResponse:
        sink = HttpSink(request, "id")
        await sink.head(AnswerHead(200, (("Set-Cookie", "a=1"), ("Set-Cookie", "b=2"))))
        await sink.end()
        assert sink.response is not None
        return sink.response

    app = web.Application()
    app.router.add_get("/", handle)
    runner = web.AppRunner(app)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    async with ClientSession() as session:
        port = runner.addresses[0][1]
        async with session.get(f"http://127.0.0.1:{port}/") as response:
            assert response.headers.getall("Set-Cookie") == ["a=1", "b=2"]
    await runner.cleanup()


@pytest.mark.parametrize(
    ("is_chat", "expected"),
    [(True, ["id", "id~2", "id~3"]), (False, ["id", "id", "id"])],
    ids=["engine", "service"],
)
async def test_each_attempt_on_an_engine_has_an_id_of_its_own(
    is_chat: bool, expected: list[str]
) -> None:
    """A link breaks, the engine is told to cancel, and it refuses the repeat for good.

    It had promised that this id never runs. Sent again under it, the request came back at once from
    each engine that had given its word, until the deadline.
    """
    refused, finished = (AttemptState.REFUSED_UNRUN, False), (AttemptState.FINISHED, False)
    attempts: Any = Attempts([refused, refused, finished])
    dispatcher = dispatcher_of(attempts)
    request = evolve(request_of(repeatable=True), is_chat=is_chat)
    assert await dispatcher.dispatch(request, Sink()) is None  # type: ignore[arg-type]
    assert attempts.request_ids == expected


async def test_attempts_at_both_ends_of_a_forward_never_share_an_id() -> None:
    """The entry VM's second attempt is refused by an engine that never saw its first.

    The VM that ran the first forward had made a second attempt of its own, under the same id, and
    had it cancelled.
    """
    failed = (AttemptState.NOT_SENT, False)
    request_ids = {}
    for forwarded_by in (None, "vm-b"):
        attempts: Any = Attempts([failed, failed, (AttemptState.FINISHED, False)])
        dispatcher = dispatcher_of(attempts)
        request = evolve(request_of(repeatable=True), forwarded_by=forwarded_by)
        await dispatcher.dispatch(request, Sink())  # type: ignore[arg-type]
        request_ids[forwarded_by] = attempts.request_ids

    assert request_ids == {None: ["id", "id~2", "id~3"], "vm-b": ["id", "id.2", "id.3"]}
