"""Tell a peer to drop a forward."""

import asyncio

from grpclib.client import Channel

from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import LOST, take_back_cancels
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import PeerLink
from pomelobarrow.peers.peers_grpc import PeerStub

CANCEL_PATH = "/pomelobarrow.peers.v1.Peer/Cancel"
CANCEL_TIMEOUT_S = 1.5
UNKNOWN = "unknown"


async def cancel_forward(link: PeerLink, keys: PeerKeys, message: pb.CancelRequest) -> str:
    """Ask on the open connection and on a new one; return what became of the request.

    The open one may have gone silent, and the new one takes two round trips more. The first clear
    answer counts.
    """
    new = link.open_channel()
    channels = [new, link.channel] if link.is_up and link.channel is not None else [new]
    asking = [asyncio.create_task(_ask(channel, keys, message)) for channel in channels]
    try:
        for answer in asyncio.as_completed(asking):
            outcome = await answer
            if outcome != UNKNOWN:
                return outcome
        return UNKNOWN
    finally:
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
        new.close()


async def _ask(channel: Channel, keys: PeerKeys, message: pb.CancelRequest) -> str:
    metadata = keys.metadata(message.forwarded_by, CANCEL_PATH)
    try:
        with take_back_cancels():
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                reply = await PeerStub(channel).Cancel(message, metadata=metadata)
                return str(reply.outcome)
    except (*LOST, AttributeError):
        return UNKNOWN
