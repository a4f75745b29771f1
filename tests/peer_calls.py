"""Call an entry VM as a peer does, with an arbitrary view of the fleet."""

import time
from typing import Any

from attrs import define, field
from grpclib.client import Channel

from harness.fleet import HOST, PEER_KEY, Fleet
from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.forward_client import FORWARD_PATH
from pomelobarrow.peers.forward_resume import RESUME_PATH
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.peers_grpc import PeerStub

FORWARDED_BY = "turin-1"
DEADLINE_S = 5.0


@define
class Forwarded:
    """Record the answer to a forwarded request."""

    refusal: pb.Refusal | None = None
    status: int = 0
    is_whole: bool = False
    chunks: list[bytes] = field(factory=list)


def forward_message(fleet: Fleet, request_id: str, **more: Any) -> pb.ForwardRequest:
    """Return a forwarded plain-service call; the given fields replace the defaults."""
    fields: dict[str, Any] = {
        "request_id": request_id,
        "forwarded_by": FORWARDED_BY,
        "deadline_unix_s": time.time() + DEADLINE_S,
        "method": "POST",
        "path": "/x",
    }
    return pb.ForwardRequest(**fields | more)


async def forward(
    fleet: Fleet, vm: str, message: pb.ForwardRequest, by: str = FORWARDED_BY
) -> Forwarded:
    """Forward a request to an entry VM, bypassing the proxy, and read the answer."""
    keys = PeerKeys((PeerKey(**PEER_KEY),))
    channel, result = Channel(HOST, fleet.entries[vm].peer_port), Forwarded()
    try:
        async with PeerStub(channel).Forward.open(metadata=keys.metadata(by, FORWARD_PATH)) as call:
            await call.send_message(message, end=True)
            async for event in call:
                _take(event, result)
    finally:
        channel.close()
    return result


async def resume(fleet: Fleet, vm: str, message: pb.ResumeRequest, by: str) -> Forwarded:
    """Request the rest of a stream from an entry VM, bypassing the proxy."""
    keys = PeerKeys((PeerKey(**PEER_KEY),))
    channel, result = Channel(HOST, fleet.entries[vm].peer_port), Forwarded()
    try:
        async with PeerStub(channel).Resume.open(metadata=keys.metadata(by, RESUME_PATH)) as call:
            await call.send_message(message, end=True)
            async for event in call:
                _take(event, result)
    finally:
        channel.close()
    return result


def _take(event: pb.ForwardEvent, result: Forwarded) -> None:
    kind = event.WhichOneof("kind")
    if kind == "refusal":
        result.refusal = event.refusal
    elif kind == "head":
        result.status = event.head.status
    elif kind == "chunk":
        result.chunks.append(event.chunk)
    else:
        result.is_whole = event.end.complete
