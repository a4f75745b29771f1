"""A peer that takes no connection is left out for longer each time, and no longer than seconds."""

from pomelobarrow.decision.connect_backoff import FIRST_BACKOFF_S, MAX_PAUSE_S, ConnectBackoff

NOW = 1_000.0


def pause_s(reach: ConnectBackoff, now_unix_s: float) -> float:
    """Return how long the peer stays left out, in steps of a tenth of the first pause."""
    step_s = FIRST_BACKOFF_S / 10.0
    return next(
        n * step_s for n in range(1_000) if not reach.is_left_out("b", now_unix_s + n * step_s)
    )


def test_failures_under_way_count_once() -> None:
    reach = ConnectBackoff()
    for _ in range(20):
        reach.note_connect_failure("b", NOW)
    assert pause_s(reach, NOW) == FIRST_BACKOFF_S


def test_pauses_grow_to_their_bound() -> None:
    reach, now, pauses_s = ConnectBackoff(), NOW, []
    for _ in range(6):
        reach.note_connect_failure("b", now)
        pauses_s.append(pause_s(reach, now))
        now += pauses_s[-1]
    assert pauses_s == [0.5, 1.0, 2.0, MAX_PAUSE_S, MAX_PAUSE_S, MAX_PAUSE_S]


def test_answer_ends_the_pause() -> None:
    reach = ConnectBackoff()
    reach.note_connect_failure("b", NOW)
    reach.note_connected("b")
    assert not reach.is_left_out("b", NOW)
    reach.note_connect_failure("b", NOW)
    assert pause_s(reach, NOW) == FIRST_BACKOFF_S
