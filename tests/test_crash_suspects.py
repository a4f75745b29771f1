"""Which requests run no more, judged from crashes and answers."""

from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.crash_suspects import (
    ANSWER_CLEARS_FOR_S,
    CRASH_RETENTION_S,
    CRASHES_TO_BLOCK,
    MAX_ANSWERED,
    MAX_SUSPECTS,
    TRIAL_AFTER_S,
    TRIAL_TURN_S,
    Answered,
    Crash,
    CrashSuspects,
    Suspicion,
)

VMS = tuple(f"vm-{number}" for number in range(7))


def crash(server_key: int, ended_unix_s: float, fingerprint: int = 1) -> Crash:
    return Crash(fingerprint=fingerprint, server_key=server_key, ended_unix_s=ended_unix_s)


def blocked(own_vm: str = "vm-0", crashes: int = CRASHES_TO_BLOCK) -> CrashSuspects:
    suspects = CrashSuspects(own_vm=own_vm)
    for key in range(crashes):
        suspects.note(crash(key, 100.0))
    return suspects


def test_request_is_blocked_from_the_third_server_on() -> None:
    suspects = CrashSuspects()
    seen = []
    for key in range(4):
        seen.append(suspects.suspicion(1, 100.0))
        suspects.note(crash(key, 100.0))
    expected = [Suspicion.NONE, Suspicion.NONE, Suspicion.SUSPECTED, Suspicion.BLOCKED]
    assert seen == expected


def test_server_that_several_vms_saw_end_counts_once() -> None:
    suspects = CrashSuspects()
    told = [suspects.note(crash(7, at)) for at in (100.0, 100.1, 100.2)]
    assert [len(each) for each in told] == [1, 0, 0]
    assert suspects.suspicion(1, 101.0) is Suspicion.NONE


def test_server_that_comes_back_under_its_name_and_ends_again_counts_again() -> None:
    """Where nobody tells when a server started, two servers ended by turns without an end."""
    suspects = CrashSuspects()
    for number in range(3):
        suspects.note(crash(7, 100.0 + 2.0 * number))
    assert suspects.suspicion(1, 105.0) is Suspicion.BLOCKED


def test_requests_beside_the_crashing_one_stay_clear() -> None:
    """Each server that ended had nineteen others on it, new ones each time."""
    suspects = CrashSuspects()
    for key in range(3):
        for other in range(19):
            suspects.note(crash(key, 100.0 + key, fingerprint=100 + 19 * key + other))
        suspects.note(crash(key, 100.0 + key))
    assert suspects.suspicion(1, 104.0) is Suspicion.BLOCKED
    assert all(suspects.suspicion(100 + other, 104.0) is Suspicion.NONE for other in range(57))


def test_request_that_was_answered_shortly_before_a_rack_ends_is_not_blamed() -> None:
    """Three servers of a rack ended at once, each with the same status check on it."""
    suspects = CrashSuspects()
    suspects.answered(1, 95.0)
    told = [suspects.note(crash(key, 100.0)) for key in range(3)]
    assert suspects.suspicion(1, 100.0) is Suspicion.NONE
    assert all(isinstance(each, Answered) for findings in told for each in findings)


def test_answer_that_a_peer_tells_of_clears_a_blocked_request() -> None:
    suspects = blocked()
    answered = Answered(fingerprint=1, answered_unix_s=101.0)
    assert suspects.note(answered) == (answered,)
    assert suspects.note(answered) == ()
    assert suspects.suspicion(1, 102.0) is Suspicion.NONE


def test_answer_long_before_the_crashes_clears_nothing() -> None:
    """A new version of the servers ends under what the old one answered."""
    suspects = CrashSuspects()
    suspects.answered(1, 100.0 - ANSWER_CLEARS_FOR_S - 1.0)
    for key in range(3):
        suspects.note(crash(key, 100.0))
    assert suspects.suspicion(1, 100.0) is Suspicion.BLOCKED


def test_one_vm_at_a_time_tries_a_blocked_request_again() -> None:
    """All VMs see the request each second; each trial that isn't answered ends a server."""
    views = [blocked(vm) for vm in VMS]
    after_s = TRIAL_AFTER_S[CRASHES_TO_BLOCK]
    let_through = [
        (second, view.own_vm)
        for second in range(200)
        for view in views
        if view.try_start_trial(1, VMS, 100.0 + second)
    ]
    seconds = [second for second, _ in let_through]
    assert seconds == [int(after_s + turn * TRIAL_TURN_S) for turn in range(len(VMS))]
    assert {vm for _, vm in let_through} == set(VMS)


def test_blocked_request_that_comes_seldom_gets_its_trial() -> None:
    """It comes once a minute, at another VM each time, and missed the one turn of each."""
    views = [blocked(vm) for vm in VMS]
    trials = [
        minute
        for minute in range(2, 50)
        if views[minute % len(VMS)].try_start_trial(1, VMS, 100.0 + 60.0 * minute + minute)
    ]
    assert trials


def test_crashing_request_ends_two_more_servers_at_most_by_trials() -> None:
    views = [blocked(vm) for vm in VMS]
    ended = 0
    for second in range(int(CRASH_RETENTION_S)):
        for view in views:
            if view.try_start_trial(1, VMS, 100.0 + second):
                ended += 1
                for other in views:
                    other.note(crash(100 + ended, 100.0 + second))
    assert ended == len(TRIAL_AFTER_S)


def test_innocent_request_that_was_blocked_is_cleared_by_its_first_trial() -> None:
    views = [blocked(vm) for vm in VMS]
    second, view = next(
        (second, view)
        for second in range(int(CRASH_RETENTION_S))
        for view in views
        if view.try_start_trial(1, VMS, 100.0 + second)
    )
    assert second <= TRIAL_AFTER_S[CRASHES_TO_BLOCK] + len(VMS) * TRIAL_TURN_S
    for finding in view.answered(1, 100.0 + second):
        for other in views:
            other.note(finding)
    assert all(each.suspicion(1, 101.0 + second) is Suspicion.NONE for each in views)


def test_blocked_request_is_forgotten_after_an_hour() -> None:
    suspects = blocked(crashes=8)
    assert suspects.suspicion(1, 99.0 + CRASH_RETENTION_S) is Suspicion.BLOCKED
    assert suspects.suspicion(1, 101.0 + CRASH_RETENTION_S) is Suspicion.NONE
    assert suspects.crashes() == []


def test_bodies_that_change_each_time_push_no_blocked_request_out() -> None:
    """A caller ends servers with another body each time, to use up the memory."""
    suspects = blocked()
    for number in range(3 * MAX_SUSPECTS):
        suspects.note(crash(number, 101.0 + number / 1e3, fingerprint=1_000 + number))
    assert suspects.suspicion(1, 200.0) is Suspicion.BLOCKED
    assert len(suspects.crashes()) <= MAX_SUSPECTS + CRASHES_TO_BLOCK


def test_answers_are_kept_up_to_a_bound() -> None:
    suspects = CrashSuspects()
    for number in range(2 * MAX_ANSWERED):
        suspects.answered(number, 100.0 + number / 1e4)
    assert len(suspects._answered) == MAX_ANSWERED


FINDINGS = st.lists(
    st.builds(crash, st.integers(0, 3), st.floats(90.0, 130.0), st.integers(1, 2))
    | st.builds(
        lambda fingerprint, at: Answered(fingerprint=fingerprint, answered_unix_s=at),
        st.integers(1, 2),
        st.floats(90.0, 130.0),
    ),
    max_size=30,
)


@given(FINDINGS)
def test_findings_that_go_round_between_vms_come_to_an_end(findings: list[object]) -> None:
    """Each VM passes on what is new to it; clocks that differ give it another time each hop."""
    views = [CrashSuspects(own_vm=vm) for vm in VMS[:3]]
    waiting = [(0, each) for each in findings]
    handled = 0
    while waiting:
        place, finding = waiting.pop()
        handled += 1
        assert handled < 2_000
        for news in views[place].note(finding):  # type: ignore[arg-type]
            later = _shifted(news, 0.003)
            waiting += [(other, later) for other in range(3) if other != place]


def _shifted(finding: object, by_s: float) -> object:
    if isinstance(finding, Answered):
        return Answered(
            fingerprint=finding.fingerprint, answered_unix_s=finding.answered_unix_s + by_s
        )
    assert isinstance(finding, Crash)
    return crash(finding.server_key, finding.ended_unix_s + by_s, finding.fingerprint)
