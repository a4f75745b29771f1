"""Serve the calls of the other entry VMs."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import structlog
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.server import Stream
from mode import Service

from pomelobarrow.callers.client_budgets import ClientBudgets
from pomelobarrow.callers.client_connection import ClientGate
from pomelobarrow.callers.listening import ACCEPTED_AT_ONCE, listen, listening_socket
from pomelobarrow.decision.admission.budget_limits import ListenerGroup
from pomelobarrow.decision.members.member import ListedVm
from pomelobarrow.decision.requests.request_ids import RequestIdLedger
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import CONNECTION_ERRORS
from pomelobarrow.peers.events import PeerRefused
from pomelobarrow.peers.forward_server import ForwardServer
from pomelobarrow.peers.hand_over import adopt_message
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import StreamFactory
from pomelobarrow.peers.message_size import BoundedServer, keep_connection
from pomelobarrow.peers.peer_limits import MAX_FORWARD_OVERHEAD_BYTES, MAX_MESSAGE_BYTES
from pomelobarrow.peers.peers_grpc import PeerBase
from pomelobarrow.peers.streams import AcceptedStreams

CLOSE_POLL_S = 0.02
# Time for forwards in transit that were sent before their sender learned that this VM stops.
IN_TRANSIT_WAIT_S = 0.25
# After all work has ended, a call that stays open belongs to a peer that stopped responding.
CLOSE_TIMEOUT_S = 5.0
SERVICE_PATH = "/pomelobarrow.peers.v1.Peer/"

log = structlog.get_logger(__name__)


class PeerHandlers(PeerBase):
    """Answer the calls of peers; calls without a valid peer key are refused."""

    def __init__(
        self,
        *,
        context: Context,
        keys: PeerKeys,
        make_stream: StreamFactory,
        accepted: AcceptedStreams,
        forwards: ForwardServer,
        ledger: RequestIdLedger,
    ) -> None:
        self._context = context
        self._keys = keys
        self._make_stream = make_stream
        self._accepted = accepted
        self._forwards = forwards
        self._ledger = ledger
        self._open_calls = 0

    async def wait_until_answered(self) -> None:
        """Wait until no call except Exchange is open, for at most CLOSE_TIMEOUT_S."""
        until_unix_s = now_unix_s() + CLOSE_TIMEOUT_S
        while self._open_calls and now_unix_s() < until_unix_s:
            await asyncio.sleep(CLOSE_POLL_S)

    async def Exchange(self, stream: Stream[pb.PeerMessage, pb.PeerMessage]) -> None:  # noqa: N802
        """Exchange messages with a peer until its stream ends."""
        vm = self._authenticated_vm(stream, "Exchange")
        open_stream = self._make_stream(ListedVm(vm=vm))
        self._accepted.add(open_stream)
        try:
            await open_stream.accepted(stream)
        except CONNECTION_ERRORS as error:
            log.debug("accepted stream lost", peer=vm, error=repr(error))
        finally:
            self._accepted.remove(open_stream)

    async def Forward(  # noqa: N802
        self, stream: Stream[pb.ForwardRequest, pb.ForwardEvent]
    ) -> None:
        """Run a request here or refuse it."""
        vm = self._authenticated_vm(stream, "Forward")
        with self._count_call():
            await self._forwards.forward(stream, vm)
            await _flush(stream)

    async def Resume(self, stream: Stream[pb.ResumeRequest, pb.ForwardEvent]) -> None:  # noqa: N802
        """Relay the rest of a forwarded stream."""
        vm = self._authenticated_vm(stream, "Resume")
        with self._count_call():
            await self._forwards.resume(stream, vm)
            await _flush(stream)

    async def Cancel(self, stream: Stream[pb.CancelRequest, pb.CancelReply]) -> None:  # noqa: N802
        """Cancel a forwarded request."""
        vm = self._authenticated_vm(stream, "Cancel")
        with self._count_call():
            message = await stream.recv_message()
            if message is not None:
                outcome = await self._forwards.cancel(message, vm)
                await stream.send_message(pb.CancelReply(outcome=outcome))

    async def HandOver(  # noqa: N802
        self, stream: Stream[pb.HandOverRequest, pb.HandOverReply]
    ) -> None:
        """Adopt the request ids of a stopping VM."""
        self._authenticated_vm(stream, "HandOver")
        message = await stream.recv_message()
        if message is not None:
            accepted = not self._context.is_draining and adopt_message(self._ledger, message)
            await stream.send_message(pb.HandOverReply(accepted=accepted))

    @contextmanager
    def _count_call(self) -> Iterator[None]:
        self._open_calls += 1
        try:
            yield
        finally:
            self._open_calls -= 1

    def _authenticated_vm(self, stream: Stream[Any, Any], method: str) -> str:
        path = SERVICE_PATH + method
        vm = self._keys.caller_vm(stream.metadata or {}, path)
        if vm is None:
            self._context.observe(PeerRefused(path))
            raise GRPCError(
                Status.UNAUTHENTICATED,
                "not a peer: put the same peers.keys into both VMs' settings",
            )
        keep_connection(_transport_of(stream))
        return vm


class PeerServer(Service):
    """Listen for calls of peers."""

    def __init__(self, context: Context, handlers: PeerHandlers) -> None:
        super().__init__()
        self._listen = context.settings.peers.listen
        self._handlers = handlers
        self._server = BoundedServer([handlers])
        # Forwarded requests may be as long as those of callers.
        longest_bytes = context.settings.callers.max_body_bytes + MAX_FORWARD_OVERHEAD_BYTES
        self._server.max_message_bytes = max(MAX_MESSAGE_BYTES, longest_bytes)
        self._server.gate = ClientGate(
            listener="control",
            budget=context.get(ClientBudgets).of(ListenerGroup.PEERS),
            observe=context.observe,
        )

    async def on_start(self) -> None:
        """Open the listening socket."""
        opened = listening_socket(self._listen, bounds_unread=False)
        await self._server.start(sock=opened, backlog=ACCEPTED_AT_ONCE)
        listen(opened)

    async def close(self) -> None:
        """Refuse the requests in transit, and wait until every answer has left this process."""
        await asyncio.sleep(IN_TRANSIT_WAIT_S)
        await self._handlers.wait_until_answered()

    async def on_stop(self) -> None:
        """Close the listening socket and the streams."""
        self._server.close()
        await self._server.wait_closed()


def _transport_of(stream: Stream[Any, Any]) -> Any:
    # grpclib has no public way to the transport.
    return stream.peer._transport if stream.peer else None


async def _flush(stream: Stream[Any, pb.ForwardEvent]) -> None:
    """Wait until the transport's buffer is empty; its content is lost when the process ends."""
    transport = _transport_of(stream)
    while transport and transport.get_write_buffer_size() and not transport.is_closing():
        await asyncio.sleep(CLOSE_POLL_S)
