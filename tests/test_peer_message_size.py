"""A peer that sends a message without end."""

import asyncio
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from typing import Any

import pytest
from attrs import define, field
from grpclib.client import Channel
from grpclib.server import Server
from http2_frames import OPENING, PING, FrameType, frame

from harness.peer_handlers import PeerHandlersStub
from harness.processes import free_ports
from pomelobarrow.callers.client_budgets import ClientBudgets
from pomelobarrow.callers.client_connection import ClientGate, ClientLimited
from pomelobarrow.decision.admission.budget_limits import ListenerGroup
from pomelobarrow.decision.common.byte_budget import ByteBudget
from pomelobarrow.kernel.background import failure_observer
from pomelobarrow.peers import message_size
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import CONNECTION_ERRORS, SingleConnection
from pomelobarrow.peers.message_codec import MessageRefusedError
from pomelobarrow.peers.message_memory import MessageMemory
from pomelobarrow.peers.message_size import (
    BoundedServer,
    MessageTooLongError,
    PeerMessageTooLong,
    PeerNotReading,
    _BoundedStream,
    keep_connection,
)
from pomelobarrow.peers.peer_limits import (
    MAX_BYTES_WITHOUT_KEY,
    MAX_UNREAD_BYTES,
    RECEIVE_BYTES,
)
from pomelobarrow.peers.peers_grpc import PeerStub

HOST = "127.0.0.1"
BOUND_BYTES = 1 << 20
# What the windows of a connection and the sockets of both ends hold.
IN_TRANSIT_BYTES = 20 << 20
ENOUGH_BYTES = 64 << 20
# A message's length is stated in 32 bits.
ENDLESS = struct.pack("?", False) + struct.pack(">I", 2**32 - 1)
SEND_ERRORS = (*CONNECTION_ERRORS, AttributeError)


@define
class Sent:
    """Count what was sent of a message without end."""

    sent_bytes: int = 0

    async def send(self, stream: Any) -> None:
        """Send until the connection is closed."""
        block = ENDLESS
        try:
            while self.sent_bytes < ENOUGH_BYTES:
                await stream._stream.send_data(block)
                self.sent_bytes += len(block)
                block = bytes(65_536)
        except SEND_ERRORS:
            return


@define(eq=False)
class Peer(PeerHandlersStub):
    """Read what is sent in Exchange, and answer Cancel and Resume with a message without end."""

    sent: Sent = field(factory=Sent)
    received: list[object] = field(factory=list)
    errors: list[Exception] = field(factory=list)
    ended: asyncio.Event = field(factory=asyncio.Event)

    async def Exchange(self, stream: Any) -> None:  # noqa: N802
        try:
            while (message := await stream.recv_message()) is not None:
                self.received.append(message)
        except CONNECTION_ERRORS as error:
            self.errors.append(error)
        finally:
            self.ended.set()

    async def Cancel(self, stream: Any) -> None:  # noqa: N802
        await self._answer(stream)

    async def Resume(self, stream: Any) -> None:  # noqa: N802
        await self._answer(stream)

    async def _answer(self, stream: Any) -> None:
        await stream.recv_message()
        await stream.send_initial_metadata()
        try:
            await self.sent.send(stream)
        finally:
            self.ended.set()


@define
class Connected:
    peer: Peer
    server: Server
    channel: Channel
    events: list[object]


@pytest.fixture
async def connected() -> AsyncIterator[Connected]:
    events: list[object] = []
    failure_observer.set(events.append)
    (port,) = free_ports(1)
    peer = Peer()
    server = BoundedServer([peer])
    server.max_message_bytes = BOUND_BYTES
    channel = SingleConnection(HOST, port)
    channel.max_message_bytes = BOUND_BYTES
    await server.start(HOST, port)
    yield Connected(peer, server, channel, events)
    channel.close()
    server.close()
    await server.wait_closed()


async def test_message_without_end_of_a_dialing_peer_ends_its_connection(
    connected: Connected,
) -> None:
    """Guards against a VM whose memory fills with one message of up to 4 GiB."""
    sent = Sent()
    with suppress(*SEND_ERRORS):
        async with PeerStub(connected.channel).Exchange.open() as stream:
            await stream.send_message(pb.PeerMessage(closing=pb.Closing()))
            sending = asyncio.create_task(sent.send(stream))
            ended = asyncio.create_task(connected.peer.ended.wait())
            await asyncio.wait([sending, ended], return_when=asyncio.FIRST_COMPLETED)
            sending.cancel()
            connected.channel.close()
    assert sent.sent_bytes <= BOUND_BYTES + IN_TRANSIT_BYTES
    assert connected.peer.received == [pb.PeerMessage(closing=pb.Closing())]
    assert [type(error) for error in connected.peer.errors] == [MessageTooLongError]
    (event,) = connected.events
    assert isinstance(event, PeerMessageTooLong)
    assert (event.stated_bytes, event.max_bytes) == (2**32 - 1, BOUND_BYTES)


@pytest.mark.parametrize("method", ["Cancel", "Resume"])
async def test_answer_without_end_of_a_peer_ends_the_connection(
    connected: Connected, method: str
) -> None:
    """The same of a peer that was asked; calls with one answer have no stream of their own."""
    stub = PeerStub(connected.channel)
    call = {"Cancel": stub.Cancel, "Resume": stub.Resume}[method]
    request = {"Cancel": pb.CancelRequest(), "Resume": pb.ResumeRequest()}[method]
    with pytest.raises(CONNECTION_ERRORS):
        await call(request)  # type: ignore[operator]
    await connected.peer.ended.wait()
    assert connected.peer.sent.sent_bytes <= BOUND_BYTES + IN_TRANSIT_BYTES
    assert [type(event) for event in connected.events] == [PeerMessageTooLong]


async def test_message_as_long_as_the_bound_is_read(connected: Connected) -> None:
    """Guards against a bound that ends the connection of a sound peer."""
    overhead_bytes = 64
    leave = pb.Leave(vm="a" * (BOUND_BYTES - overhead_bytes))
    async with PeerStub(connected.channel).Exchange.open() as stream:
        await stream.send_message(pb.PeerMessage(leave=leave), end=True)
        assert await stream.recv_message() is None
    assert connected.peer.received == [pb.PeerMessage(leave=leave)]


@define(slots=False)
class UnreadTransport(asyncio.Transport):
    """Keep what is written, as for a client that reads nothing."""

    written_bytes: int = 0
    is_aborted: bool = False
    max_size: int = 256 << 10
    protocol: Any = None

    def get_protocol(self) -> Any:
        return self.protocol

    def get_write_buffer_size(self) -> int:
        return self.written_bytes

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.written_bytes += len(data)

    def abort(self) -> None:
        self.is_aborted = True

    def close(self) -> None:
        pass

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default


async def test_unread_answers_of_a_caller_without_a_key_end_its_connection() -> None:
    """HTTP/2 answers each ping, so that a caller that reads nothing filled the memory."""
    events: list[object] = []
    server = BoundedServer([Peer()])
    server.gate = ClientGate(
        listener="control",
        budget=ClientBudgets().of(ListenerGroup.PEERS),
        observe=events.append,
    )
    protocol, transport = server._protocol_factory(), UnreadTransport()
    protocol.connection_made(transport)
    received_bytes = 0
    while not transport.is_aborted and received_bytes < 4 * MAX_BYTES_WITHOUT_KEY:
        data = (OPENING if not received_bytes else b"") + PING * 1_000
        protocol.data_received(data)
        received_bytes += len(data)
    protocol.connection_lost(None)
    assert transport.is_aborted
    assert transport.written_bytes <= 2 * MAX_BYTES_WITHOUT_KEY
    [event] = events
    assert isinstance(event, ClientLimited)
    assert (event.listener, event.limit, event.action) == ("control", "memory", "refused")
    assert server.gate.budget.held_bytes == 0


def accepted_connection() -> UnreadTransport:
    """Return a connection of a caller that has shown its key."""
    server = BoundedServer([Peer()])
    server.gate = ClientGate(listener="control", budget=ClientBudgets().of(ListenerGroup.PEERS))
    transport = UnreadTransport()
    transport.protocol = server._protocol_factory()
    transport.protocol.connection_made(transport)
    keep_connection(transport)
    return transport


def dialed_connection() -> UnreadTransport:
    """Return a connection that was opened to a peer."""
    transport = UnreadTransport()
    transport.protocol = SingleConnection(HOST, 1)._protocol_factory()
    transport.protocol.connection_made(transport)
    return transport


@pytest.mark.parametrize(
    ("connect", "opening"),
    [(accepted_connection, OPENING), (dialed_connection, frame(FrameType.SETTINGS))],
    ids=["accepted", "dialed"],
)
async def test_unread_answers_of_a_peer_end_its_connection(
    connect: Callable[[], UnreadTransport], opening: bytes
) -> None:
    """The same of a peer that has shown its key, and of what answers at a peer's address."""
    events: list[object] = []
    failure_observer.set(events.append)
    transport = connect()
    transport.protocol.data_received(opening)
    while not transport.is_aborted and transport.written_bytes < 4 * MAX_UNREAD_BYTES:
        transport.protocol.data_received(PING * 4_000)
    transport.protocol.connection_lost(None)
    assert transport.is_aborted
    assert transport.written_bytes <= 2 * MAX_UNREAD_BYTES
    [event] = events
    assert isinstance(event, PeerNotReading)


async def begin_call(channel: Channel, data: bytes) -> Any:
    """Send bytes on a stream of their own, and leave it open."""
    stream = PeerStub(channel).Exchange.open()
    await stream.__aenter__()
    await stream.send_request()
    await stream._stream.send_data(data)
    return stream


async def begin_message(channel: Channel, size_bytes: int) -> Any:
    """Send a long message without its last byte."""
    head = struct.pack("?", False) + struct.pack(">I", size_bytes)
    return await begin_call(channel, head + bytes(size_bytes - 1))


async def test_long_messages_on_many_streams_are_not_held_all_at_a_time(
    connected: Connected, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a bound for a message without a bound for all of them."""
    budget = ByteBudget(limit_bytes=BOUND_BYTES, connection_limit_bytes=BOUND_BYTES)
    monkeypatch.setattr(_BoundedStream, "memory", MessageMemory(budget=budget))
    for _ in range(8):
        await begin_message(connected.channel, BOUND_BYTES // 2)
    async with PeerStub(connected.channel).Exchange.open() as stream:
        # It is answered once the messages before it have arrived.
        await stream.send_message(pb.PeerMessage(closing=pb.Closing()), end=True)
        assert await stream.recv_message() is None
    assert connected.peer.received == [pb.PeerMessage(closing=pb.Closing())]
    assert budget.held_bytes <= BOUND_BYTES


async def test_message_that_never_ends_is_given_up(
    connected: Connected, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against memory that a message of a byte a second keeps for good."""
    monkeypatch.setattr(message_size, "MESSAGE_TIMEOUT_S", 0.05)
    stream = await begin_message(connected.channel, BOUND_BYTES // 2)
    assert await stream.recv_message() is None
    assert [type(error) for error in connected.peer.errors] == [MessageRefusedError]
    assert message_size.PROCESS_MEMORY.budget.held_bytes == 0


@pytest.mark.parametrize(
    "data", [b"\x01" + bytes(4), struct.pack("?", False) + struct.pack(">I", 3) + b"\xff" * 3]
)
async def test_bytes_that_are_no_message_end_the_call(connected: Connected, data: bytes) -> None:
    """Guards against a task that ends with an error of the library or of the decoder."""
    stream = await begin_call(connected.channel, data)
    assert await stream.recv_message() is None
    assert [type(error) for error in connected.peer.errors] == [MessageRefusedError]


@pytest.mark.parametrize("connect", [accepted_connection, dialed_connection])
async def test_little_is_received_of_a_peer_at_once(
    connect: Callable[[], UnreadTransport],
) -> None:
    """Pings that arrived together were handled for half a second, without a turn for clients."""
    assert connect().max_size == RECEIVE_BYTES
