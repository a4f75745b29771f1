"""Serve the other entry VMs."""

import asyncio
from collections.abc import Mapping

import structlog
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream
from mode import Service

from pomelobarrow.decision.request_ids import RequestIdLedger
from pomelobarrow.kernel.context import Context
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.events import PeerRefused
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.forward_server import ForwardServer
from pomelobarrow.peers.hand_over import adopt_message
from pomelobarrow.peers.heartbeats import Heartbeats
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.peers_grpc import PeerBase

SERVICE_PATH = "/pomelobarrow.peers.v1.Peer/"

log = structlog.get_logger(__name__)


class PeerHandlers(PeerBase):
    """Answer the calls of peers; any other caller is turned away first."""

    def __init__(
        self,
        *,
        context: Context,
        keys: PeerKeys,
        exchange: Exchange,
        heartbeats: Heartbeats,
        forwards: ForwardServer,
        ledger: RequestIdLedger,
    ) -> None:
        self._context = context
        self._keys = keys
        self._exchange = exchange
        self._heartbeats = heartbeats
        self._forwards = forwards
        self._ledger = ledger

    async def Exchange(self, stream: Stream[pb.PeerMessage, pb.PeerMessage]) -> None:  # noqa: N802
        """Take a peer's messages and answer each heartbeat."""
        vm = self._peer(stream.metadata, "Exchange")
        outbox: asyncio.Queue[pb.PeerMessage] = asyncio.Queue()
        sending = asyncio.create_task(_send_all(stream, outbox))
        try:
            async for message in stream:
                self._exchange.handle(message, vm, outbox.put_nowait)
                if message.WhichOneof("kind") == "heartbeat":
                    outbox.put_nowait(pb.PeerMessage(heartbeat=self._heartbeats.echo(vm)))
        finally:
            sending.cancel()

    async def Forward(  # noqa: N802
        self, stream: Stream[pb.ForwardRequest, pb.ForwardEvent]
    ) -> None:
        """Run a request here or refuse it."""
        await self._forwards.forward(stream, self._peer(stream.metadata, "Forward"))

    async def Cancel(self, stream: Stream[pb.CancelRequest, pb.CancelReply]) -> None:  # noqa: N802
        """Drop a forwarded request."""
        vm = self._peer(stream.metadata, "Cancel")
        message = await stream.recv_message()
        if message is not None:
            outcome = self._forwards.cancel(message, vm)
            await stream.send_message(pb.CancelReply(outcome=outcome))

    async def HandOver(  # noqa: N802
        self, stream: Stream[pb.HandOverRequest, pb.HandOverReply]
    ) -> None:
        """Take over the request ids of a stopping VM."""
        self._peer(stream.metadata, "HandOver")
        message = await stream.recv_message()
        if message is not None:
            accepted = not self._context.is_draining and adopt_message(self._ledger, message)
            await stream.send_message(pb.HandOverReply(accepted=accepted))

    def _peer(self, metadata: Mapping[str, object] | None, method: str) -> str:
        path = SERVICE_PATH + method
        vm = self._keys.caller_vm(metadata or {}, path)
        if vm is None:
            self._context.observe(PeerRefused(path))
            raise GRPCError(
                Status.UNAUTHENTICATED,
                "not a peer: put the same peers.keys into both VMs' settings",
            )
        return vm


class PeerServer(Service):
    """Listen for peers."""

    def __init__(self, context: Context, handlers: PeerHandlers) -> None:
        super().__init__()
        self._listen = context.settings.peers.listen
        self._server = Server([handlers])

    async def on_start(self) -> None:
        """Open the listening socket."""
        host, _, port = self._listen.rpartition(":")
        await self._server.start(host, int(port))

    async def on_stop(self) -> None:
        """Close the listening socket and the streams."""
        self._server.close()
        await self._server.wait_closed()


async def _send_all(
    stream: Stream[pb.PeerMessage, pb.PeerMessage], outbox: "asyncio.Queue[pb.PeerMessage]"
) -> None:
    while True:
        await stream.send_message(await outbox.get())
