"""Updates about members from peers, whose clocks may differ from this VM's."""

from random import Random

import pytest

from pomelobarrow.decision.members.clocks import ClockOffsets
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.grid import LinkKind, Neighbours, neighbours
from pomelobarrow.peers.member_updates import (
    MAX_DESCRIPTIONS,
    MAX_KEYS_OF_PEER,
    NEIGHBOUR_REPORT_INTERVAL_S,
    REPORT_INTERVAL_S,
    MemberUpdates,
    SentMembers,
)

NOW_UNIX_S = 1_000.0
LAST_SEEN_AGO_S = 9.0


def heartbeat_by_clock_ahead(ahead_s: float) -> pb.Heartbeat:
    """Return a heartbeat that describes vm-b, from a peer whose clock differs."""
    sent_unix_s = NOW_UNIX_S + ahead_s
    summary = pb.MemberSummary(
        vm="vm-b",
        incarnation=1,
        region="milan",
        phase="ready",
        heard_unix_s=sent_unix_s - LAST_SEEN_AGO_S,
    )
    return pb.Heartbeat(vm="vm-c", incarnation=1, sent_unix_s=sent_unix_s, members=[summary])


def apply(view: MembershipView, heartbeat: pb.Heartbeat) -> None:
    """Apply a heartbeat of a peer whose clock offset isn't known yet."""
    sent_unix_s = ClockOffsets().sent_unix_s("vm-c", heartbeat.sent_unix_s, NOW_UNIX_S)
    MemberUpdates(view).apply(
        heartbeat,
        SentMembers(),
        LinkKind.OTHER_REGION,
        is_sparse=False,
        now_unix_s=NOW_UNIX_S,
        sent_unix_s=sent_unix_s,
    )


def test_peer_whose_clock_is_ahead_does_not_make_a_silent_vm_live() -> None:
    """Callers must not be sent again to a VM that lost its power nine seconds ago.

    Another VM, which started while its clock was ahead, opens a link and reports by its own clock
    when it last saw the lost VM. The offset of that clock is known only after the second heartbeat.
    Read as a time of this VM's clock, the report lies in the future, and the lost VM would count
    as seen just now.
    """
    view = MembershipView("vm-a", "milan")
    for number in range(20):
        member = Member(vm="vm-b", incarnation=1, region="milan", sequence=number + 1)
        view.observe_heartbeat(member, NOW_UNIX_S - LAST_SEEN_AGO_S - 19 + number)

    apply(view, heartbeat_by_clock_ahead(20.0))

    assert view.suspects(NOW_UNIX_S) == {"vm-b"}


def test_report_on_an_unknown_vm_keeps_its_age_whatever_the_peers_clock() -> None:
    view = MembershipView("vm-a", "milan")
    apply(view, heartbeat_by_clock_ahead(20.0))
    [status] = view.liveness_changes(NOW_UNIX_S)
    assert status.last_seen_age_s == LAST_SEEN_AGO_S


def test_report_of_a_peer_whose_clock_is_behind_counts_as_older_at_most() -> None:
    # The heartbeat may have been delayed in transit. If the report counts as older than it is, the
    # member is only tried later.
    view = MembershipView("vm-a", "milan")
    apply(view, heartbeat_by_clock_ahead(-2.0))
    [status] = view.liveness_changes(NOW_UNIX_S)
    assert status.last_seen_age_s == LAST_SEEN_AGO_S + 2.0


class Peer:
    """Simulate one VM that exchanges member updates with others."""

    def __init__(self, vm: str, members: int) -> None:
        self.view = MembershipView(vm, "milan")
        self.updates, self.sent = MemberUpdates(self.view), SentMembers()
        self.streams: dict[str, SentMembers] = {}
        for number in range(members):
            member = Member(
                vm=f"vm-{number:03d}", incarnation=1, region="milan", last_seen_unix_s=999.0
            )
            self.view.observe_summary(member, NOW_UNIX_S)

    def heartbeat(self) -> pb.Heartbeat:
        heartbeat = pb.Heartbeat(vm=self.view.own_vm, incarnation=1, sent_unix_s=NOW_UNIX_S)
        self.updates.write(heartbeat, self.sent, "other", LinkKind.COLUMN, Neighbours(), NOW_UNIX_S)
        return heartbeat

    def receive(self, heartbeat: pb.Heartbeat) -> list[int]:
        """Apply a heartbeat; return the keys of the descriptions to request."""
        self.updates.apply(
            heartbeat, self.sent, LinkKind.COLUMN, False, NOW_UNIX_S, heartbeat.sent_unix_s
        )
        return self.ask(heartbeat, NOW_UNIX_S)

    def ask(self, heartbeat: pb.Heartbeat, now_unix_s: float) -> list[int]:
        """Return the keys of the descriptions to request from a peer at a given time."""
        sent = self.streams.setdefault(heartbeat.vm, SentMembers())
        return self.updates.missing_keys(sent, heartbeat.member_keys, now_unix_s)

    def receive_answer(self, summaries: list[pb.MemberSummary], peer: str) -> None:
        """Apply a peer's answer."""
        self.updates.receive_descriptions(summaries, peer, LinkKind.COLUMN, NOW_UNIX_S, 0.0)
        self.updates.note_answered(self.streams[peer])


def test_descriptions_are_sent_once_to_a_vm_that_lacks_them() -> None:
    """A VM that joins a large fleet must not get each description from every neighbour.

    Two neighbours name the same members at the same time. The VM requests them from the first one
    only, and doesn't send either of them what it received from it.
    """
    first, second, joiner = Peer("milan-1", 60), Peer("milan-2", 60), Peer("milan-3", 0)
    wanted = joiner.receive(first.heartbeat())
    assert joiner.receive(second.heartbeat()) == []
    summaries = first.updates.describe(wanted)
    joiner.updates.receive_descriptions(summaries, "milan-1", LinkKind.COLUMN, NOW_UNIX_S, 0.0)

    assert len(summaries) == 60
    assert {each.vm for each in joiner.view.known()} == {each.vm for each in first.view.known()}
    assert not joiner.heartbeat().member_keys


def test_another_peer_is_asked_when_the_first_does_not_answer() -> None:
    first, second, joiner = Peer("milan-1", 3), Peer("milan-2", 3), Peer("milan-3", 0)
    keys = joiner.receive(first.heartbeat())
    assert joiner.ask(second.heartbeat(), NOW_UNIX_S + 1.0) == []

    assert joiner.ask(second.heartbeat(), NOW_UNIX_S + 2.0) == keys


def test_description_is_requested_again_after_a_lost_answer() -> None:
    """A VM that has long been ready must not still count as starting elsewhere, without work.

    The others received the key of its new description once from each neighbour, and requested it
    from one whose stream was closed before the answer.
    """
    first, second, joiner = Peer("milan-1", 3), Peer("milan-2", 3), Peer("milan-3", 0)
    keys = joiner.receive(first.heartbeat())
    assert joiner.receive(second.heartbeat()) == []

    assert not second.heartbeat().member_keys
    assert joiner.ask(second.heartbeat(), NOW_UNIX_S + 2.0) == keys
    joiner.receive_answer(second.updates.describe(keys), "milan-2")
    assert joiner.ask(second.heartbeat(), NOW_UNIX_S + 4.0) == []
    assert joiner.ask(first.heartbeat(), NOW_UNIX_S + 4.0) == []


def test_description_that_no_peer_holds_any_more_is_requested_once_per_peer() -> None:
    """A member's description changes before the answer, which then lacks the old key."""
    first, joiner = Peer("milan-1", 1), Peer("milan-3", 0)
    keys = joiner.receive(first.heartbeat())
    joiner.receive_answer([], "milan-1")

    assert keys
    assert joiner.ask(first.heartbeat(), NOW_UNIX_S + 60.0) == []


def test_new_description_of_a_stopped_member_is_sent() -> None:
    first, joiner = Peer("milan-1", 3), Peer("milan-3", 0)
    summaries = first.updates.describe(joiner.receive(first.heartbeat()))
    joiner.updates.receive_descriptions(summaries, "milan-1", LinkKind.COLUMN, NOW_UNIX_S, 0.0)
    first.view.observe_leave("vm-001", 1, "vm-002", NOW_UNIX_S)
    first.updates._refresh(NOW_UNIX_S, at_once=True)
    summaries = first.updates.describe(joiner.receive(first.heartbeat()))
    joiner.updates.receive_descriptions(summaries, "milan-1", LinkKind.COLUMN, NOW_UNIX_S, 0.0)

    assert [(each.vm, each.phase) for each in summaries] == [("vm-001", "left")]
    assert joiner.view.successor_of("vm-001", 1) == "vm-002"


@pytest.mark.parametrize("seed", range(5))
def test_last_seen_times_are_those_that_each_members_interval_asks_for(seed: int) -> None:
    random = Random(seed)
    vms = [f"vm-{number:02d}" for number in range(30)]
    view = MembershipView("vm-00", "milan")
    around = neighbours("vm-00", vms)
    updates = MemberUpdates(view)
    sent = {peer: SentMembers() for peer in sorted(around.all)}
    for second in range(6):
        now = NOW_UNIX_S + second
        for number, vm in enumerate(vms[1:]):
            if random.random() < 0.8:
                observe_and_note(view, updates, vm, "milan" if number % 3 else "turin", now)
        for peer, of_peer in sent.items():
            kind = around.kind(peer, same_region=True)
            before = dict(of_peer.last_seen_unix_s)
            heartbeat = pb.Heartbeat()
            updates.write(heartbeat, of_peer, peer, kind, around, now + 0.5)
            expected = expected_vms(view, before, peer, kind, around)
            assert len(heartbeat.heard_keys) == len(heartbeat.heard_ages) == len(expected)
            changed = {vm for vm, at in of_peer.last_seen_unix_s.items() if before.get(vm) != at}
            assert changed == expected


def observe_and_note(
    view: MembershipView, updates: MemberUpdates, vm: str, region: str, now: float
) -> None:
    member = Member(vm=vm, incarnation=1, region=region, sequence=int(now * 10))
    view.observe_heartbeat(member, now)
    kind = LinkKind.OTHER_REGION if region == "turin" else LinkKind.ROW
    updates.note_direct_contact(vm, kind)


def expected_vms(
    view: MembershipView,
    sent: dict[str, float],
    peer: str,
    kind: LinkKind,
    around: Neighbours,
) -> set[str]:
    """Return the members to report, chosen one by one."""
    found = set()
    for member in view.known():
        is_neighbour = member.region == "milan" and member.vm in around.all
        every_s = NEIGHBOUR_REPORT_INTERVAL_S if is_neighbour else None
        if member.region == "turin":
            every_s = REPORT_INTERVAL_S
        newer_s = view.last_seen_unix_s(member.vm) - sent.get(member.vm, 0.0)
        if every_s is not None and newer_s >= every_s and member.vm != peer:
            found.add(member.vm)
    return found


def test_keys_of_descriptions_without_end_are_left_out() -> None:
    """Guards against a faulty VM that names descriptions without end."""
    receiver, sent = Peer("milan-1", 0), SentMembers()
    for first in range(0, 4 * MAX_KEYS_OF_PEER, MAX_KEYS_OF_PEER):
        keys = range(first, first + MAX_KEYS_OF_PEER)
        heartbeat = pb.Heartbeat(vm="faulty", sent_unix_s=NOW_UNIX_S, member_keys=keys)
        receiver.updates.apply(heartbeat, sent, LinkKind.COLUMN, False, NOW_UNIX_S, NOW_UNIX_S)
        receiver.updates.missing_keys(sent, heartbeat.member_keys, NOW_UNIX_S)
    assert len(sent.known_keys) == len(sent.awaited_keys) == MAX_KEYS_OF_PEER


def test_descriptions_of_a_vm_that_starts_without_end_are_forgotten() -> None:
    """Guards against a VM each of whose starts leaves a description behind."""
    receiver = Peer("milan-1", 0)
    for incarnation in range(1, MAX_DESCRIPTIONS + 10):
        member = Member(vm="vm-b", incarnation=incarnation, region="milan")
        receiver.updates.view.observe_heartbeat(member, NOW_UNIX_S)
        receiver.updates._refresh(NOW_UNIX_S, at_once=True)
    held = receiver.updates._vm_by_description
    assert len(held) <= MAX_DESCRIPTIONS
    assert receiver.updates._description_key_by_vm["vm-b"] in held
