"""The view of the entry VMs: which are live or suspect, and their successors."""

import random
from collections import Counter

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pomelobarrow.decision.common.rendezvous import rendezvous
from pomelobarrow.decision.members.heartbeat_timer import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    UNKNOWN_INTERVAL_TIMEOUT_S,
    HeartbeatTimer,
)
from pomelobarrow.decision.members.member import ListedVm, Member, Phase
from pomelobarrow.decision.members.member_roles import relays, watchers
from pomelobarrow.decision.members.membership import (
    MAX_MEMBERS,
    MAX_TEXT_CHARACTERS,
    SUCCESSORS_KEPT,
    MembershipView,
)

VMS = ("vm-b", "vm-c")
vms = st.sampled_from(VMS)
PHASES = [phase.value for phase in Phase]


def member(vm="vm-b", incarnation=1, sequence=1, phase="ready", **fields):
    fields = {"region": "milan", **fields}
    return Member(vm=vm, incarnation=incarnation, sequence=sequence, phase=phase, **fields)


def view_of(*members, now_unix_s=100.0):
    view = MembershipView("vm-a", "milan")
    for each in members:
        view.observe_heartbeat(each, now_unix_s)
    return view


def live_names(view, now_unix_s, region=None):
    return {each.vm for each in view.live_peers(region, now_unix_s)}


class ViewFollowsEvidence(RuleBasedStateMachine):
    """One daemon receives heartbeats, old messages and reports, and pauses now and then."""

    def __init__(self):
        super().__init__()
        self.now_unix_s = 1_000.0
        self.view = view_of()
        self.incarnation = dict.fromkeys(VMS, 1)
        self.sequence = Counter()
        # When a VM was last seen by anyone and by this daemon, and when this daemon last resumed.
        self.last_seen, self.direct = {}, {}
        self.resumed_unix_s = 0.0
        self.best = dict.fromkeys(VMS, (0, 0))

    @rule(vm=vms, phase=st.sampled_from(PHASES[:3]))
    def heartbeat(self, vm, phase):
        self.sequence[vm] += 1
        sent = member(vm, self.incarnation[vm], self.sequence[vm], phase)
        assert self.view.observe_heartbeat(sent, self.now_unix_s)
        self.last_seen[vm] = self.direct[vm] = self.now_unix_s

    @rule(vm=vms, phase=st.sampled_from(PHASES), age_s=st.sampled_from([0.0, 20.0, 700.0]))
    def seen_by_peer(self, vm, phase, age_s):
        last_seen_unix_s = self.now_unix_s - age_s
        reported = member(vm, self.incarnation[vm], 0, phase, last_seen_unix_s=last_seen_unix_s)
        if self.view.observe_summary(reported, self.now_unix_s):
            assert age_s < self.view.forget_after_s
            self.last_seen[vm] = max(self.last_seen.get(vm, 0.0), last_seen_unix_s)

    @rule(vm=vms)
    def late_messages_change_nothing(self, vm):
        incarnation = self.incarnation[vm] - 1
        before = self.view.get(vm)
        if vm in self.direct and before is not None and before.sequence:
            again = member(vm, before.incarnation, before.sequence)
            assert not self.view.observe_heartbeat(again, self.now_unix_s)
        if before is not None and before.incarnation > incarnation:
            old = member(vm, incarnation, 999, "ready", last_seen_unix_s=self.now_unix_s)
            assert not self.view.observe_heartbeat(old, self.now_unix_s)
            assert not self.view.observe_summary(old, self.now_unix_s)
            assert self.view.get(vm) == before

    @rule(vm=vms)
    def restart(self, vm):
        self.incarnation[vm] += 1
        self.sequence[vm] = 0
        self.direct.pop(vm, None)

    @rule(step_s=st.sampled_from([0.5, 1.0, 4.0, 20.0, 650.0]))
    def time_passes(self, step_s):
        self.now_unix_s += step_s
        for vm in self.view.forget(self.now_unix_s):
            self.best[vm] = (0, 0)

    @rule(gap_s=st.sampled_from([10.0, 100.0, -30.0]))
    def sleep(self, gap_s):
        before = live_names(self.view, self.now_unix_s)
        self.now_unix_s += gap_s
        self.view.observe_pause(self.now_unix_s, abs(gap_s))
        assert live_names(self.view, self.now_unix_s) >= before
        self.resumed_unix_s = self.now_unix_s
        if gap_s < 0:
            # Times taken before the clock was set back can't be compared with later ones.
            self.direct.clear()
            self.last_seen = {vm: min(at, self.now_unix_s) for vm, at in self.last_seen.items()}

    @invariant()
    def newest_incarnation_and_latest_phase_are_kept(self):
        for vm in VMS:
            known = self.view.get(vm)
            if known is not None:
                progress = (known.incarnation, PHASES.index(known.phase))
                assert progress >= self.best[vm]
                self.best[vm] = progress

    @invariant()
    def members_are_live_exactly_while_not_silent(self):
        live = live_names(self.view, self.now_unix_s)
        assert not live & self.view.suspects(self.now_unix_s)
        for vm in VMS:
            known = self.view.get(vm)
            if known is None or known.phase == Phase.LEFT.value:
                assert vm not in live
            elif 0 <= self.now_unix_s - self.direct.get(vm, 0.0) <= MIN_TIMEOUT_S:
                assert vm in live
            elif self.now_unix_s - max(self.last_seen[vm], self.resumed_unix_s) > MAX_TIMEOUT_S:
                assert vm not in live


TestViewFollowsEvidence = ViewFollowsEvidence.TestCase


def test_view_is_untrusted_after_a_pause_until_each_member_sent_a_heartbeat_or_timed_out():
    # The daemon pauses for a minute while its peers go on. By the clock alone all of them would be
    # dead, and it would take over their work.
    view = view_of(member("vm-b"), member("vm-c"))
    view.observe_pause(160.0, 60.0)
    assert live_names(view, 160.0) == {"vm-b", "vm-c"}
    assert not view.is_trusted(160.0)
    view.observe_heartbeat(member("vm-b", sequence=2), 161.0)
    assert not view.is_trusted(161.0)
    # Each member has sent one heartbeat, so its interval is unknown.
    assert view.is_trusted(160.0 + UNKNOWN_INTERVAL_TIMEOUT_S + 0.1)
    assert live_names(view, 160.0 + UNKNOWN_INTERVAL_TIMEOUT_S + 0.1) == {"vm-b"}


def test_member_dead_before_a_pause_stays_dead():
    view = view_of(member())
    view.observe_pause(200.0, 60.0)
    assert view.suspects(200.0) == {"vm-b"}


def test_reports_count_again_after_the_clock_was_set_back():
    view = view_of()
    view.observe_summary(member(last_seen_unix_s=5_000.0), 5_000.0)
    view.observe_pause(1_000.0, 4_000.0)
    view.observe_summary(member(last_seen_unix_s=1_020.0), 1_020.0)
    assert live_names(view, 1_021.0) == {"vm-b"}


def test_planned_stop_names_the_successor_for_that_incarnation_only():
    view = view_of(member())
    view.observe_leave("vm-b", 1, "vm-c", 101.0)
    view.observe_heartbeat(member(sequence=2), 102.0)
    assert live_names(view, 102.0) == set()
    view.observe_heartbeat(member(incarnation=2), 103.0)
    assert live_names(view, 103.0) == {"vm-b"}
    assert view.successor_of("vm-b", 1) == "vm-c"
    assert view.successor_of("vm-b", 2) is None


@pytest.mark.parametrize(
    ("phase", "listed_leaving", "usable"),
    [
        pytest.param("ready", False, True, id="ready"),
        pytest.param("starting", False, False, id="starting"),
        pytest.param("leaving", False, False, id="says it leaves"),
        pytest.param("ready", True, False, id="listed as leaving"),
    ],
)
def test_callers_are_sent_to_ready_members_that_stay(phase, listed_leaving, usable):
    view = view_of(member(phase=phase))
    view.observe_listed([ListedVm(vm="vm-b", leaving=listed_leaving), ListedVm(vm="vm-z")])
    assert ("vm-b" in {each.vm for each in view.usable_entries(None, 100.0)}) == usable
    assert [each.vm for each in view.contacts(100.0)] == ["vm-z"]


def test_replaced_members_are_forgotten():
    view = view_of()
    for number in range(62_000):
        now_unix_s = number * 500.0
        view.observe_heartbeat(member(f"vm-{number}", number + 1), now_unix_s)
        view.observe_leave(f"vm-{number}", number + 1, "vm-z", now_unix_s)
        if number % 10 == 0:
            view.forget(now_unix_s)
    view.forget(now_unix_s + 4_000.0)
    assert view.known() == ()
    assert view.successor_of("vm-61999", 62_000) is None


@pytest.mark.parametrize(("interval_s", "within_s"), [(0.5, 2.6), (1.0, 5.0), (3.0, 15.0)])
def test_silence_is_detected_relative_to_the_heartbeat_interval(interval_s, within_s):
    rng = random.Random(7)
    timer = HeartbeatTimer()
    now_unix_s, false_alarms = 0.0, 0
    for _ in range(2_000):
        now_unix_s += interval_s * rng.uniform(0.7, 1.3) * (2 if rng.random() < 0.02 else 1)
        false_alarms += timer.is_overdue(now_unix_s)
        timer.observe_heartbeat(now_unix_s)
        timer.observe_heartbeat(now_unix_s + 0.001)
        now_unix_s += 0.001
    assert false_alarms == 0
    assert timer.is_overdue(now_unix_s + within_s)


@pytest.mark.parametrize(
    ("intervals_s", "least_s", "most_s"),
    [
        pytest.param([1.0] * 20 + [5.0] + [0.0] * 30, 3.0, 9.0, id="a burst after a stall"),
        pytest.param([1.0] * 20 + [100.0] + [1.0] * 4, 3.0, 5.0, id="a long silence"),
        pytest.param(([0.4] * 9 + [2.9]) * 5, 2.9, 6.0, id="an uneven pace"),
    ],
)
def test_timeout_follows_the_interval_and_ignores_outliers(intervals_s, least_s, most_s):
    timer = HeartbeatTimer()
    now_unix_s = 0.0
    for interval_s in intervals_s:
        now_unix_s += interval_s
        timer.observe_heartbeat(now_unix_s)
    assert least_s <= timer.timeout_s <= most_s


def test_report_does_not_extend_the_timeout_of_a_member_with_direct_heartbeats():
    view = view_of()
    for second in range(10):
        view.observe_heartbeat(member(sequence=second + 1), 100.0 + second)
    view.observe_summary(member(last_seen_unix_s=110.0), 110.0)
    assert view.suspects(115.0) == {"vm-b"}


def test_watchers_and_relays_agree_across_vms_and_span_failure_domains():
    members = [member(f"vm-{n}", failure_domain=f"d{n % 3}") for n in range(12)]
    views = [MembershipView(each.vm, "milan") for each in members]
    for view, own in zip(views, members, strict=True):
        view.observe_own(own)
        for each in members:
            view.observe_heartbeat(each, 100.0)
    for choose in (watchers, lambda view, region: relays(view, region, "turin")):
        choices = {tuple(each.vm for each in choose(view, "milan")) for view in views}
        assert len(choices) == 1
        assert len({each.failure_domain for each in choose(views[0], "milan")}) == 2


def test_lost_member_moves_only_its_own_keys():
    names = [f"vm-{n}" for n in range(10)]
    keys = [f"key-{n}" for n in range(1_000)]
    before = {key: rendezvous(key, names, 1) for key in keys}
    moved = [key for key in keys if rendezvous(key, names[1:], 1) != before[key]]
    assert moved == [key for key in keys if before[key] == ("vm-0",)]
    assert 50 < len(moved) < 150


def test_late_heartbeat_does_not_revive_a_silent_member() -> None:
    """A member falls silent; another VM reports that it was seen a while ago.

    The member's last heartbeat, sent before the silence and delayed on the network, arrives again.
    If it counted as new, the member would be live again and get requests.
    """
    view = MembershipView("vm-a", "milan")
    heartbeat = Member(vm="vm-b", incarnation=1, region="milan", phase="starting", sequence=1)
    assert view.observe_heartbeat(heartbeat, 1_000.0)
    report = Member(
        vm="vm-b", incarnation=1, region="milan", phase="starting", last_seen_unix_s=1_000.0
    )
    view.observe_summary(report, 1_020.0)
    assert not view.observe_heartbeat(heartbeat, 1_020.0)


def test_vm_that_stops_with_an_unknown_interval_is_silent_within_seconds() -> None:
    """Work is forwarded to a VM without power for fifteen seconds.

    The VM starts, sends two or three heartbeats and loses power. With its interval still unknown it
    was given the maximum timeout, and each request forwarded to it failed and came back.
    """
    for heartbeats in (1, 2, 3):
        view = view_of(member("vm-b", sequence=1))
        for number in range(1, heartbeats):
            view.observe_heartbeat(member("vm-b", sequence=1 + number), 100.0 + number)
        last_unix_s = 100.0 + heartbeats - 1
        assert view.suspects(last_unix_s + UNKNOWN_INTERVAL_TIMEOUT_S) == set()
        assert view.suspects(last_unix_s + UNKNOWN_INTERVAL_TIMEOUT_S + 0.1) == {"vm-b"}


def test_member_whose_stream_was_closed_does_not_count_as_silent() -> None:
    """Ready VMs of other regions count as dead for some seconds after a fleet has started.

    All VMs connect to each other at first. Then most streams between regions are closed, and the
    next report about those VMs arrives through a relay, later than their next heartbeat would have.
    """
    view = view_of()
    for second in range(10):
        view.observe_heartbeat(member(sequence=second + 1), 100.0 + second)
    view.observe_link_closed("vm-b", 109.0)

    assert view.suspects(109.0 + MAX_TIMEOUT_S) == set()
    assert view.suspects(109.0 + MAX_TIMEOUT_S + 0.1) == {"vm-b"}


def test_reports_of_a_member_whose_stream_was_closed_count_at_once() -> None:
    view = view_of()
    view.observe_heartbeat(member(sequence=1), 100.0)
    view.observe_link_closed("vm-b", 100.5)

    assert view.observe_last_seen("vm-b", 1, 101.0, 104.0, reported_by="vm-c")
    assert view.last_seen_unix_s("vm-b") == 101.0


def test_member_that_sends_heartbeats_again_has_their_timeout_again() -> None:
    view = view_of()
    view.observe_heartbeat(member(sequence=1), 100.0)
    view.observe_link_closed("vm-b", 100.5)
    view.observe_heartbeat(member(sequence=2), 101.0)

    assert view.suspects(101.0 + UNKNOWN_INTERVAL_TIMEOUT_S + 0.1) == {"vm-b"}


def test_closing_a_stream_does_not_revive_a_silent_member() -> None:
    view = view_of()
    view.observe_heartbeat(member(sequence=1), 100.0)
    assert view.suspects(106.0) == {"vm-b"}
    view.observe_link_closed("vm-b", 106.0)

    assert view.suspects(106.0) == {"vm-b"}


@pytest.mark.parametrize("way", ["heartbeat", "summary"])
def test_members_without_end_are_left_out(way):
    """Guards against a faulty VM that describes VMs without end, which all VMs pass on."""
    view = view_of(member("vm-b"))
    observe = view.observe_heartbeat if way == "heartbeat" else view.observe_summary
    for number in range(2 * MAX_MEMBERS):
        observe(member(f"new-{number}", last_seen_unix_s=100.0), 100.0)
    assert len(view.known()) == MAX_MEMBERS
    assert view.observe_heartbeat(member("vm-b", sequence=2), 101.0)
    assert view.observe_heartbeat(member("vm-b", incarnation=2), 101.0)


@pytest.mark.parametrize("field", ["vm", "region", "peer_address", "phase", "successor"])
def test_member_with_a_long_description_is_left_out(field):
    """Guards against a description of megabytes, which all VMs pass on."""
    view = view_of()
    fields = {"vm": "vm-b", field: "x" * (MAX_TEXT_CHARACTERS + 1)}
    assert not view.observe_heartbeat(member(**fields), 100.0)
    assert not view.observe_summary(member(**fields, last_seen_unix_s=100.0), 100.0)
    assert view.known() == ()


def test_successors_without_end_replace_those_that_were_learned_first():
    """Guards against a faulty VM that announces stops without end."""
    view = view_of()
    for number in range(2 * SUCCESSORS_KEPT):
        view.observe_leave(f"vm-{number}", 1, "vm-c", 100.0)
    view.observe_leave("vm-b", 1, "x" * (MAX_TEXT_CHARACTERS + 1), 100.0)
    assert len(view._handovers) == SUCCESSORS_KEPT
    assert view.successor_of("vm-0", 1) is None
    assert view.successor_of(f"vm-{2 * SUCCESSORS_KEPT - 1}", 1) == "vm-c"
    assert view.successor_of("vm-b", 1) is None
