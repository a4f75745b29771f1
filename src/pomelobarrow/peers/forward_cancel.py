"""Tell a peer to drop a forward."""

import asyncio

from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import LOST, take_back_cancels
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import PeerLink
from pomelobarrow.peers.peers_grpc import PeerStub

CANCEL_PATH = "/pomelobarrow.peers.v1.Peer/Cancel"
CANCEL_TIMEOUT_S = 1.5
UNKNOWN = "unknown"


async def cancel_forward(link: PeerLink, keys: PeerKeys, message: pb.CancelRequest) -> str:
    """Ask on a new connection; return what the peer says became of the request."""
    channel = link.open_channel()
    metadata = keys.metadata(message.forwarded_by, CANCEL_PATH)
    try:
        with take_back_cancels():
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                reply = await PeerStub(channel).Cancel(message, metadata=metadata)
                return str(reply.outcome)
    except (*LOST, AttributeError):
        return UNKNOWN
    finally:
        channel.close()
