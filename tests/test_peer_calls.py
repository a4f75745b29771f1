"""Calls between peers whose connection is lost."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server
from grpclib.utils import Wrapper

from harness.peer_handlers import PeerHandlersStub
from harness.processes import free_ports
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import CONNECTION_ERRORS, SingleConnection, undo_grpclib_cancellations
from pomelobarrow.peers.peers_grpc import PeerStub

HOST = "127.0.0.1"


class CancelAnsweringPeer(PeerHandlersStub):
    """Answer each Cancel call, and close the connection after it if closes is set."""

    def __init__(self) -> None:
        self.calls = 0
        self.closes = False

    async def Cancel(self, stream) -> None:  # type: ignore[no-untyped-def]  # noqa: N802
        self.calls += 1
        await stream.recv_message()
        await stream.send_message(pb.CancelReply(outcome="unknown"))
        await stream.send_trailing_metadata()
        if self.closes:
            stream.peer._transport.close()


@asynccontextmanager
async def connection_to(handlers: CancelAnsweringPeer) -> AsyncIterator[SingleConnection]:
    """Yield a connection to a peer with these handlers."""
    (port,) = free_ports(1)
    server = Server([handlers])
    await server.start(HOST, port)
    connection = SingleConnection(HOST, port)
    try:
        yield connection
    finally:
        connection.close()
        server.close()
        await server.wait_closed()


async def cancel(connection: SingleConnection) -> str:
    reply = await PeerStub(connection).Cancel(pb.CancelRequest())
    return str(reply.outcome)


async def wait_on_lost_connection() -> None:
    wrapper = Wrapper()
    loop = asyncio.get_running_loop()
    loop.call_later(0.01, wrapper.cancel, StreamTerminatedError("connection lost"))
    with undo_grpclib_cancellations(), wrapper:
        await asyncio.sleep(10)


async def ask_after_lost_connection(deadline_s: float) -> None:
    async with asyncio.timeout(deadline_s):
        with pytest.raises(StreamTerminatedError):
            await wait_on_lost_connection()
        await asyncio.sleep(10)


async def test_timeout_after_a_lost_connection_is_a_timeout() -> None:
    """A caller's deadline passes after the link to a peer was lost.

    grpclib wakes the call by cancelling it, and the deadline passes while the peer is asked for
    the outcome of the request. If the timeout surfaced as a cancellation, the caller's connection
    would be closed without an answer.
    """
    with pytest.raises(TimeoutError):
        await ask_after_lost_connection(deadline_s=0.05)


async def test_cancellation_by_the_caller_is_kept() -> None:
    task = asyncio.create_task(wait_on_lost_connection())
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


async def test_calls_share_the_connection_that_the_first_one_made() -> None:
    handlers = CancelAnsweringPeer()
    async with connection_to(handlers) as connection:
        assert [await cancel(connection) for _ in range(3)] == ["unknown"] * 3
        assert handlers.calls == 3


async def test_call_on_a_lost_connection_opens_no_other() -> None:
    """A forward must not run on a connection that no heartbeat monitors.

    The peer has closed the first connection, and the call starts before the link has noticed. If
    it reconnected and the peer then stopped responding, the caller would wait until the deadline.
    """
    handlers = CancelAnsweringPeer()
    handlers.closes = True
    async with connection_to(handlers) as connection:
        await cancel(connection)
        while connection._connected:
            await asyncio.sleep(0)
        with pytest.raises(CONNECTION_ERRORS):
            await cancel(connection)
    assert handlers.calls == 1


async def test_call_on_a_closed_connection_opens_no_other() -> None:
    handlers = CancelAnsweringPeer()
    async with connection_to(handlers) as connection:
        await cancel(connection)
        connection.close()
        with pytest.raises(CONNECTION_ERRORS):
            await cancel(connection)
    assert handlers.calls == 1
