"""A VM that starts again under its name after its system clock was set back."""

from unittest.mock import patch

import pytest
from daemon_parts import daemon_parts
from hypothesis import given, settings
from hypothesis import strategies as st

from pomelobarrow.decision.members.member import ListedVm, Phase
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.requests.issued_id import parse_issuer
from pomelobarrow.decision.requests.request_ids import ClaimKind, RequestIdLedger
from pomelobarrow.dispatch.forwarder import Forwarder
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.forward_server import ForwardServer
from pomelobarrow.peers.heartbeats import Heartbeats, SentUpdates
from pomelobarrow.peers.incarnations import MAX_INCARNATION, keep_incarnation_newest
from pomelobarrow.peers.streams import AcceptedStreams, PeerStream
from pomelobarrow.peers.table import PeerTable

VM, PEER = "milan-1", "milan-2"
SET_BACK_S = 10.0


def started(vm: str, set_back_s: float = 0.0) -> Context:
    """Return a daemon's components that start with the system clock set back."""
    incarnation = int((now_unix_s() - set_back_s) * 1e6)
    with patch("pomelobarrow.kernel.daemon.new_incarnation", lambda: incarnation):
        context = daemon_parts(vm)
    assert context.incarnation == incarnation
    return context


def exchange(first: Context, second: Context) -> None:
    """Let two daemons send each other the first heartbeat of a stream."""
    for sender, receiver in ((first, second), (second, first)):
        peer = receiver.get(MembershipView).own_vm
        heartbeat = sender.get(Heartbeats).full(peer, True, SentUpdates())
        receiver.get(Heartbeats).apply(heartbeat)


def become_ready(context: Context) -> None:
    keep_incarnation_newest(context)
    context.get(PeerTable).set_phase(Phase.READY)


def usable(context: Context) -> set[str]:
    return {member.vm for member in context.get(MembershipView).usable_entries()}


def test_vm_that_started_again_with_its_clock_set_back_is_ready_for_others() -> None:
    """Others ignored its heartbeats for ten minutes, and led no client to it."""
    peer, before = started(PEER), started(VM)
    become_ready(peer)
    become_ready(before)
    exchange(before, peer)
    assert VM in usable(peer)
    again = started(VM, SET_BACK_S)
    exchange(again, peer)
    become_ready(again)
    exchange(again, peer)
    assert peer.get(MembershipView).get(VM) == again.get(MembershipView).own
    assert again.incarnation > before.incarnation
    heartbeat = peer.get(Heartbeats).full(VM, True, SentUpdates())
    assert not heartbeat.members


def test_all_parts_of_a_vm_use_the_raised_incarnation() -> None:
    """Guards against a peer that gets "unknown" or "not run" for a forward under two numbers."""
    peer, again = started(PEER), started(VM, SET_BACK_S)
    exchange(started(VM), peer)
    exchange(again, peer)
    become_ready(again)
    ledger = again.get(RequestIdLedger)
    (request_id,) = ledger.issue("desk", 1, now_unix_s())
    assert {
        again.get(MembershipView).own.incarnation,
        again.get(ForwardServer).incarnation,
        again.get(Forwarder).own.incarnation,  # type: ignore[type-abstract,attr-defined]
        parse_issuer(request_id).unwrap().incarnation,
        *(incarnation for _, incarnation in ledger.issuers),
    } == {again.incarnation}
    assert ledger.claim(request_id, "desk", now_unix_s()).kind is ClaimKind.FRESH


def test_heartbeat_after_a_raised_incarnation_is_complete() -> None:
    """Peers ignored the complete one before, and later ones hold the changes only."""
    peer, again = started(PEER), started(VM, SET_BACK_S)
    exchange(started(VM), peer)
    stream = PeerStream(
        ListedVm(vm=PEER, region="milan"), "milan", again.get(Exchange), again.get(Heartbeats)
    )
    stream.is_up = stream._is_open = True
    again.get(AcceptedStreams).add(stream)
    sent = []
    for _ in range(2):
        stream.send_heartbeat()
        sent.append(stream._outbox.get_nowait().heartbeat.is_whole)
    exchange(again, peer)
    keep_incarnation_newest(again)
    stream.send_heartbeat()
    sent.append(stream._outbox.get_nowait().heartbeat.is_whole)
    assert sent == [True, False, True]


@pytest.mark.parametrize("known", [MAX_INCARNATION, 2**64 - 1])
def test_impossible_incarnation_is_not_outdone(known: int) -> None:
    """A broken peer's number would leave no higher one."""
    context = started(VM)
    summary = pb.MemberSummary(vm=VM, incarnation=known, region="milan")
    before = context.incarnation
    context.get(Heartbeats).apply(
        pb.Heartbeat(
            vm=PEER, incarnation=1, region="milan", sequence=1, has_loads=True, members=[summary]
        )
    )
    keep_incarnation_newest(context)
    assert context.incarnation == before


@settings(deadline=None, max_examples=30)
@given(st.lists(st.floats(-60.0, 60.0), min_size=1, max_size=5))
def test_incarnations_of_a_vm_never_fall_over_restarts_with_any_clock(steps_s: list[float]) -> None:
    peer, incarnation = started(PEER), 0
    for step_s in steps_s:
        context = started(VM, step_s)
        exchange(context, peer)
        become_ready(context)
        exchange(context, peer)
        assert context.incarnation > incarnation
        incarnation = context.incarnation
        assert peer.get(MembershipView).get(VM) == context.get(MembershipView).own
