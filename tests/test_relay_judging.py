"""Servers that fail or dawdle are left out, and what they do is told once."""

import pytest
from relay_harness import POOL
from test_relay_placement import server

from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.server_health import FIRST_EJECTION_S
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay import judging
from pomelobarrow.relay.events import ServerBack, ServerEjected
from pomelobarrow.relay.judging import PATIENCE_FLOOR_S, QUEUE_FACTOR, FirstAnswers, ServerJudge
from pomelobarrow.relay.messages import (
    AttemptEnd,
    AttemptReport,
    ServerAnswerHead,
    WholeAnswer,
)

S1, S2 = server("s1", "a"), server("s2", "a")
LOST = AttemptReport(end=AttemptEnd.LOST, detail="closed")
PASSED_ON = AttemptReport(end=AttemptEnd.PASSED_ON)


def judge() -> tuple[ServerJudge, LoadTable, list[object]]:
    table, events = LoadTable("a"), []
    table.set_servers((S1, S2))
    return ServerJudge(table=table, observe=events.append), table, events


def answered(status: int) -> AttemptReport:
    answer = WholeAnswer(head=ServerAnswerHead(status=status, headers=()))
    return AttemptReport(end=AttemptEnd.ANSWERED, answer=answer)


def test_ejected_server_is_back_with_its_first_answer_after_the_ejection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A server loses requests and is left out; one that was under way is still answered.

    Told as its return, that answer was followed by a second ejection that never was.
    """
    clock = [now_unix_s()]
    monkeypatch.setattr(judging, "now_unix_s", lambda: clock[0])
    by, table, events = judge()
    for _ in range(3):
        by.judge(S1, LOST, 0.1, clock[0])
    by.judge(S1, PASSED_ON, 0.1, clock[0])
    ejected = ServerEjected(server="s1", pool=POOL, detail="closed")
    assert (table.is_ejected("s1", clock[0]), events) == (True, [ejected])
    clock[0] += FIRST_EJECTION_S
    by.judge(S1, PASSED_ON, 0.1, clock[0])
    assert events == [ejected, ServerBack(server="s1", pool=POOL)]


def test_refusals_say_nothing_against_a_server() -> None:
    by, table, events = judge()
    for _ in range(20):
        by.judge(S1, AttemptReport(end=AttemptEnd.REFUSED), 0.1, now_unix_s())
    assert (table.is_ejected("s1", now_unix_s()), events) == (False, [])


def test_server_that_fails_between_successes_is_ejected() -> None:
    """Half of a server's answers are failures, in turn with successes; the other server is well.

    Never two failures in a row, so that only the comparison with the other finds it.
    """
    by, table, events = judge()
    for number in range(40):
        by.judge(S2, answered(200), 0.1, now_unix_s())
        by.judge(S1, answered(500 if number % 2 else 200), 0.1, now_unix_s())
    assert [type(event) for event in events][:1] == [ServerEjected]
    assert not table.is_ejected("s2", now_unix_s())


def test_patience_follows_what_a_route_takes() -> None:
    first = FirstAnswers()
    assert first.patience_s("r", 0.0) == PATIENCE_FLOOR_S
    for _ in range(200):
        first.learn("r", 0.5)
    assert first.patience_s("r", 0.0) == 2.0


def test_patience_lasts_over_a_known_queue() -> None:
    """A request is sent to a server with a queue of 1.3 s; the route usually answers in 0.1 s.

    Given up after 0.4 s, before its turn can have come, its place in the queue is lost, and the
    next server's queue grows by a request that has waited already.
    """
    first, expected_s = FirstAnswers(), 1.3
    first.learn("r", 0.1)
    assert first.patience_s("r", expected_s) > QUEUE_FACTOR * expected_s
