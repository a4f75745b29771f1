"""Bound the length of the messages that a peer sends on a stream, and its connections.

grpclib reads a message of any stated length, up to 4 GiB, into memory.
"""

import asyncio
from collections.abc import Sequence
from functools import partial
from typing import Any

from attrs import frozen
from grpclib.client import Channel
from grpclib.protocol import Connection, H2Protocol, Stream
from grpclib.server import Server

from pomelobarrow.callers.client_connection import HEAD_FACTOR, ClientGate
from pomelobarrow.decision.admission.client_budget import (
    NOTHING_HELD,
    HeldBytes,
    Holding,
    Phase,
)
from pomelobarrow.kernel.background import failure_observer
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers.message_codec import BoundedCodec, MessageRefusedError
from pomelobarrow.peers.message_memory import MessageMemory
from pomelobarrow.peers.peer_limits import (
    MAX_BYTES_WITHOUT_KEY,
    MAX_MESSAGE_BYTES,
    MAX_UNREAD_BYTES,
    MESSAGE_TIMEOUT_S,
    RECEIVE_BYTES,
    SMALL_MESSAGE_BYTES,
)

UNCOMPRESSED = b"\x00"
# The memory for the long messages of all connections of this process.
PROCESS_MEMORY = MessageMemory()


class MessageTooLongError(ConnectionError):
    """Raised when a peer states a message that is longer than what is read."""


@frozen(kw_only=True)
class PeerMessageTooLong:
    """Report that a peer's connection was closed for the length that it stated of a message."""

    address: str
    stated_bytes: int
    max_bytes: int


@frozen(kw_only=True)
class PeerNotReading:
    """Report that a peer's connection was closed, as the peer reads none of its answers."""

    address: str
    unread_bytes: int
    max_bytes: int


class _BoundedStream(Stream):
    """Read the lengths and the messages of a stream in turns, as grpclib asks for them."""

    max_message_bytes: int = MAX_MESSAGE_BYTES
    memory: MessageMemory = PROCESS_MEMORY
    _is_message_next = False

    async def recv_data(self, size: int) -> bytes:
        if self._is_message_next:
            self._is_message_next = False
            return await self._recv_message_data(size)
        length = await self._recv(size)
        if length[:1] not in (b"", UNCOMPRESSED):
            raise MessageRefusedError("messages are sent uncompressed")
        self._is_message_next = bool(length)
        return length

    async def _recv_message_data(self, size: int) -> bytes:
        if size <= SMALL_MESSAGE_BYTES:
            return await self._recv(size)
        if size > self.max_message_bytes:
            self._refuse(size)
        try:
            async with asyncio.timeout(MESSAGE_TIMEOUT_S):
                await self.memory.hold(self, self.connection, size)
                return await self._recv(size)
        except TimeoutError as error:
            reason = f"{size} bytes did not arrive within {MESSAGE_TIMEOUT_S} s"
            raise MessageRefusedError(reason) from error
        finally:
            # The message is decoded in this step of the loop.
            asyncio.get_running_loop().call_soon(self.memory.give_back, self)

    async def _recv(self, size: int) -> bytes:
        try:
            return await super().recv_data(size)
        except AssertionError as error:
            # grpclib takes an empty frame for the end of the stream.
            raise MessageRefusedError("the stream ended in the middle of a message") from error

    def _refuse(self, size: int) -> None:
        address = str(self._transport.get_extra_info("peername"))
        event = PeerMessageTooLong(
            address=address, stated_bytes=size, max_bytes=self.max_message_bytes
        )
        failure_observer.get()(event)
        self._transport.abort()
        raise MessageTooLongError(f"a message of {size} bytes was stated by {address}")


class _BoundedProtocol(H2Protocol):
    max_message_bytes: int = MAX_MESSAGE_BYTES

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        transport.max_size = RECEIVE_BYTES
        create = partial(_create_stream, self.connection, self.max_message_bytes)
        self.connection.create_stream = create  # type: ignore[method-assign]
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        # Answers to pings and settings are written whether or not the peer reads them.
        unread_bytes = self._transport.get_write_buffer_size()
        if unread_bytes > MAX_UNREAD_BYTES:
            address = str(self._transport.get_extra_info("peername"))
            event = PeerNotReading(
                address=address, unread_bytes=unread_bytes, max_bytes=MAX_UNREAD_BYTES
            )
            failure_observer.get()(event)
            self._transport.abort()


class _AcceptedProtocol(_BoundedProtocol):
    """Count a connection, and what its caller sends before it has shown a key."""

    gate: ClientGate

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self._received_bytes = 0
        self._holding = Holding(
            on_evicted=transport.abort, max_bytes=HEAD_FACTOR * MAX_BYTES_WITHOUT_KEY
        )
        if not self.gate.open(self._holding):
            transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        self.gate.budget.close(self._holding)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if self._holding.phase is Phase.RUNNING or self._may_hold(len(data)):
            super().data_received(data)
        else:
            self._transport.abort()

    def keep(self) -> None:
        """Keep the connection, which is a peer's."""
        if self._holding.phase is not Phase.RUNNING:
            self.gate.resize(self._holding, NOTHING_HELD)
            self.gate.budget.move(self._holding, Phase.RUNNING, now_unix_s())

    def _may_hold(self, size_bytes: int) -> bool:
        """Count bytes of a caller without a key, each of which may cause an answer as long."""
        self._received_bytes += size_bytes
        if self._holding.phase is Phase.IDLE:
            self.gate.budget.move(self._holding, Phase.RECEIVING, now_unix_s())
        self.gate.budget.note_received(self._holding, size_bytes, now_unix_s())
        held = HeldBytes(head_bytes=HEAD_FACTOR * self._received_bytes)
        return self.gate.resize(self._holding, held)


def keep_connection(transport: Any) -> None:
    """Keep the connection of a peer that has shown its key."""
    protocol = transport.get_protocol() if transport is not None else None
    if isinstance(protocol, _AcceptedProtocol):
        protocol.keep()


def _create_stream(connection: Connection, max_message_bytes: int, **options: Any) -> Stream:
    stream = _BoundedStream(connection, connection._connection, connection._transport, **options)
    stream.max_message_bytes = max_message_bytes
    return stream


def _bounded(protocol: H2Protocol, max_message_bytes: int) -> H2Protocol:
    # grpclib has no public way to set the length of messages.
    bounded = _BoundedProtocol(protocol.handler, protocol.config, protocol.h2_config)
    bounded.max_message_bytes = max_message_bytes
    return bounded


class BoundedServer(Server):
    """Close the connection of a peer that states too long a message, and bound all of them."""

    max_message_bytes: int = MAX_MESSAGE_BYTES
    # None if the connections aren't counted.
    gate: ClientGate | None = None

    def __init__(self, handlers: Sequence[Any]) -> None:
        super().__init__(handlers, codec=BoundedCodec())

    def _protocol_factory(self) -> H2Protocol:
        made = super()._protocol_factory()
        if self.gate is None:
            return _bounded(made, self.max_message_bytes)
        accepted = _AcceptedProtocol(made.handler, made.config, made.h2_config)
        accepted.max_message_bytes, accepted.gate = self.max_message_bytes, self.gate
        return accepted


class BoundedChannel(Channel):
    """Close the connection to a peer that states too long a message."""

    max_message_bytes: int = MAX_MESSAGE_BYTES

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port, codec=BoundedCodec())

    def _protocol_factory(self) -> H2Protocol:
        return _bounded(super()._protocol_factory(), self.max_message_bytes)
