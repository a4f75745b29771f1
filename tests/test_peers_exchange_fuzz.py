"""No message of a peer makes a daemon fail or lose its state."""

import math
from typing import Any

import orjson
from daemon_parts import daemon_parts, list_server
from google.protobuf.descriptor import Descriptor, FieldDescriptor
from google.protobuf.message import Message
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.published.keyspace import KeyspaceCopy
from pomelobarrow.kernel.background import failure_observer
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.heartbeats import Heartbeats, SentUpdates
from pomelobarrow.published.keyspaces import PublishedState

NAMES = ("milan-1", "milan-2", "turin-1", "config", "vms", "classes/note", "vms/milan-2", "")
VALUES = (b"{}", b"null", b"{", b"\xff", orjson.dumps({"state": "live", "role": "entry"}))
UINT32 = st.integers(0, 2**32 - 1)
UINT64 = st.sampled_from((0, 1, 2, 3, 2**64 - 1)) | st.integers(0, 2**64 - 1)
BY_TYPE: dict[int, st.SearchStrategy[Any]] = {
    FieldDescriptor.TYPE_STRING: st.sampled_from(NAMES) | st.text(max_size=5),
    FieldDescriptor.TYPE_BYTES: st.sampled_from(VALUES) | st.binary(max_size=5),
    FieldDescriptor.TYPE_BOOL: st.booleans(),
    FieldDescriptor.TYPE_DOUBLE: st.floats(),
    FieldDescriptor.TYPE_FLOAT: st.floats(width=32),
    FieldDescriptor.TYPE_UINT32: UINT32,
    FieldDescriptor.TYPE_FIXED32: UINT32,
    FieldDescriptor.TYPE_UINT64: UINT64,
    FieldDescriptor.TYPE_FIXED64: UINT64,
}


def field_values(field: FieldDescriptor) -> st.SearchStrategy[Any]:
    """Return a strategy for one field."""
    if field.type == FieldDescriptor.TYPE_MESSAGE:
        single = fields_of(field.message_type)
    else:
        single = BY_TYPE[field.type]
    return st.lists(single, max_size=3) if field.is_repeated else single


def fields_of(descriptor: Descriptor) -> st.SearchStrategy[dict[str, Any]]:
    """Return a strategy for a message's fields."""
    optional = {field.name: field_values(field) for field in descriptor.fields}
    return st.fixed_dictionaries({}, optional=optional)


def build(kind: str, fields: dict[str, Any]) -> pb.PeerMessage:
    """Return a peer message of one kind."""
    return pb.PeerMessage(**{kind: fields})


def numbers_of(copy: KeyspaceCopy) -> tuple[int, int, int]:
    """Return the numbers of a copy that never go back."""
    return copy.observed_revision, copy.revision, copy.version


MESSAGES = st.sampled_from(list(pb.PeerMessage.DESCRIPTOR.fields)).flatmap(
    lambda field: fields_of(field.message_type).map(lambda fields: build(field.name, fields))
)


@settings(suppress_health_check=[HealthCheck.too_slow], deadline=None, max_examples=300)
@given(st.lists(st.tuples(st.sampled_from(NAMES), MESSAGES), max_size=6))
@example([("milan-1", build("delta", {"name": "vms", "era": 1}))] * 2)
def test_no_peer_message_fails_a_daemon(received: list[tuple[str, pb.PeerMessage]]) -> None:
    context = daemon_parts()
    list_server(context)
    exchange, heartbeats = context.get(Exchange), context.get(Heartbeats)
    view, published = context.get(MembershipView), context.get(PublishedState)
    own = view.own
    numbers = {name: numbers_of(copy) for name, copy in published.copies.items()}
    replies: list[Message] = []
    failures: list[object] = []
    failure_observer.set(failures.append)
    for peer_vm, message in received:
        exchange.handle(message, peer_vm, replies.append)
        for same_region in (True, False):
            heartbeats.full(peer_vm, same_region, SentUpdates())
        assert view.own == own
        for name, copy in published.copies.items():
            newest = numbers_of(copy)
            pairs = zip(newest, numbers[name], strict=True)
            assert all(new >= old for new, old in pairs)
            numbers[name] = newest
        assert all(math.isfinite(heartbeats.offsets.offset_s(vm)) for vm in NAMES)
    assert published.configuration is None
    assert failures == []
