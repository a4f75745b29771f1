"""No answer promises that a request did not run while an attempt ran it or may still run it."""

import hypothesis.strategies as st
import pytest
from attrs import frozen
from hypothesis import example, given
from relay_harness import route

from pomelobarrow.decision.common.errors import ErrorKind
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.decision.requests.attempt import AttemptEvent, AttemptState
from pomelobarrow.decision.requests.attempt_states import (
    MEANINGS,
    UNRUN_STATUSES,
    AttemptEnd,
    cancelled_end,
    may_pass_on,
)
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.relay.messages import (
    AttemptReport,
    RelayRequest,
    RequestHead,
    ServerAnswerHead,
    WholeAnswer,
)
from pomelobarrow.relay.next_step import (
    AttemptHistory,
    Step,
    last_step,
    may_be_passed_on,
    should_retry,
)

ONCE = route(RouteKind.NON_IDEMPOTENT, max_attempts=4)
STATUS_BY_STEP = {
    Step.REFUSE: ErrorKind.NO_CAPACITY.status,
    Step.FAIL: ErrorKind.OUTCOME_UNKNOWN.status,
    Step.BLOCK: ErrorKind.CRASHES_SERVERS.status,
}


@frozen
class Played:
    """One attempt: how it ended, the status of a server's answer, and what became of it."""

    end: AttemptEnd
    status: int
    # Ground truth, which the sender can't see.
    runs: bool
    # True if the request's time ends between the attempt's end and the report on it.
    is_cut: bool = False


def _attempt(end: AttemptEnd, runs: bool = False) -> st.SearchStrategy[Played]:
    statuses = st.sampled_from((200, 404, 408, 421, 429, 500, 502, 503, 504))
    return st.builds(Played, st.just(end), statuses, st.just(runs), st.booleans())


ATTEMPTS = st.one_of(
    _attempt(AttemptEnd.NOT_SENT),
    _attempt(AttemptEnd.WITHHELD),
    _attempt(AttemptEnd.REFUSED_UNSENT),
    _attempt(AttemptEnd.BLOCKED),
    _attempt(AttemptEnd.REFUSED),
    _attempt(AttemptEnd.CANCELLED_UNSENT),
    _attempt(AttemptEnd.ANSWERED, runs=True),
    # The bytes of these may have been dropped, or start the request later.
    _attempt(AttemptEnd.LOST),
    _attempt(AttemptEnd.LOST, runs=True),
    _attempt(AttemptEnd.CANCELLED),
    _attempt(AttemptEnd.CANCELLED, runs=True),
)


EVENTS_BY_END = {
    AttemptEnd.NOT_SENT: (AttemptEvent.LOSE,),
    AttemptEnd.WITHHELD: (),
    AttemptEnd.CANCELLED_UNSENT: (),
    AttemptEnd.CANCELLED: (AttemptEvent.SEND,),
    AttemptEnd.REFUSED_UNSENT: (AttemptEvent.SEND, AttemptEvent.REFUSE_UNRUN),
    AttemptEnd.BLOCKED: (AttemptEvent.SEND, AttemptEvent.REFUSE_UNRUN),
    AttemptEnd.REFUSED: (AttemptEvent.SEND, AttemptEvent.REFUSE_UNRUN),
    AttemptEnd.ANSWERED: (AttemptEvent.SEND, AttemptEvent.FIRST_BYTE, AttemptEvent.END),
    AttemptEnd.LOST: (AttemptEvent.SEND, AttemptEvent.LOSE),
}
CANCELLED_ENDS = (AttemptEnd.CANCELLED, AttemptEnd.CANCELLED_UNSENT)


def history() -> AttemptHistory:
    work = Work(
        request_id="r1",
        class_name="",
        account="",
        rank=Rank.PAYING,
        pool="p",
        model=None,
        home_region="a",
        home_bound=False,
        repeatable=False,
        prompt_tokens=0,
        expected_output_tokens=0,
        accepted_unix_s=0.0,
        first_token_due_unix_s=1.0,
        deadline_unix_s=2.0,
    )
    head = RequestHead(request_id="r1", headers=())
    request = RelayRequest(
        head=head, route=ONCE, work=work, method="POST", host="", target="/", attempts_left=4
    )
    return AttemptHistory(request=request)


def status_after(attempts: list[Played]) -> tuple[int, list[Played]]:
    """Return the status that the client gets, and the attempts that were made for it."""
    seen, made = history(), []
    for attempt in attempts:
        made.append(attempt)
        record = seen.begin_attempt()
        for event in EVENTS_BY_END[attempt.end]:
            record.progress.apply(event)
        if attempt.end in CANCELLED_ENDS:
            break
        record.final_end = attempt.end
        if attempt.is_cut:
            break
        answer = None
        if attempt.end is AttemptEnd.ANSWERED:
            answer = WholeAnswer(head=ServerAnswerHead(status=attempt.status, headers=()))
        report = AttemptReport(end=attempt.end, answer=answer)
        seen.note(report)
        if should_retry(seen, report):
            continue
        if answer and may_be_passed_on(seen, answer):
            return attempt.status, made
        break
    step = last_step(seen, is_started=False)
    if step is Step.PASS_ON:
        assert seen.failure is not None
        return seen.failure.head.status, made
    return STATUS_BY_STEP[step], made


@given(st.lists(ATTEMPTS, min_size=1, max_size=6))
@example([Played(AttemptEnd.ANSWERED, 503, True)])
@example([Played(AttemptEnd.REFUSED, 503, False), Played(AttemptEnd.CANCELLED, 0, True)])
@example([Played(AttemptEnd.LOST, 0, True, is_cut=True)])
def test_promised_status_means_that_no_attempt_runs(attempts: list[Played]) -> None:
    """Guards against a promise "not run" for a request that ran or still runs at a server."""
    status, made = status_after(attempts)
    assert status not in UNRUN_STATUSES or not any(each.runs for each in made)


@given(st.lists(ATTEMPTS, min_size=1, max_size=6))
def test_request_that_may_run_once_reaches_no_server_after_one_that_may_run_it(
    attempts: list[Played],
) -> None:
    _, made = status_after(attempts)
    assert not any(each.runs for each in made[:-1])


@given(st.lists(ATTEMPTS, min_size=1, max_size=4))
def test_each_attempt_that_reached_a_server_uses_up_one_of_the_routes_attempts(
    attempts: list[Played],
) -> None:
    seen = history()
    for attempt in attempts:
        record = seen.begin_attempt()
        for event in EVENTS_BY_END[attempt.end]:
            record.progress.apply(event)
        record.final_end = None if attempt.end in CANCELLED_ENDS else attempt.end
    reached = sum(MEANINGS[attempt.end].reached_server for attempt in attempts)
    assert (seen.attempts_left, seen.was_sent) == (4 - reached, reached > 0)


def test_every_end_has_a_meaning() -> None:
    assert set(MEANINGS) == set(AttemptEnd)
    assert all(meaning.reached_server or not meaning.may_run for meaning in MEANINGS.values())


@pytest.mark.parametrize(
    ("state", "end"),
    [
        (AttemptState.NOT_SENT, AttemptEnd.CANCELLED_UNSENT),
        (AttemptState.REFUSED_UNRUN, AttemptEnd.CANCELLED_UNSENT),
        (AttemptState.SENT, AttemptEnd.CANCELLED),
        (AttemptState.RUNNING, AttemptEnd.CANCELLED),
        (AttemptState.UNKNOWN, AttemptEnd.CANCELLED),
    ],
)
def test_cancelled_attempt_runs_unless_nothing_was_sent(
    state: AttemptState, end: AttemptEnd
) -> None:
    assert cancelled_end(state) is end


def test_servers_answer_with_an_unrun_status_goes_on_only_for_repeatable_requests() -> None:
    assert [may_pass_on(503, True), may_pass_on(503, False), may_pass_on(500, False)] == [
        True,
        False,
        True,
    ]
