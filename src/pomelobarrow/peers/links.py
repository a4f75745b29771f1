"""Keep a connection to one peer's address, and replace it when the peer stops responding."""

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import structlog
from grpclib.client import Channel
from grpclib.exceptions import ProtocolError
from mode import Service

from pomelobarrow.decision.members.member import ListedVm
from pomelobarrow.kernel.background import background_task
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers.calls import (
    CONNECT_TIMEOUT_S,
    CONNECTION_ERRORS,
    SingleConnection,
    start_call,
)
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.peers_grpc import PeerStub
from pomelobarrow.peers.streams import SILENT_AFTER_S, PeerStream

EXCHANGE_PATH = "/pomelobarrow.peers.v1.Peer/Exchange"
RECONNECT_FLOOR_S = 0.2
RECONNECT_CEILING_S = 3.0

# grpclib raises a ProtocolError when a call is left whose stream the peer has ended and that could
# not be reset in time.
LINK_ERRORS = (*CONNECTION_ERRORS, ProtocolError)

StreamFactory = Callable[[ListedVm], PeerStream]

log = structlog.get_logger(__name__)


class PeerLink(Service):
    """Keep one connection to a peer's address open and reconnect with backoff."""

    def __init__(
        self,
        *,
        peer: ListedVm,
        own_vm: str,
        dial: Callable[[str], str],
        keys: PeerKeys,
        make_stream: StreamFactory,
    ) -> None:
        super().__init__()
        self.channel: Channel | None = None
        self.first_answer = asyncio.Event()
        self._own_vm = own_vm
        self._address = dial(peer.peer_address)
        self._keys = keys
        self._make_stream = make_stream
        self._random = random.Random()
        self._uses = 0
        self._up = asyncio.Event()
        self.stream = self._new_stream(peer)

    @property
    def peer(self) -> ListedVm:
        """Return the peer, under its own name once it has sent that."""
        return self.stream.peer

    @property
    def is_up(self) -> bool:
        """Return whether the other end has sent a message on this connection."""
        return self.stream.is_up

    async def up_channel(self) -> Channel:
        """Return the connection that heartbeats monitor; wait CONNECT_TIMEOUT_S for it to come up.

        On a connection of its own, a forward would wait forever once the peer stops responding.
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
        """Return whether a forward runs over this link; closing it would abort the answer."""
        return self._uses > 0

    @contextmanager
    def in_use(self) -> Iterator[None]:
        """Mark the link as used for as long as a forward runs over it."""
        self._uses += 1
        try:
            yield
        finally:
            self._uses -= 1

    def open_channel(self) -> Channel:
        """Return a new channel to the peer; it connects at the first call."""
        host, _, port = self._address.rpartition(":")
        return SingleConnection(host, int(port))

    @background_task
    async def _stay_connected(self) -> None:
        pause_s = RECONNECT_FLOOR_S
        while not self.should_stop:
            started_unix_s = now_unix_s()
            try:
                await self._run_stream()
            except LINK_ERRORS as error:
                self._log_lost(error)
            finally:
                self._disconnect()
            was_stable = now_unix_s() - started_unix_s > SILENT_AFTER_S * 2
            pause_s = RECONNECT_FLOOR_S if was_stable else min(pause_s * 2, RECONNECT_CEILING_S)
            await self.sleep(pause_s * self._random.uniform(0.5, 1.0))

    def _log_lost(self, error: Exception) -> None:
        # Attempts to reach an unavailable peer fail repeatedly, so that only the loss of a working
        # connection is logged at info level.
        last_seen_unix_s = self.stream.last_seen_unix_s
        level = log.info if last_seen_unix_s else log.debug
        silent_s = now_unix_s() - last_seen_unix_s if last_seen_unix_s else None
        level("peer link lost", peer=self.peer.vm, error=repr(error), silent_s=silent_s)

    async def on_stop(self) -> None:
        """Close the connection."""
        self._disconnect()

    async def _run_stream(self) -> None:
        self.channel = self.open_channel()
        metadata = self._keys.metadata(self._own_vm, EXCHANGE_PATH)
        async with PeerStub(self.channel).Exchange.open(metadata=metadata) as stream:
            await start_call(stream)
            await self.stream.dialed(stream)

    def _new_stream(self, peer: ListedVm) -> PeerStream:
        stream = self._make_stream(peer)
        stream.on_up = self._note_up
        return stream

    def _note_up(self) -> None:
        self._up.set()
        self.first_answer.set()

    def _disconnect(self) -> None:
        self._up.clear()
        self.stream.close()
        self.stream = self._new_stream(self.peer)
        if self.channel is not None:
            self.channel.close()
            self.channel = None
