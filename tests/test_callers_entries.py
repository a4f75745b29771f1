"""A caller that asks where to send is told of someone, or to ask another VM."""

from attrs import evolve
from result import Err, Ok

from pomelobarrow.callers.entries import EntryDirectory
from pomelobarrow.decision.configuration import Account
from pomelobarrow.decision.errors import ErrorKind, RunStatus
from pomelobarrow.decision.member import Member, Phase
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.request_ids import RequestIdLedger
from pomelobarrow.kernel.clock import now_unix_s

REGION = "milan"
ACCOUNT = Account(name="desk", token_sha256=(), max_requests_per_s=10.0, max_requests_in_flight=10)


def directory(phase: Phase) -> EntryDirectory:
    view = MembershipView("milan-1", REGION)
    view.observe_own(evolve(view.own, phase=phase.value))
    ledger = RequestIdLedger(vm="milan-1", incarnation=1, secret=b"secret")
    return EntryDirectory(view=view, ledger=ledger)


def test_vm_that_knows_nobody_sends_callers_to_another() -> None:
    # A VM starts, listens for callers and hasn't heard its peers yet, or leaves as the last one.
    # Asked for entry VMs it named nobody, with 200 and for ten seconds, and the caller that took
    # it at its word had nobody to send to.
    for phase in (Phase.STARTING, Phase.LEAVING):
        answer = directory(phase).answer(ACCOUNT, REGION, {})
        assert isinstance(answer, Err)
        refusal = answer.err_value
        assert (refusal.kind, refusal.run) == (ErrorKind.NOT_READY, RunStatus.NO)
        assert refusal.remedy == "ask GET /v1/entries for another entry VM"
        assert refusal.retry_at_unix_s is not None


def test_vm_that_is_starting_names_the_peers_it_heard() -> None:
    held = directory(Phase.STARTING)
    peer = Member(vm="milan-2", incarnation=1, region=REGION, caller_address="127.0.0.1:1")
    held.view.observe_heartbeat(peer, now_unix_s())
    answer = held.answer(ACCOUNT, REGION, {})
    assert isinstance(answer, Ok)
    assert [entry["vm"] for entry in answer.ok_value["entries"]] == ["milan-2"]


def test_silent_vm_of_the_own_region_is_named_no_longer_than_others_hear_of_it() -> None:
    # A VM here was heard seven seconds ago, though its pace isn't known and it may yet live; one of
    # another region is only heard of every few seconds, and goes on being named.
    held, now = directory(Phase.READY), now_unix_s()
    for vm, region in (("milan-2", REGION), ("turin-1", "turin")):
        told = Member(vm=vm, incarnation=1, region=region, last_seen_unix_s=now - 7.0)
        held.view.observe_summary(told, now)
    answer = held.answer(ACCOUNT, REGION, {})
    assert isinstance(answer, Ok)
    assert [each["vm"] for each in answer.ok_value["entries"]] == ["milan-1", "turin-1"]
