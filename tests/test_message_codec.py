"""Messages of peers that are decoded, and those that are not."""

import pytest

from pomelobarrow.kernel.background import failure_observer
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.message_codec import (
    BoundedCodec,
    MessageRefusedError,
    PeerMessageRefused,
)
from pomelobarrow.peers.peer_limits import (
    MAX_CALL_BYTES,
    MAX_ITEMS,
    MAX_UPDATE_BYTES,
    MAX_UPDATE_ITEMS,
)

LONG_KEYS = range(MAX_UPDATE_BYTES // 4 + 1)
LARGE_VALUE = bytes(2 * MAX_UPDATE_BYTES)
REFUSED = {
    "long heartbeat": pb.PeerMessage(heartbeat=pb.Heartbeat(member_keys=LONG_KEYS)),
    "long name": pb.PeerMessage(leave=pb.Leave(vm="x" * (MAX_UPDATE_BYTES + 1))),
    "long call": pb.CancelRequest(request_id="x" * (MAX_CALL_BYTES + 1)),
    "many changes": pb.PeerMessage(
        delta=pb.KeyspaceDelta(changes=[pb.Change()] * (MAX_UPDATE_ITEMS + 1))
    ),
    "many entries": pb.HandOverRequest(entries=[pb.LedgerEntry()] * (MAX_ITEMS + 1)),
    "many headers": pb.ForwardEvent(head=pb.Head(headers=[pb.Header()] * (MAX_ITEMS + 1))),
}
DECODED = {
    "heartbeat": pb.PeerMessage(heartbeat=pb.Heartbeat(vm="a", member_keys=range(1_000))),
    "delta": pb.PeerMessage(delta=pb.KeyspaceDelta(changes=[pb.Change(value=LARGE_VALUE)])),
    "request": pb.ForwardRequest(body=LARGE_VALUE, headers=[pb.Header(name="a")] * 100),
    "answer": pb.ForwardEvent(chunk=LARGE_VALUE),
    "hand-over": pb.HandOverRequest(
        entries=[pb.LedgerEntry(request_id="r" * 256, headers=[pb.Header(name="a")] * 4)] * 60_000
    ),
    "empty": pb.CancelReply(),
}


@pytest.mark.parametrize("name", REFUSED)
def test_message_beyond_its_limits_is_not_decoded(name: str) -> None:
    """Guards against messages that take far more memory once they are decoded."""
    events: list[object] = []
    failure_observer.set(events.append)
    message = REFUSED[name]
    with pytest.raises(MessageRefusedError):
        BoundedCodec().decode(message.SerializeToString(), type(message))
    [event] = events
    assert isinstance(event, PeerMessageRefused)
    assert event.kind == type(message).__name__


@pytest.mark.parametrize("name", DECODED)
def test_message_of_a_sound_peer_is_decoded(name: str) -> None:
    message = DECODED[name]
    assert BoundedCodec().decode(message.SerializeToString(), type(message)) == message


@pytest.mark.parametrize("data", [b"\xff" * 100, b"\x0a", bytes(100_000)])
def test_bytes_that_are_no_message_end_the_call_like_a_lost_connection(data: bytes) -> None:
    """The decoder's own error ended the task that read them."""
    with pytest.raises(MessageRefusedError):
        BoundedCodec().decode(data, pb.PeerMessage)
