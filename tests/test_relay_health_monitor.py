"""Servers that fail or dawdle are left out, and what they do is told once."""

import pytest
from relay_harness import POOL
from test_relay_placement import server

from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.server_health import FIRST_EJECTION_S
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay import health_monitor
from pomelobarrow.relay.events import ServerEjected, ServerReadmitted
from pomelobarrow.relay.health_monitor import (
    PATIENCE_FLOOR_S,
    QUEUE_FACTOR,
    FirstAnswers,
    ServerHealthMonitor,
)
from pomelobarrow.relay.messages import (
    AttemptEnd,
    AttemptReport,
    ServerAnswerHead,
    WholeAnswer,
)

S1, S2 = server("s1", "a"), server("s2", "a")
LOST = AttemptReport(end=AttemptEnd.LOST, detail="closed")
PASSED_ON = AttemptReport(end=AttemptEnd.PASSED_ON)


def monitor() -> tuple[ServerHealthMonitor, LoadTable, list[object]]:
    table, events = LoadTable("a"), []
    table.set_servers((S1, S2))
    return ServerHealthMonitor(table=table, observe=events.append), table, events


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
    monkeypatch.setattr(health_monitor, "now_unix_s", lambda: clock[0])
    by, table, events = monitor()
    for _ in range(3):
        by.monitor(S1, LOST, 0.1, clock[0])
    by.monitor(S1, PASSED_ON, 0.1, clock[0])
    ejected = ServerEjected(server="s1", pool=POOL, detail="closed")
    assert (table.is_ejected("s1", clock[0]), events) == (True, [ejected])
    clock[0] += FIRST_EJECTION_S
    by.monitor(S1, PASSED_ON, 0.1, clock[0])
    assert events == [ejected, ServerReadmitted(server="s1", pool=POOL)]


def test_refusals_say_nothing_against_a_server() -> None:
    by, table, events = monitor()
    for _ in range(20):
        by.monitor(S1, AttemptReport(end=AttemptEnd.REFUSED), 0.1, now_unix_s())
    assert (table.is_ejected("s1", now_unix_s()), events) == (False, [])


def test_server_that_fails_between_successes_is_ejected() -> None:
    """Half of a server's answers are failures, in turn with successes; the other server is well.

    Never two failures in a row, so that only the comparison with the other finds it.
    """
    by, table, events = monitor()
    for number in range(40):
        by.monitor(S2, answered(200), 0.1, now_unix_s())
        by.monitor(S1, answered(500 if number % 2 else 200), 0.1, now_unix_s())
    assert [type(event) for event in events][:1] == [ServerEjected]
    assert not table.is_ejected("s2", now_unix_s())


def test_patience_follows_what_a_route_takes() -> None:
    first = FirstAnswers()
    assert first.time_limit_s("r", 0.0) == PATIENCE_FLOOR_S
    for _ in range(200):
        first.learn("r", 0.5)
    assert first.time_limit_s("r", 0.0) == 2.0


def test_patience_lasts_over_a_known_queue() -> None:
    """A request is sent to a server with a queue of 1.3 s; the route usually answers in 0.1 s.

    Given up after 0.4 s, before its turn can have come, its place in the queue is lost, and the
    next server's queue grows by a request that has waited already.
    """
    first, expected_s = FirstAnswers(), 1.3
    first.learn("r", 0.1)
    assert first.time_limit_s("r", expected_s) > QUEUE_FACTOR * expected_s
