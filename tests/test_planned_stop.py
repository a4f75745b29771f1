"""Which requests a planned stop waits for."""

import pytest

from pomelobarrow.decision.requests.planned_stop import SIGNAL_LAG_S, PlannedStop

LATE_UNTIL, FINISH_BY = 103.0, 107.0


@pytest.fixture
def stop() -> PlannedStop:
    stop = PlannedStop()
    stop.begin(LATE_UNTIL, FINISH_BY)
    return stop


def test_vm_that_does_not_stop_waits_for_every_request() -> None:
    stop = PlannedStop()
    assert not stop.has_begun
    assert stop.can_finish(1e12, 1e9)


def test_requests_of_late_clients_go_on_whatever_their_deadline(stop: PlannedStop) -> None:
    assert stop.can_finish(FINISH_BY + 60.0, LATE_UNTIL - SIGNAL_LAG_S - 0.01)


@pytest.mark.parametrize("now", [LATE_UNTIL - SIGNAL_LAG_S, LATE_UNTIL, FINISH_BY + 0.1])
def test_later_requests_go_on_if_their_deadline_is_within_the_stop(
    stop: PlannedStop, now: float
) -> None:
    assert stop.can_finish(FINISH_BY, now)
    assert not stop.can_finish(FINISH_BY + 0.01, now)


def test_stop_that_is_shorter_than_late_clients_take_is_selective_before_its_end() -> None:
    """Guards against requests that start shortly before the end of a short stop."""
    stop = PlannedStop()
    stop.begin(LATE_UNTIL, LATE_UNTIL - 2.0)
    assert not stop.can_finish(LATE_UNTIL, LATE_UNTIL - 2.0 - SIGNAL_LAG_S)


def test_last_answers_are_due_after_the_last_deadline(stop: PlannedStop) -> None:
    assert stop.answer_by_unix_s > stop.finish_by_unix_s
