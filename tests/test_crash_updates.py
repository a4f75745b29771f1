"""Crashes under requests are propagated to all VMs."""

import math
from collections import Counter, deque

import pytest
from attrs import define, evolve, field

from pomelobarrow.decision.servers.crash_suspects import Crash, CrashSuspects, Suspicion
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.crash_updates import CrashUpdates
from pomelobarrow.peers.grid import neighbours

REGIONS = 5
VMS_A_REGION = 65
RELAYS = 2


@define
class Fleet:
    """Simulate the links of a fleet and deliver the messages sent."""

    views: dict[str, CrashUpdates] = field(factory=dict)
    links: dict[str, set[str]] = field(factory=dict)
    sent: deque[tuple[str, str, pb.PeerMessage]] = field(factory=deque)
    bytes_by_vm: Counter[str] = field(factory=Counter)

    def add(self, vm: str) -> None:
        def broadcast(message: pb.PeerMessage, except_vm: str) -> None:
            self.sent.extend((vm, to, message) for to in self.links[vm] if to != except_vm)

        self.views[vm] = CrashUpdates(suspects=CrashSuspects(own_vm=vm), broadcast=broadcast)

    def deliver(self) -> None:
        while self.sent:
            source, to, message = self.sent.popleft()
            self.bytes_by_vm[to] += message.ByteSize()
            self.views[to].apply(message.crash_findings, source)


def large_fleet() -> Fleet:
    """Return regions whose VMs form grids, with two VMs of each linked to two of every other."""
    fleet = Fleet()
    regions = [
        [f"vm-{region}-{index:02}" for index in range(VMS_A_REGION)] for region in range(REGIONS)
    ]
    for names in regions:
        for vm in names:
            fleet.add(vm)
            fleet.links[vm] = set(neighbours(vm, names).all)
    for names in regions:
        for relay in names[:RELAYS]:
            others = (vm for each in regions if each is not names for vm in each[:RELAYS])
            fleet.links[relay].update(others)
    return fleet


def crash(server_key: int) -> Crash:
    return Crash(fingerprint=1, server_key=server_key, ended_unix_s=now_unix_s())


def note(view: CrashUpdates, server_key: int) -> None:
    view.notify_peers(view.suspects.note(crash(server_key)))


def test_crashes_seen_in_three_regions_are_known_to_all_vms() -> None:
    """A VM that knew only its own crashes would let three servers end before it refuses."""
    fleet = large_fleet()
    for region in range(3):
        note(fleet.views[f"vm-{region}-40"], region)
    fleet.deliver()
    now = now_unix_s()
    known = {view.suspects.suspicion(1, now) for view in fleet.views.values()}
    assert known == {Suspicion.BLOCKED}


def test_a_crash_costs_each_vm_a_few_hundred_bytes() -> None:
    """In a region of 65 VMs each has sixteen neighbours, and any of them may send a finding."""
    fleet = large_fleet()
    note(fleet.views["vm-0-40"], 1)
    fleet.deliver()
    assert max(fleet.bytes_by_vm.values()) < 1_000


def test_answer_clears_the_request_everywhere() -> None:
    fleet = large_fleet()
    for key in range(3):
        note(fleet.views["vm-0-40"], key)
    fleet.deliver()
    answering = fleet.views["vm-3-20"]
    answering.notify_peers(answering.suspects.answered(1, now_unix_s()))
    fleet.deliver()
    assert not any(view.suspects.crashes() for view in fleet.views.values())


def test_newly_connected_vm_receives_all_findings() -> None:
    sender, receiver = CrashUpdates(), CrashUpdates()
    for key in range(3):
        note(sender, key)
    for message in sender.all_messages():
        receiver.apply(message.crash_findings, "vm-1")
    assert receiver.suspects.suspicion(1, now_unix_s()) is Suspicion.BLOCKED


@pytest.mark.parametrize("has_age", [True, False])
def test_crash_of_a_restarted_server_counts_at_peers(has_age: bool) -> None:
    """Peers took two crashes within a second for one, so that a fourth server crashed there."""
    sender, receiver, now = CrashUpdates(), CrashUpdates(), now_unix_s()
    for ended_unix_s in (now - 0.8, now - 0.1):
        found = Crash(
            fingerprint=1,
            server_key=7,
            ended_unix_s=ended_unix_s,
            running_unix_s=ended_unix_s - 0.1 if has_age else -math.inf,
        )
        sender.suspects.note(found)
    for message in sender.all_messages():
        receiver.apply(message.crash_findings, "vm-1")
    suspected = Suspicion.SUSPECTED if has_age else Suspicion.NONE
    assert receiver.suspects.suspicion(1, now) is suspected


def test_crashes_of_peers_that_state_no_age_count_as_one_within_a_second() -> None:
    """Guards against two crashes made of one, as observed by two VMs of an earlier release."""
    view, now = CrashUpdates(), now_unix_s()
    findings = [pb.CrashFinding(fingerprint=1, server_key=7, age_ms=age) for age in (800, 100)]
    view.apply(pb.CrashFindings(sent_unix_s=now, findings=findings), "vm-1")
    assert view.suspects.suspicion(1, now) is Suspicion.NONE


def test_findings_with_impossible_times_are_ignored() -> None:
    view = CrashUpdates()
    for sent_unix_s in (float("nan"), float("-inf"), 0.0):
        finding = pb.CrashFinding(fingerprint=1, server_key=1)
        view.apply(pb.CrashFindings(sent_unix_s=sent_unix_s, findings=[finding]), "vm-1")
    assert view.suspects.crashes() == []


def test_crashes_under_a_part_keep_their_requests_on_the_way() -> None:
    """Without them, one request that is tried on three servers would block its parts elsewhere."""
    fleet = large_fleet()
    first, *_, last = fleet.views
    for server_key in range(4):
        found = crash(server_key), evolve(crash(server_key), fingerprint=2, request_key=7)
        for each in found:
            fleet.views[first].notify_peers(fleet.views[first].suspects.note(each))
    fleet.deliver()
    now = now_unix_s()
    assert fleet.views[last].suspects.suspicion(1, now) is Suspicion.BLOCKED
    assert fleet.views[last].suspects.suspicion(2, now) is Suspicion.SUSPECTED
