"""Each placement is charged its expected memory, and output lengths are learned from answers."""

import time
from collections.abc import Callable

from attrs import define, field

from pomelobarrow.decision.common.errors import Refusal
from pomelobarrow.decision.published.configuration import Rank, WorkClass
from pomelobarrow.decision.requests.attempt import Attempt, AttemptState
from pomelobarrow.decision.requests.work import BackendServer, Placement, Work
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.dispatch.answers import AnswerHead, AnswerSink, AttemptResult
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.dispatch.request import GatewayRequest

PROMPT_TOKENS = 100
EXPECTED_TOKENS = 256
OUTPUT_TOKENS = 40
SERVER = BackendServer(
    name="engine-1",
    region="tallinn",
    failure_domain="tallinn-a",
    address="",
    pool="contracts",
    slots=4,
    kv_capacity_tokens=200_000,
)


class NullSink:
    """Discard an answer."""

    async def head(self, head: AnswerHead) -> None: ...

    async def chunk(self, data: bytes) -> None: ...

    async def end(self, last: bytes = b"") -> None: ...

    async def abort(self, refusal: Refusal) -> None: ...


@define
class Engine:
    """Answer immediately and record the memory that the load table has charged."""

    table: LoadTable
    kv_tokens: list[int] = field(factory=list)

    async def run(
        self,
        request: GatewayRequest,
        placement: Placement,
        attempt: Attempt,
        number: int,
        sink: AnswerSink,
        on_first_byte: Callable[[], None],
    ) -> AttemptResult:
        """Finish with a fixed number of tokens."""
        states = self.table.usable("contracts", time.time())
        self.kv_tokens += [state.kv_tokens for state in states]
        return AttemptResult(
            state=AttemptState.FINISHED, server=SERVER.name, output_tokens=OUTPUT_TOKENS
        )


def request() -> GatewayRequest:
    """Return a request of a class without any history."""
    now = time.time()
    work = Work(
        request_id="r",
        class_name="review",
        account="desk",
        rank=Rank.PAYING,
        pool="contracts",
        model=None,
        home_region="tallinn",
        home_bound=True,
        repeatable=True,
        prompt_tokens=PROMPT_TOKENS,
        expected_output_tokens=EXPECTED_TOKENS,
        accepted_unix_s=now,
        first_token_due_unix_s=now + 1.0,
        deadline_unix_s=now + 10.0,
    )
    work_class = WorkClass(
        name="review", pool="contracts", first_token_target_s=1.0, finish_target_s=5.0
    )
    return GatewayRequest(
        work=work, work_class=work_class, is_chat=True, is_streamed=True, method="POST", path="/"
    )


async def test_charge_counts_prompt_and_expected_output_and_the_answer_is_learned() -> None:
    table = LoadTable("tallinn")
    table.set_servers([SERVER])
    engine = Engine(table)
    local = LocalDispatch(table=table, run_attempt=engine.run, observe=lambda event: None)
    await local.run(request(), Attempt(), 1, frozenset(), NullSink())
    # Without this charge, more prompts than fit the engine's memory are placed and wait there.
    assert engine.kv_tokens == [PROMPT_TOKENS + EXPECTED_TOKENS]
    assert local.output_estimate.expected_tokens("review") == OUTPUT_TOKENS
