"""Exchange short messages with any VM over UDP.

A datagram costs a tenth of the processor time of a message on a stream, and needs no connection to
a VM that is no neighbour. It may be lost, so each sender goes on without an answer.
"""

import asyncio
import hashlib
import hmac
import itertools
import secrets
import socket
from collections.abc import Callable
from typing import Any

import structlog
from attrs import define, field
from google.protobuf.message import DecodeError
from mode import Service

from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.peers import peers_pb2 as pb

MAC_BYTES = 8
MAX_WAITING = 4_096
MAX_DATAGRAM_BYTES = 1 << 16
# Others' work waits for so many handlers at most.
RECEIVED_AT_ONCE = 256
NUMBER_BITS = 62

Address = tuple[str, int]
# Sends an answer to the sender of a message.
Reply = Callable[[pb.Datagram], None]
Handler = Callable[[Any, Reply], None]

log = structlog.get_logger(__name__)


@define(kw_only=True)
class DatagramCodec:
    """Encode and decode datagrams, each with a keyed hash of its content."""

    keys: tuple[PeerKey, ...]
    _secrets: tuple[bytes, ...] = field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        # The hash function takes keys of a limited length.
        self._secrets = tuple(hashlib.blake2s(k.secret.encode()).digest() for k in self.keys)

    def encode(self, message: pb.Datagram) -> bytes:
        """Return the bytes of a message, signed with the first key."""
        content = message.SerializeToString()
        return _mac(self._secrets[0], content) + content

    def decode(self, data: bytes) -> pb.Datagram | None:
        """Return a peer's message; None if no key authenticates it or it is malformed."""
        mac, content = data[:MAC_BYTES], data[MAC_BYTES:]
        if not any(hmac.compare_digest(mac, _mac(secret, content)) for secret in self._secrets):
            return None
        try:
            return pb.Datagram.FromString(content)
        except DecodeError:
            return None


class PeerDatagrams(Service):
    """Send and receive datagrams on one port, and match answers to queries."""

    def __init__(self, keys: tuple[PeerKey, ...], host: str, port: int) -> None:
        super().__init__()
        self.port = port
        self.handlers: dict[str, Handler] = {}
        self._codec = DatagramCodec(keys=keys)
        self._host = host
        # From a random number on: a late answer to this VM's previous process, whose numbers began
        # elsewhere, must not pass for the answer to a newer query.
        self._numbers = itertools.count(secrets.randbits(NUMBER_BITS))
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._socket: socket.socket | None = None

    async def on_start(self) -> None:
        """Open the socket."""
        family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        opened = socket.socket(family, socket.SOCK_DGRAM)
        opened.setblocking(False)
        opened.bind((self._host, self.port))
        self._socket = opened
        asyncio.get_running_loop().add_reader(opened, self._receive_arrived)

    async def on_stop(self) -> None:
        """Close the socket."""
        opened, self._socket = self._socket, None
        if opened is not None:
            asyncio.get_running_loop().remove_reader(opened)
            opened.close()

    def _receive_arrived(self) -> None:
        """Receive what has arrived, up to a limit."""
        for _ in range(RECEIVED_AT_ONCE):
            # A handler may stop this service.
            if self._socket is None:
                return
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # A destination is unreachable. Its answer is missing, like a lost one.
                log.debug("datagram not delivered", error=repr(error))
                return
            self._receive(data, address)

    def _receive(self, data: bytes, addr: Address) -> None:
        """Pass a message on to its handler, or an answer to the query that waits for it."""
        message = self._codec.decode(data)
        kind = message.WhichOneof("kind") if message is not None else None
        if kind is None:
            return
        content = getattr(message, kind)
        handler = self.handlers.get(kind)
        if handler is not None:
            handler(content, lambda answer: self.send(addr, answer))
            return
        waiting = self._waiting.get(getattr(content, "number", 0))
        # The query may have timed out in this turn of the loop.
        if waiting is not None and not waiting.done():
            waiting.set_result(content)

    def send(self, address: Address, message: pb.Datagram) -> None:
        """Send a message; it may be lost."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(self._codec.encode(message), address)
        except OSError as error:
            log.debug("datagram not sent", error=repr(error))

    def next_number(self) -> int:
        """Return a number that no other message of this process has, nor one of another VM."""
        return next(self._numbers)

    async def query(self, address: Address, message: pb.Datagram, timeout_s: float) -> Any:
        """Send a numbered query and return its answer, None if none arrives in time."""
        if len(self._waiting) >= MAX_WAITING:
            return None
        kind = message.WhichOneof("kind")
        assert kind is not None
        number = getattr(message, kind).number = self.next_number()
        waiting = self._waiting[number] = asyncio.get_running_loop().create_future()
        self.send(address, message)
        try:
            await asyncio.wait((waiting,), timeout=timeout_s)
            if not waiting.done():
                # In a loop that is behind, the time passes before the socket is looked at.
                self._receive_arrived()
            return waiting.result() if waiting.done() else None
        finally:
            self._waiting.pop(number, None)


def _mac(secret: bytes, content: bytes) -> bytes:
    return hashlib.blake2s(content, key=secret, digest_size=MAC_BYTES).digest()
