"""Whether this VM's list of servers may lack what was listed elsewhere."""

import math

from attrs import evolve
from datagram_vms import member, view_of

from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.streams.list_evidence import MAX_LIST_AGE_S, REFRESH_S, ListEvidence
from pomelobarrow.kernel.clock import now_unix_s

# In the region a beside a-1: a-2 and a-3; in the region b: b-1.
OWN_VM = "a-1"
STEP_S = MAX_LIST_AGE_S + REFRESH_S
KEYSPACES = ("config", "vms")


def evidence_of(view: MembershipView, *regions: str) -> ListEvidence:
    return ListEvidence(view=view, regions=regions, keyspaces=KEYSPACES)


def note_reads(evidence: ListEvidence, sent_unix_s: float) -> None:
    for each in KEYSPACES:
        evidence.note_read(each, sent_unix_s)


def test_list_is_current_while_vms_of_all_other_regions_are_seen() -> None:
    now = now_unix_s()
    evidence = evidence_of(view_of(OWN_VM), "a", "b")
    assert evidence.is_current(now)
    assert not evidence.is_current(now + STEP_S)


def test_list_is_current_while_the_store_is_read() -> None:
    now = now_unix_s()
    evidence = evidence_of(view_of(OWN_VM), "a", "b", "c")
    assert not evidence.is_current(now)
    note_reads(evidence, now)
    assert evidence.is_current(now + MAX_LIST_AGE_S)
    assert not evidence.is_current(now + STEP_S)


def test_vms_of_a_region_that_is_cut_off_do_not_confirm_each_other() -> None:
    """The VMs of a cut-off region agreed on an old list, by which a stream was joined."""
    now, view = now_unix_s(), view_of(OWN_VM)
    evidence = evidence_of(view, "a", "b")
    view.observe_heartbeat(evolve(member("a-2"), sequence=2), now + STEP_S)
    assert not evidence.is_current(now + STEP_S)


def test_other_vms_count_where_there_is_one_region() -> None:
    now = now_unix_s()
    evidence = evidence_of(view_of(OWN_VM), "a")
    assert evidence.is_current(now)
    assert not evidence.is_current(now + STEP_S)


def test_reader_of_the_store_sees_that_it_is_down() -> None:
    """Streams of VMs that ended meanwhile were refused, since no records of them had been sent."""
    now, view = now_unix_s(), view_of(OWN_VM)
    evidence = evidence_of(view, "a", "b")
    evidence.reads_store = lambda: True
    note_reads(evidence, now)
    view.observe_heartbeat(evolve(member("b-1"), sequence=2), now + STEP_S)
    assert evidence.is_current(now + MAX_LIST_AGE_S)
    assert not evidence.is_current(now + STEP_S)


def test_vm_without_peers_needs_the_store() -> None:
    evidence = evidence_of(MembershipView("c-1", "c"), "c")
    assert not evidence.is_current(now_unix_s())


def test_nothing_is_proven_before_all_keyspaces_are_read() -> None:
    """A route moved to another pool; a list of servers alone doesn't show that."""
    now, evidence = now_unix_s(), evidence_of(view_of(OWN_VM), "a", "b")
    evidence.note_read("vms", now)
    assert evidence.proven_unix_s == -math.inf
    evidence.note_read("config", now - 1.0)
    assert evidence.proven_unix_s == now - 1.0


def test_seeing_other_vms_proves_nothing() -> None:
    """They may have been cut off together with this one."""
    evidence = evidence_of(view_of(OWN_VM), "a", "b")
    assert evidence.is_current(now_unix_s())
    assert evidence.proven_unix_s == -math.inf


def test_reads_of_a_store_that_has_just_come_back_prove_nothing() -> None:
    """Its older copy lacks the servers that were listed last."""
    now, evidence = now_unix_s(), evidence_of(view_of(OWN_VM), "a", "b")
    note_reads(evidence, now)
    evidence.observe_era(1, now + 3.0)
    note_reads(evidence, now + 2.0)
    assert evidence.proven_unix_s == now
    note_reads(evidence, now + 3.0)
    assert evidence.proven_unix_s == now + 3.0
