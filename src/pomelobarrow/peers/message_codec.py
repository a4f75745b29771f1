"""Decode the messages of peers, and refuse those that are too long or of too many items."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen
from google.protobuf.message import DecodeError
from grpclib.const import Status
from grpclib.encoding.proto import ProtoCodec
from grpclib.exceptions import GRPCError

from pomelobarrow.kernel.background import failure_observer
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.message_items import has_more_items
from pomelobarrow.peers.peer_limits import (
    MAX_CALL_BYTES,
    MAX_EXCHANGE_BYTES,
    MAX_ITEMS,
    MAX_UPDATE_BYTES,
    MAX_UPDATE_ITEMS,
    SMALL_MESSAGE_BYTES,
)

# Types without an entry are bounded by the length of any message.
MAX_BYTES_BY_TYPE: Mapping[type, int] = {
    pb.PeerMessage: MAX_EXCHANGE_BYTES,
    pb.ResumeRequest: MAX_CALL_BYTES,
    pb.CancelRequest: MAX_CALL_BYTES,
    pb.CancelReply: MAX_CALL_BYTES,
    pb.HandOverReply: MAX_CALL_BYTES,
}
# The first byte of an exchanged message that holds a delta, the only long kind.
DELTA_TAG = pb.PeerMessage.DESCRIPTOR.fields_by_name["delta"].number << 3 | 2


class MessageRefusedError(GRPCError):
    """Raised instead of decoding a message, or if it can't be decoded."""

    def __init__(self, reason: str) -> None:
        super().__init__(Status.RESOURCE_EXHAUSTED, reason)


@frozen(kw_only=True)
class PeerMessageRefused:
    """Report a message of a peer that was not decoded."""

    kind: str
    size_bytes: int
    reason: str


class BoundedCodec(ProtoCodec):
    """Decode messages within the limits of their type."""

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return a message; raise MessageRefusedError beyond its limits."""
        reason = _refusal_reason(data, message_type)
        if not reason:
            try:
                return super().decode(data, message_type)
            except DecodeError:
                reason = "it can't be decoded"
        kind = message_type.DESCRIPTOR.name
        event = PeerMessageRefused(kind=kind, size_bytes=len(data), reason=reason)
        failure_observer.get()(event)
        raise MessageRefusedError(f"{kind}: {reason}")


def _refusal_reason(data: bytes, message_type: Any) -> str:
    """Return why a message is not decoded; empty if it is."""
    size_bytes = len(data)
    if size_bytes <= SMALL_MESSAGE_BYTES:
        return ""
    most_bytes = MAX_BYTES_BY_TYPE.get(message_type, size_bytes)
    is_exchanged = message_type is pb.PeerMessage
    if is_exchanged and data[0] != DELTA_TAG:
        most_bytes = MAX_UPDATE_BYTES
    if size_bytes > most_bytes:
        return f"it is longer than {most_bytes} bytes"
    most_items = MAX_UPDATE_ITEMS if is_exchanged else MAX_ITEMS
    if has_more_items(data, message_type.DESCRIPTOR, most_items):
        return f"it has more than {most_items} items"
    return ""
