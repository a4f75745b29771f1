"""Cancel a forward at the peer that it was sent to."""

import asyncio

from grpclib.client import Channel

from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import CONNECTION_ERRORS, undo_grpclib_cancellations
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import PeerLink
from pomelobarrow.peers.peers_grpc import PeerStub

CANCEL_PATH = "/pomelobarrow.peers.v1.Peer/Cancel"
CANCEL_TIMEOUT_S = 1.5
UNKNOWN = "unknown"


async def cancel_forward(link: PeerLink, keys: PeerKeys, message: pb.CancelRequest) -> str:
    """Cancel over the open connection and over a new one; return the outcome of the request.

    The open connection may have stopped responding, and the new one costs two more round trips. The
    first answer other than "unknown" counts.
    """
    new_channel = link.open_channel()
    channels = (
        [new_channel, link.channel] if link.is_up and link.channel is not None else [new_channel]
    )
    tasks = [asyncio.create_task(_send_cancel(channel, keys, message)) for channel in channels]
    try:
        for answer in asyncio.as_completed(tasks):
            outcome = await answer
            if outcome != UNKNOWN:
                return outcome
        return UNKNOWN
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        new_channel.close()


async def _send_cancel(channel: Channel, keys: PeerKeys, message: pb.CancelRequest) -> str:
    metadata = keys.metadata(message.forwarded_by, CANCEL_PATH)
    try:
        with undo_grpclib_cancellations():
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                reply = await PeerStub(channel).Cancel(message, metadata=metadata)
                return str(reply.outcome)
    except (*CONNECTION_ERRORS, AttributeError):
        return UNKNOWN
