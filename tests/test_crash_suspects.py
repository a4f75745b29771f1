"""Requests that crash servers are blocked, and others are not."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.servers.crash_suspects import (
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


def crash(
    server_key: int,
    ended_unix_s: float,
    fingerprint: int = 1,
    running_unix_s: float = -math.inf,
) -> Crash:
    return Crash(
        fingerprint=fingerprint,
        server_key=server_key,
        ended_unix_s=ended_unix_s,
        running_unix_s=running_unix_s,
    )


def blocked(own_vm: str = "vm-0", crashes: int = CRASHES_TO_BLOCK) -> CrashSuspects:
    suspects = CrashSuspects(own_vm=own_vm)
    for key in range(crashes):
        suspects.note(crash(key, 100.0))
    return suspects


def test_request_is_blocked_after_three_crashes() -> None:
    suspects = CrashSuspects()
    seen = []
    for key in range(4):
        seen.append(suspects.suspicion(1, 100.0))
        suspects.note(crash(key, 100.0))
    expected = [Suspicion.NONE, Suspicion.NONE, Suspicion.SUSPECTED, Suspicion.BLOCKED]
    assert seen == expected


def test_crash_observed_by_several_vms_counts_once() -> None:
    suspects = CrashSuspects()
    forwarded = [suspects.note(crash(7, at)) for at in (100.0, 100.1, 100.2)]
    assert [len(each) for each in forwarded] == [1, 0, 0]
    assert suspects.suspicion(1, 101.0) is Suspicion.NONE


def test_second_crash_of_a_restarted_server_with_the_same_key_counts_again() -> None:
    """Without start times of servers, one request crashed two servers in turn indefinitely."""
    suspects = CrashSuspects()
    for number in range(3):
        suspects.note(crash(7, 100.0 + 2.0 * number))
    assert suspects.suspicion(1, 105.0) is Suspicion.BLOCKED


def test_crash_of_a_server_that_restarted_within_a_second_counts_again() -> None:
    """One request crashed four servers, since two crashes of one of them counted as one."""
    suspects = CrashSuspects()
    suspects.note(crash(7, 100.0, running_unix_s=99.9))
    suspects.note(crash(8, 100.1, running_unix_s=100.0))
    forwarded = suspects.note(crash(7, 100.6, running_unix_s=100.5))
    assert len(forwarded) == 1
    assert suspects.suspicion(1, 101.0) is Suspicion.BLOCKED


@pytest.mark.parametrize("running_unix_s", [99.0, 100.0, 100.2, -math.inf])
def test_request_that_was_sent_while_a_crash_was_detected_is_no_second_crash(
    running_unix_s: float,
) -> None:
    """VMs that lose requests to one crash report it within a second of each other."""
    suspects = CrashSuspects()
    suspects.note(crash(7, 100.0, running_unix_s=99.9))
    assert suspects.note(crash(7, 100.6, running_unix_s=running_unix_s)) == ()
    assert suspects.suspicion(1, 101.0) is Suspicion.NONE


def test_other_requests_on_a_crashed_server_are_not_suspected() -> None:
    """Each crashed server was running nineteen other requests, different ones each time."""
    suspects = CrashSuspects()
    for key in range(3):
        for other in range(19):
            suspects.note(crash(key, 100.0 + key, fingerprint=100 + 19 * key + other))
        suspects.note(crash(key, 100.0 + key))
    assert suspects.suspicion(1, 104.0) is Suspicion.BLOCKED
    assert all(suspects.suspicion(100 + other, 104.0) is Suspicion.NONE for other in range(57))


def test_request_answered_shortly_before_a_rack_failure_is_not_suspected() -> None:
    """Three servers of a rack failed at the same time while running the same status check."""
    suspects = CrashSuspects()
    suspects.answered(1, 95.0)
    forwarded = [suspects.note(crash(key, 100.0)) for key in range(3)]
    assert suspects.suspicion(1, 100.0) is Suspicion.NONE
    assert all(isinstance(each, Answered) for findings in forwarded for each in findings)


def test_answer_reported_by_a_peer_clears_a_blocked_request() -> None:
    suspects = blocked()
    answered = Answered(fingerprint=1, answered_unix_s=101.0)
    assert suspects.note(answered) == (answered,)
    assert suspects.note(answered) == ()
    assert suspects.suspicion(1, 102.0) is Suspicion.NONE


def test_answer_long_before_the_crashes_clears_nothing() -> None:
    """A new server version crashes on a request that the old version answered."""
    suspects = CrashSuspects()
    suspects.answered(1, 100.0 - ANSWER_CLEARS_FOR_S - 1.0)
    for key in range(3):
        suspects.note(crash(key, 100.0))
    assert suspects.suspicion(1, 100.0) is Suspicion.BLOCKED


def test_one_vm_at_a_time_runs_a_trial_of_a_blocked_request() -> None:
    """All VMs receive the request every second; each trial may crash a server."""
    views = [blocked(vm) for vm in VMS]
    after_s = TRIAL_AFTER_S[CRASHES_TO_BLOCK]
    trials = [
        (second, view.own_vm)
        for second in range(200)
        for view in views
        if view.try_start_trial(1, VMS, 100.0 + second)
    ]
    seconds = [second for second, _ in trials]
    assert seconds == [int(after_s + turn * TRIAL_TURN_S) for turn in range(len(VMS))]
    assert {vm for _, vm in trials} == set(VMS)


def test_rarely_sent_blocked_request_gets_a_trial() -> None:
    """A request sent once a minute, to another VM each time, missed the only turn of each VM."""
    views = [blocked(vm) for vm in VMS]
    trials = [
        minute
        for minute in range(2, 50)
        if views[minute % len(VMS)].try_start_trial(1, VMS, 100.0 + 60.0 * minute + minute)
    ]
    assert trials


def test_trials_of_a_crashing_request_crash_at_most_two_more_servers() -> None:
    views = [blocked(vm) for vm in VMS]
    ended = 0
    for second in range(int(CRASH_RETENTION_S)):
        for view in views:
            if view.try_start_trial(1, VMS, 100.0 + second):
                ended += 1
                for other in views:
                    other.note(crash(100 + ended, 100.0 + second))
    assert ended == len(TRIAL_AFTER_S)


def test_wrongly_blocked_request_is_cleared_by_its_first_trial() -> None:
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


def test_blocked_request_is_dropped_after_an_hour() -> None:
    suspects = blocked(crashes=8)
    assert suspects.suspicion(1, 99.0 + CRASH_RETENTION_S) is Suspicion.BLOCKED
    assert suspects.suspicion(1, 101.0 + CRASH_RETENTION_S) is Suspicion.NONE
    assert suspects.crashes() == []


def test_changing_bodies_do_not_evict_a_blocked_request() -> None:
    """A caller crashes servers with a different body each time to exhaust the table."""
    suspects = blocked()
    for number in range(3 * MAX_SUSPECTS):
        suspects.note(crash(number, 101.0 + number / 1e3, fingerprint=1_000 + number))
    assert suspects.suspicion(1, 200.0) is Suspicion.BLOCKED
    assert len(suspects.crashes()) <= MAX_SUSPECTS + CRASHES_TO_BLOCK


def test_number_of_stored_answers_is_bounded() -> None:
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
def test_forwarding_of_findings_between_vms_terminates(findings: list[object]) -> None:
    """VMs forward findings new to them, and clock differences change the time at each hop."""
    views = [CrashSuspects(own_vm=vm) for vm in VMS[:3]]
    waiting = [(0, each) for each in findings]
    handled = 0
    while waiting:
        index, finding = waiting.pop()
        handled += 1
        assert handled < 2_000
        for new in views[index].note(finding):  # type: ignore[arg-type]
            later = _shifted(new, 0.003)
            waiting += [(other, later) for other in range(3) if other != index]


def _shifted(finding: object, by_s: float) -> object:
    if isinstance(finding, Answered):
        return Answered(
            fingerprint=finding.fingerprint, answered_unix_s=finding.answered_unix_s + by_s
        )
    assert isinstance(finding, Crash)
    return crash(finding.server_key, finding.ended_unix_s + by_s, finding.fingerprint)
