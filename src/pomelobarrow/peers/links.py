"""Keep one open stream to each wanted peer and replace it when it falls silent."""

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import structlog
from grpclib.client import Channel
from mode import Service

from pomelobarrow.decision.member import ListedVm
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import CONNECT_TIMEOUT_S, LOST, start_call
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.heartbeats import Heartbeats
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.peers_grpc import PeerStub

EXCHANGE_PATH = "/pomelobarrow.peers.v1.Peer/Exchange"
HEARTBEAT_EVERY_S = 1.0
# The other end answers each heartbeat. Three unanswered ones mean that the connection was
# forgotten on its way or that the peer is gone; a new connection tells the two apart.
SILENT_AFTER_S = 3.2
FLUSH_CHECK_EVERY_S = 0.01
RECONNECT_FLOOR_S = 0.2
RECONNECT_CEILING_S = 3.0

log = structlog.get_logger(__name__)


class PeerLink(Service):
    """Hold the connection to one peer's address."""

    def __init__(
        self,
        *,
        peer: ListedVm,
        own_vm: str,
        own_region: str,
        dial: Callable[[str], str],
        keys: PeerKeys,
        exchange: Exchange,
        heartbeats: Heartbeats,
    ) -> None:
        super().__init__()
        self.peer = peer
        self.channel: Channel | None = None
        # Whether the other end has spoken on this connection. The system of a frozen VM still
        # accepts connections, so one that is merely open says nothing.
        self.is_up = False
        self.last_heard_unix_s = 0.0
        self.first_answer = asyncio.Event()
        self._own_vm = own_vm
        self._own_region = own_region
        self._address = dial(peer.peer_address)
        self._keys = keys
        self._exchange = exchange
        self._heartbeats = heartbeats
        self._outbox: asyncio.Queue[pb.PeerMessage] = asyncio.Queue()
        self._unsent = 0
        self._is_open = False
        self._random = random.Random()
        self._uses = 0
        self._up = asyncio.Event()

    async def up_channel(self) -> Channel:
        """Return the connection that heartbeats watch, waiting a moment for it to come up.

        A forward on a connection of its own would wait without end once that falls silent.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._up.wait()
        except TimeoutError as error:
            raise ConnectionError(f"no connection to {self.peer.vm}") from error
        assert self.channel is not None
        return self.channel

    @property
    def is_in_use(self) -> bool:
        """Tell whether a forward runs over this link; closing it would break the answer off."""
        return self._uses > 0

    @contextmanager
    def in_use(self) -> Iterator[None]:
        """Keep the link while a forward runs over it."""
        self._uses += 1
        try:
            yield
        finally:
            self._uses -= 1

    def send(self, message: pb.PeerMessage) -> None:
        """Queue a message; it is lost if the connection is."""
        if self._is_open:
            self._unsent += 1
            self._outbox.put_nowait(message)

    async def flush(self) -> None:
        """Wait until the queued messages are sent, or the link is lost."""
        while self._is_open and self._unsent:
            await asyncio.sleep(FLUSH_CHECK_EVERY_S)

    def open_channel(self) -> Channel:
        """Return a new channel to the peer; nothing is connected until it is used."""
        host, _, port = self._address.rpartition(":")
        return Channel(host, int(port))

    @Service.task
    async def _stay_connected(self) -> None:
        pause_s = RECONNECT_FLOOR_S
        while not self.should_stop:
            started_unix_s = now_unix_s()
            try:
                await self._converse()
            except LOST as error:
                self._note_lost(error)
            finally:
                self._drop()
            held = now_unix_s() - started_unix_s > SILENT_AFTER_S * 2
            pause_s = RECONNECT_FLOOR_S if held else min(pause_s * 2, RECONNECT_CEILING_S)
            await self.sleep(pause_s * self._random.uniform(0.5, 1.0))

    def _note_lost(self, error: Exception) -> None:
        # A peer that stays away is tried again and again: only the loss itself is news.
        level = log.info if self.is_up else log.debug
        silent_s = now_unix_s() - self.last_heard_unix_s if self.last_heard_unix_s else None
        level("peer link lost", peer=self.peer.vm, error=repr(error), silent_s=silent_s)

    async def on_stop(self) -> None:
        """Close the connection."""
        self._drop()

    async def _converse(self) -> None:
        self.channel = self.open_channel()
        metadata = self._keys.metadata(self._own_vm, EXCHANGE_PATH)
        async with PeerStub(self.channel).Exchange.open(metadata=metadata) as stream:
            await start_call(stream)
            self._outbox = asyncio.Queue()
            self._unsent = 0
            self._is_open = True
            tasks = [
                asyncio.create_task(self._beat()),
                asyncio.create_task(self._send_all(stream)),
                asyncio.create_task(self._receive_all(stream)),
            ]
            try:
                done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    task.result()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
                await _reset(stream)

    async def _beat(self) -> None:
        is_first = True
        while True:
            same_region = self.peer.region == self._own_region
            heartbeat = self._heartbeats.full(self.peer.vm, same_region, is_first)
            is_first = False
            self.send(pb.PeerMessage(heartbeat=heartbeat))
            await asyncio.sleep(HEARTBEAT_EVERY_S * self._random.uniform(0.9, 1.1))

    async def _send_all(self, stream) -> None:  # type: ignore[no-untyped-def]
        while True:
            message = await self._outbox.get()
            async with asyncio.timeout(SILENT_AFTER_S):
                await stream.send_message(message)
            self._unsent -= 1

    async def _receive_all(self, stream) -> None:  # type: ignore[no-untyped-def]
        while True:
            async with asyncio.timeout(SILENT_AFTER_S):
                message = await stream.recv_message()
            if message is None:
                return
            self.last_heard_unix_s = now_unix_s()
            self._exchange.handle(message, self._peer_name(message), self.send)
            if not self.is_up:
                log.info("peer link up", peer=self.peer.vm, region=self.peer.region)
            self.is_up = True
            self._up.set()
            self.first_answer.set()

    def _peer_name(self, message: pb.PeerMessage) -> str:
        """Return the peer's own name; a seed is known by its address until it says it."""
        if message.WhichOneof("kind") == "heartbeat" and message.heartbeat.vm != self.peer.vm:
            heartbeat = message.heartbeat
            self.peer = ListedVm(
                vm=heartbeat.vm, region=heartbeat.region, peer_address=self.peer.peer_address
            )
        return self.peer.vm

    def _drop(self) -> None:
        self.is_up = self._is_open = False
        self._up.clear()
        if self.channel is not None:
            self.channel.close()
            self.channel = None


async def _reset(stream) -> None:  # type: ignore[no-untyped-def]
    try:
        async with asyncio.timeout(0.2):
            await stream.cancel()
    except Exception as error:
        log.debug("stream was gone", error=repr(error))
