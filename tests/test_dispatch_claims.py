import asyncio
import time
from collections import Counter
from typing import Any

import pytest
from attrs import define, evolve, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.published.configuration import Rank, WorkClass
from pomelobarrow.decision.requests.attempt import Attempt, AttemptState
from pomelobarrow.decision.requests.request_ids import RequestIdLedger
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.dispatch.answers import AnswerHead, AnswerSink, AttemptResult
from pomelobarrow.dispatch.claims import ClaimedDispatch
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.dispatch.request import GatewayRequest

ACCOUNT = "a"
REFUSED = refuse(ErrorKind.NO_CAPACITY, RunStatus.NO, "no room")
LOST = refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, "lost")
STEPS = 12


@define
class Sink:
    """Record an answer."""

    body: bytes = b""
    is_whole: bool = False

    async def head(self, head: AnswerHead) -> None:
        pass

    async def chunk(self, data: bytes) -> None:
        self.body += data

    async def end(self, last: bytes = b"") -> None:
        self.body += last
        self.is_whole = True

    async def abort(self, refusal: Refusal) -> None:
        pass


@define
class Forwarder:
    """Forward requests to the issuer set by a test, as the peer interface does."""

    issuer: "ClaimedDispatch | None" = None

    async def forward_to_issuer(
        self, vm: str, incarnation: int, request: GatewayRequest, attempt: Attempt, sink: AnswerSink
    ) -> AttemptResult:
        if self.issuer is None:
            return AttemptResult(state=AttemptState.NOT_SENT, detail="out of reach")
        refusal = await self.issuer.dispatch(evolve(request, forwarded_by="vm-2"), sink)
        state = AttemptState.FINISHED if refusal is None else AttemptState.UNKNOWN
        return AttemptResult(state=state, refusal=refusal)


@define
class Dispatcher:
    """Run a request when a test resolves it, and count the runs."""

    forwarder: Forwarder = field(factory=Forwarder)
    runs: Counter[str] = field(factory=Counter)
    waiting: list["asyncio.Future[Refusal | None]"] = field(factory=list)

    async def dispatch(self, request: GatewayRequest, sink: AnswerSink) -> Refusal | None:
        verdict: asyncio.Future[Refusal | None] = asyncio.get_running_loop().create_future()
        self.waiting.append(verdict)
        refusal = await verdict
        if refusal is not REFUSED:
            self.runs[request.work.request_id] += 1
        if refusal is None:
            await sink.head(AnswerHead(200))
            await sink.chunk(b"done")
            await sink.end()
        return refusal


def request_of(request_id: str) -> GatewayRequest:
    now = time.time()
    work = Work(
        request_id=request_id,
        class_name="ping",
        account=ACCOUNT,
        rank=Rank.PAYING,
        pool="p",
        model=None,
        home_region="r",
        home_bound=False,
        repeatable=False,
        prompt_tokens=0,
        expected_output_tokens=0,
        accepted_unix_s=now,
        first_token_due_unix_s=now + 1,
        deadline_unix_s=now + 5,
    )
    work_class = WorkClass(name="ping", pool="p", first_token_target_s=1, finish_target_s=5)
    return GatewayRequest(
        work=work,
        work_class=work_class,
        is_chat=False,
        is_streamed=False,
        is_claimed=True,
        method="POST",
        path="/",
    )


def claims(incarnation: int = 1, vm: str = "vm-1") -> tuple[ClaimedDispatch, Any]:
    dispatcher: Any = Dispatcher()
    ledger = RequestIdLedger(vm, incarnation, b"secret")
    return ClaimedDispatch(ledger=ledger, dispatcher=dispatcher), dispatcher


async def run_loop_steps() -> None:
    for _ in range(STEPS):
        await asyncio.sleep(0)


async def result_of(answering: "asyncio.Task[Refusal | None]") -> Refusal | None:
    await run_loop_steps()
    return answering.result()


async def test_repeat_after_a_disconnect_gets_the_outcome() -> None:
    claimed, dispatcher = claims()
    (request_id,) = claimed.ledger.issue(ACCOUNT, 1, time.time())
    first = asyncio.create_task(claimed.dispatch(request_of(request_id), Sink()))
    await run_loop_steps()
    first.cancel()
    await run_loop_steps()
    over: list[str] = []
    claimed.call_after_run(request_id, lambda: over.append("first"))
    repeat = await claimed.dispatch(request_of(request_id), Sink())
    claimed.call_after_run(request_id, lambda: over.append("repeat"))
    assert repeat is not None
    assert repeat.kind is ErrorKind.STILL_RUNNING
    assert over == ["repeat"]
    dispatcher.waiting[0].set_result(None)
    await run_loop_steps()
    assert over == ["repeat", "first"]
    sink = Sink()
    assert await claimed.dispatch(request_of(request_id), sink) is None
    assert (sink.body, sink.is_whole) == (b"done", True)


async def test_repeat_by_an_account_over_its_limit_gets_the_outcome() -> None:
    """A request ran and its answer was lost; its account is over the limit when the repeat arrives.

    Refusing the repeat with "429, not run" would be wrong about the request.
    """
    claimed, dispatcher = claims()
    used, unused = claimed.ledger.issue(ACCOUNT, 2, time.time())
    first = asyncio.create_task(claimed.dispatch(request_of(used), Sink()))
    await run_loop_steps()
    dispatcher.waiting[0].set_result(LOST)
    await first
    over = refuse(ErrorKind.ACCOUNT_LIMIT, RunStatus.NO, "over the limit", time.time() + 1)
    repeat = await claimed.refuse(request_of(used), over, Sink())
    assert repeat is not None
    assert repeat.run is RunStatus.UNKNOWN
    fresh = await claimed.refuse(request_of(unused), over, Sink())
    assert fresh is not None
    assert (fresh.kind, fresh.run) == (ErrorKind.ACCOUNT_LIMIT, RunStatus.NO)
    elsewhere, _ = claims(vm="vm-2")
    from_elsewhere = await elsewhere.refuse(request_of(used), over, Sink())
    assert from_elsewhere is not None
    assert from_elsewhere.run is RunStatus.UNKNOWN


class OneIdAtMostOnce(RuleBasedStateMachine):
    """Send copies of requests under issued ids to the issuer or to another VM, in any order.

    Runs end, get lost or are refused; callers disconnect; the issuer restarts. No id may run twice.
    An id reported as "not run" must not have run and must never run later.
    """

    ids = Bundle("ids")
    sent = Bundle("sent")

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.incarnation = 1
        self.issuer, self.dispatcher = claims()
        self.other, other_dispatcher = claims(vm="vm-2")
        self.other_forwarder = other_dispatcher.forwarder
        self.other_forwarder.issuer = self.issuer
        self.runs: Counter[str] = self.dispatcher.runs
        self.reported_unrun: set[str] = set()

    def teardown(self) -> None:
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(run_loop_steps())
        self.loop.close()

    @rule(target=ids)
    def issue(self) -> str:
        return self.issuer.ledger.issue(ACCOUNT, 1, time.time())[0]

    @rule(target=sent, request_id=ids, past_issuer=st.booleans())
    def send(self, request_id: str, past_issuer: bool) -> Any:
        entry = self.other if past_issuer else self.issuer
        task = self.loop.create_task(entry.dispatch(request_of(request_id), Sink()))
        self.loop.run_until_complete(run_loop_steps())
        task.add_done_callback(lambda done: self.note(request_id, done))
        self.loop.run_until_complete(run_loop_steps())
        return task

    @rule(request_id=ids)
    def refuse_at_the_limit(self, request_id: str) -> None:
        refusing = self.issuer.refuse(request_of(request_id), REFUSED, Sink())
        task = self.loop.create_task(refusing)
        self.loop.run_until_complete(run_loop_steps())
        self.note(request_id, task)

    @rule(task=consumes(sent))
    def leave(self, task: Any) -> None:
        task.cancel()
        self.loop.run_until_complete(run_loop_steps())

    @rule(verdict=st.sampled_from([None, REFUSED, LOST]))
    def end_oldest(self, verdict: Refusal | None) -> None:
        if self.dispatcher.waiting:
            self.dispatcher.waiting.pop(0).set_result(verdict)
            self.loop.run_until_complete(run_loop_steps())

    @rule()
    def restart(self) -> None:
        self.incarnation += 1
        self.issuer, self.dispatcher = claims(self.incarnation)
        self.dispatcher.runs = self.runs
        self.other_forwarder.issuer = self.issuer

    def note(self, request_id: str, done: "asyncio.Task[Refusal | None]") -> None:
        refusal = None if done.cancelled() else done.result()
        if refusal is not None and refusal.run is RunStatus.NO:
            self.reported_unrun.add(request_id)

    @invariant()
    def no_id_runs_twice(self) -> None:
        assert all(count == 1 for count in self.runs.values())

    @invariant()
    def not_run_is_true_and_stays_so(self) -> None:
        assert not self.reported_unrun & self.runs.keys()


TestOneIdAtMostOnce = OneIdAtMostOnce.TestCase
TestOneIdAtMostOnce.pytestmark = [pytest.mark.proof]
TestOneIdAtMostOnce.settings = settings(max_examples=150, stateful_step_count=20, deadline=None)
