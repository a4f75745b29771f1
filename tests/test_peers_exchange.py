"""What a VM has observed of a keyspace stays until a peer's message replaces it."""

from typing import Any

import orjson
import pytest
from daemon_parts import daemon_parts

from pomelobarrow.decision.published.configuration_check import ROUTING_KEY
from pomelobarrow.decision.published.keyspace import Change, KeyspaceCopy
from pomelobarrow.decision.published.keyspace_types import MAX_KEYSPACE_BYTES
from pomelobarrow.decision.published.store_position import position
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.published.keyspaces import CONFIG, VMS, PublishedState

PEER = "milan-2"
ROUTING = {"routes": [], "pools": [], "accounts": [], "needs_account": True}
REQUEST_ALL = pb.KeyspaceRequest(name=VMS)


def server_entry(name: str, revision: int) -> Change:
    value = {"role": "backend_server", "region": "milan", "failure_domain": "milan-a"}
    value |= {"state": "ready", "address": "127.0.0.1:4", "pool": "plain"}
    return Change(revision=revision, key=f"vms/{name}", value=value | {"slots": 8})


def daemon_with_list(revision: int, *names: str) -> Context:
    """Return a daemon's components that have listed servers at a revision."""
    context = daemon_parts()
    changes = [server_entry(name, revision) for name in names]
    context.get(PublishedState).apply(VMS, changes, revision, after_revision=0, source="test")
    return context


def vm_list(context: Context) -> KeyspaceCopy:
    return context.get(PublishedState).copies[VMS]


def handle(context: Context, message: pb.PeerMessage) -> list[pb.PeerMessage]:
    """Return a daemon's replies to a message."""
    replies: list[pb.PeerMessage] = []
    context.get(Exchange).handle(message, PEER, replies.append)
    return replies


def delta(**fields: Any) -> pb.PeerMessage:
    return pb.PeerMessage(delta=pb.KeyspaceDelta(name=VMS, **fields))


def test_list_of_servers_stays_while_a_peer_that_cannot_fill_a_gap_is_asked_for_all() -> None:
    """Requests waited for a list of servers that was discarded before the new one arrived.

    The peer has listed the keyspace at 100 and knows no deletions up to there, so that it can't
    answer for the changes after 99.
    """
    behind, started = daemon_with_list(99, "a", "b"), daemon_with_list(100, "b", "c")
    copy = vm_list(behind)
    request = pb.PeerMessage(request=pb.KeyspaceRequest(name=VMS, after_revision=99))
    for expected in (request.request, REQUEST_ALL):
        (gap,) = handle(started, request)
        (request,) = handle(behind, gap)
        assert request.request == expected
        assert copy.observed_revision == 99
        assert set(behind.get(PublishedState).backend_servers) == {"a", "b"}
    (everything,) = handle(started, request)
    assert handle(behind, everything) == []
    assert copy.summary == vm_list(started).summary
    assert set(behind.get(PublishedState).backend_servers) == {"b", "c"}


def test_changes_are_taken_while_the_whole_list_is_requested() -> None:
    """The peer that was asked for all of it may be lost before it answers."""
    context = daemon_with_list(99, "a")
    for _ in range(2):
        handle(context, delta(after_revision=100, head_revision=101))
    state, added = context.get(PublishedState), server_entry("b", 100)
    assert state.apply(VMS, [added], 100, after_revision=99, source="platform").applied
    assert set(state.backend_servers) == {"a", "b"}
    handle(context, delta(head_revision=101))
    assert set(state.backend_servers) == {"a", "b"}


def test_malformed_list_of_a_later_era_discards_nothing() -> None:
    """The list that it was to replace was discarded before the new one was read."""
    context = daemon_parts()
    state, at = context.get(PublishedState), position(1, 9)
    state.apply(VMS, [server_entry("a", at)], at, after_revision=0, source="test")
    past_its_head = pb.Change(revision=5, key="vms/b", value=b"{}")
    handle(context, delta(era=2, head_revision=4, changes=[past_its_head]))
    assert vm_list(context).observed_revision == at


def test_superseded_configuration_stays_confirmable_while_all_of_it_is_requested() -> None:
    """Requests with keys were refused while the store's older copy was discarded."""
    context = daemon_parts()
    state = context.get(PublishedState)
    copy = state.copies[CONFIG]
    for at, version in ((position(1, 35), 72), (position(2, 28), 69)):
        copy.apply([Change(at, ROUTING_KEY, ROUTING | {"version": version})], at, after_revision=0)
    assert state.confirmable_revision == position(2, 28)
    gap = pb.KeyspaceDelta(name=CONFIG, era=2, after_revision=30, head_revision=31)
    for _ in range(2):
        handle(context, pb.PeerMessage(delta=gap))
    assert state.confirmable_revision == position(2, 28)


@pytest.mark.parametrize("era", [1, 2])
def test_message_without_revision_or_items_replaces_no_list(era: int) -> None:
    """The third such message of one peer emptied the list of servers."""
    context = daemon_with_list(1, "a")
    for _ in range(3):
        handle(context, delta(era=era))
        assert vm_list(context).observed_revision == 1
        assert set(context.get(PublishedState).backend_servers) == {"a"}


@pytest.mark.parametrize(
    "numbers", [{"era": 2**32 - 1, "head_revision": 7}, {"head_revision": 2**64 - 1}]
)
@pytest.mark.parametrize("name", [CONFIG, VMS])
def test_position_that_no_store_has_is_ignored(name: str, numbers: dict[str, int]) -> None:
    """It is newer than all that the store publishes, so that no change of the store counted."""
    context = daemon_with_list(1, "a")
    handle(context, pb.PeerMessage(delta=pb.KeyspaceDelta(name=name, **numbers)))
    summary = pb.KeyspaceState(
        name=name, era=numbers.get("era", 0), revision=numbers["head_revision"]
    )
    heartbeat = pb.Heartbeat(vm=PEER, incarnation=1, sequence=1, keyspaces=[summary])
    assert handle(context, pb.PeerMessage(heartbeat=heartbeat)) == []
    assert not context.get(Exchange).is_behind([PEER])
    assert vm_list(context).observed_revision == 1
    assert context.get(PublishedState).copies[CONFIG].observed_revision == 0


def test_list_of_a_peer_without_any_item_replaces_no_list_of_servers() -> None:
    """One message of a later era emptied the list, so that a VM had no server to send to."""
    context, at = daemon_with_list(position(1, 9), "a"), position(1, 9)
    for _ in range(3):
        handle(context, delta(era=2, head_revision=5))
        assert vm_list(context).observed_revision == at
        assert set(context.get(PublishedState).backend_servers) == {"a"}
    b = pb.Change(revision=6, key="vms/b", value=orjson.dumps(server_entry("b", 1).value))
    handle(context, delta(era=2, head_revision=6, changes=[b]))
    assert set(context.get(PublishedState).backend_servers) == {"b"}


def test_store_without_any_item_empties_the_list_of_servers() -> None:
    """Guards against a list that is kept although the store itself has no server any more."""
    context, at = daemon_with_list(position(1, 9), "a"), position(2, 5)
    context.get(PublishedState).apply(VMS, [], at, after_revision=0, source="platform")
    assert not context.get(PublishedState).backend_servers


def test_delta_that_no_copy_could_hold_is_not_decoded() -> None:
    """Guards against a value of a peer that takes twenty times its size, and is passed on."""
    context = daemon_with_list(99, "a")
    value = b"[" + b"[]," * (MAX_KEYSPACE_BYTES // 3) + b"[]]"
    change = pb.Change(revision=100, key="vms/large", value=value)
    assert handle(context, delta(after_revision=99, head_revision=100, changes=[change])) == []
    assert vm_list(context).observed_revision == 99


def test_waiting_work_of_pools_that_do_not_exist_is_left_out() -> None:
    """Guards against a queue, and a series of its depth, for each pool that a peer names."""
    context = daemon_with_list(99, "a")
    pools = [pb.PoolLoad(pool=name, waiting_paying=1) for name in ("plain", "none", "x" * 10_000)]
    heartbeat = pb.Heartbeat(
        vm=PEER, incarnation=1, region="milan", sent_unix_s=now_unix_s(), has_loads=True
    )
    heartbeat.pools.extend(pools)
    handle(context, pb.PeerMessage(heartbeat=heartbeat))
    assert set(context.get(LocalDispatch).queues) <= {"plain"}
