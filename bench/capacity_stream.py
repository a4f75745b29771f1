"""Measure what a message and its answer cost on an open grpclib stream, both ends together."""

import asyncio
import time
from typing import Any

from grpclib.client import Channel
from grpclib.server import Server, Stream

from harness.processes import free_ports
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.peers_grpc import PeerBase, PeerStub

HOST = "127.0.0.1"
EXCHANGES = 1_500


class _Answering(PeerBase):
    async def Exchange(self, stream: Stream[pb.PeerMessage, pb.PeerMessage]) -> None:  # noqa: N802
        async for message in stream:
            await stream.send_message(message)

    async def _refuse(self, stream: Stream[Any, Any]) -> None:
        raise NotImplementedError

    Forward = Cancel = HandOver = _refuse


def bare_exchange_s() -> float:
    """Return the processor seconds of one message and its answer, both ends together."""
    return asyncio.run(_measure())


async def _measure() -> float:
    (port,) = free_ports(1)
    server = Server([_Answering()])
    await server.start(HOST, port)
    channel = Channel(HOST, port)
    message = pb.PeerMessage(heartbeat=pb.Heartbeat(vm="r00-vm000", incarnation=10**15, sequence=7))
    async with PeerStub(channel).Exchange.open() as stream:
        await stream.send_message(message)
        await stream.recv_message()
        started_s = time.process_time()
        for _ in range(EXCHANGES):
            await stream.send_message(message)
            await stream.recv_message()
        cpu_s = time.process_time() - started_s
        await stream.end()
    channel.close()
    server.close()
    await server.wait_closed()
    return cpu_s / EXCHANGES
