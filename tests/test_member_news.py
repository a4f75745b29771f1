"""What a peer tells of members, by a clock that may differ from this VM's."""

from pomelobarrow.decision.clocks import ClockOffsets
from pomelobarrow.decision.member import Member
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.grid import LinkKind
from pomelobarrow.peers.member_news import MemberNews, SentMembers

NOW_UNIX_S = 1_000.0
HEARD_AGO_S = 9.0


def heartbeat_by_clock_ahead(ahead_s: float) -> pb.Heartbeat:
    """Return a heartbeat that tells of vm-b, from a peer whose clock differs."""
    sent_unix_s = NOW_UNIX_S + ahead_s
    told = pb.MemberSummary(
        vm="vm-b",
        incarnation=1,
        region="milan",
        phase="ready",
        heard_unix_s=sent_unix_s - HEARD_AGO_S,
    )
    return pb.Heartbeat(vm="vm-c", incarnation=1, sent_unix_s=sent_unix_s, members=[told])


def take(view: MembershipView, heartbeat: pb.Heartbeat) -> None:
    """Take in a heartbeat of a peer whose clock's offset isn't known yet."""
    sent_unix_s = ClockOffsets().sent_unix_s("vm-c", heartbeat.sent_unix_s, NOW_UNIX_S)
    MemberNews(view).take(
        heartbeat,
        SentMembers(),
        LinkKind.OTHER_REGION,
        is_sparse=False,
        now_unix_s=NOW_UNIX_S,
        sent_unix_s=sent_unix_s,
    )


def test_peer_whose_clock_is_ahead_makes_no_silent_vm_younger() -> None:
    """A VM lost its power nine seconds ago, and callers are led to it again.

    Another VM, started while its clock was ahead, opens a link here and tells when it heard the
    lost one, by its own clock; how far that is off shows only with the second heartbeat. Taken as
    a time of this VM's clock it lies in the future, and the lost VM counts as heard just now.
    """
    view = MembershipView("vm-a", "milan")
    for number in range(20):
        heard = Member(vm="vm-b", incarnation=1, region="milan", sequence=number + 1)
        view.observe_heartbeat(heard, NOW_UNIX_S - HEARD_AGO_S - 19 + number)

    take(view, heartbeat_by_clock_ahead(20.0))

    assert view.suspects(NOW_UNIX_S) == {"vm-b"}


def test_word_on_an_unknown_vm_keeps_its_age_whatever_the_peers_clock() -> None:
    view = MembershipView("vm-a", "milan")
    take(view, heartbeat_by_clock_ahead(20.0))
    [judgement] = view.changed_judgements(NOW_UNIX_S)
    assert judgement.heard_age_s == HEARD_AGO_S


def test_word_of_a_peer_whose_clock_is_behind_counts_as_older_at_most() -> None:
    # It may have waited on its way; taken for older than it is, the member is only tried later.
    view = MembershipView("vm-a", "milan")
    take(view, heartbeat_by_clock_ahead(-2.0))
    [judgement] = view.changed_judgements(NOW_UNIX_S)
    assert judgement.heard_age_s == HEARD_AGO_S + 2.0
