"""Exchange messages with one peer over an open stream, whichever of the two VMs dialed it."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import structlog
from attrs import define, field

from pomelobarrow.decision.members.member import ListedVm
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.heartbeats import Heartbeats, SentUpdates
from pomelobarrow.peers.peer_limits import MAX_OUTBOX_BYTES, MAX_QUEUED_BYTES

# Both ends send a heartbeat each second. If three are missing, either the network dropped the
# connection or the peer is gone; a new connection shows which.
SILENT_AFTER_S = 3.2
FLUSH_CHECK_EVERY_S = 0.01
# After a message the stream rests for as long as it took. Without it, a peer that sends without end
# would take all time of the loop, since what has arrived is read without waiting.
REST_FACTOR = 1.0
# Shorter rests add up to one of this length, as each one wakes the process once more.
MIN_REST_S = 0.005
# How often it is checked whether a peer has read its answers.
OUTBOX_CHECK_EVERY_S = 0.01
RESET_TIMEOUT_S = 0.2
# Closing blocks the review of all streams; without this limit, a peer that doesn't read would block
# it for longer.
CLOSING_TIMEOUT_S = 0.2

log = structlog.get_logger(__name__)


@define(eq=False)
class PeerStream:
    """Run one stream: its peer, what was sent on it and the messages queued for it.

    Both ends send heartbeats on it. With one stream per direction and a short answer to each
    heartbeat, a VM with 14 neighbours would send and receive twice as many messages.
    """

    peer: ListedVm
    own_region: str
    exchange: Exchange
    heartbeats: Heartbeats
    # Whether the other end has sent a message. The operating system of a paused VM still accepts
    # connections, so that an open stream alone doesn't show that the peer is running.
    is_up: bool = False
    last_seen_unix_s: float = 0.0
    on_up: Callable[[], None] = lambda: None
    _is_open: bool = False
    _sent: SentUpdates = field(factory=SentUpdates)
    _outbox: "asyncio.Queue[pb.PeerMessage]" = field(factory=asyncio.Queue)
    _unsent: int = 0
    _unsent_bytes: int = 0
    _rest_s: float = 0.0

    def send(self, message: pb.PeerMessage) -> None:
        """Queue a message; it is lost if the connection is lost."""
        if self._is_open:
            self._unsent += 1
            self._unsent_bytes += message.ByteSize()
            self._outbox.put_nowait(message)

    def send_heartbeat(self) -> None:
        """Send a heartbeat with the changes since the last one."""
        if not self._is_open:
            return
        is_first = self._sent.is_new
        is_same_region = self.peer.region == self.own_region
        heartbeat = self.heartbeats.full(self.peer.vm, is_same_region, self._sent)
        self.send(pb.PeerMessage(heartbeat=heartbeat))
        if is_first:
            for message in self.exchange.crash_updates.all_messages():
                self.send(message)

    def send_all_again(self) -> None:
        """Let the next heartbeat be complete."""
        self._sent.restart()

    async def send_closing(self) -> None:
        """Notify the peer that this stream closes on purpose, and wait until that is sent."""
        self.send(pb.PeerMessage(closing=pb.Closing()))
        with suppress(TimeoutError):
            async with asyncio.timeout(CLOSING_TIMEOUT_S):
                await self.flush()

    async def flush(self) -> None:
        """Wait until the queued messages are sent, or the connection is lost."""
        while self._is_open and self._unsent:
            await asyncio.sleep(FLUSH_CHECK_EVERY_S)

    async def dialed(self, stream: Any) -> None:
        """Send a heartbeat, then run until the end; raise one of CONNECTION_ERRORS if lost."""
        self._is_open = True
        self.send_heartbeat()
        try:
            await self._run(stream)
        finally:
            await _reset(stream)

    async def accepted(self, stream: Any) -> None:
        """Run until the stream ends; raise one of CONNECTION_ERRORS if it is lost."""
        self._is_open = True
        await self._run(stream)

    async def _run(self, stream: Any) -> None:
        tasks = [
            asyncio.create_task(self._send_all(stream)),
            asyncio.create_task(self._receive_all(stream)),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            self.close()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def close(self) -> None:
        """Stop queueing messages."""
        self.is_up = self._is_open = False

    async def _send_all(self, stream: Any) -> None:
        while True:
            message = await self._outbox.get()
            if self._unsent_bytes > MAX_QUEUED_BYTES:
                raise ConnectionError("the peer reads more slowly than it is sent to")
            async with asyncio.timeout(SILENT_AFTER_S):
                await stream.send_message(message)
            self._unsent -= 1
            self._unsent_bytes -= message.ByteSize()

    async def _receive_all(self, stream: Any) -> None:
        while True:
            async with asyncio.timeout(SILENT_AFTER_S):
                message = await stream.recv_message()
            if message is None:
                return
            started_unix_s = now_unix_s()
            self._handle(message)
            await self._rest(now_unix_s() - started_unix_s)
            # The peer is held back until it has read what it asked for.
            while self._unsent_bytes > MAX_OUTBOX_BYTES:
                await asyncio.sleep(OUTBOX_CHECK_EVERY_S)

    async def _rest(self, handled_s: float) -> None:
        """Leave the loop to others, after a message that took some time."""
        self._rest_s += REST_FACTOR * max(0.0, handled_s)
        rest_s = self._rest_s if self._rest_s >= MIN_REST_S else 0.0
        self._rest_s -= rest_s
        await asyncio.sleep(rest_s)

    def _handle(self, message: pb.PeerMessage) -> None:
        self.last_seen_unix_s = now_unix_s()
        is_first = not self.is_up
        if message.WhichOneof("kind") == "heartbeat":
            self._note_peer(message.heartbeat)
        self.exchange.handle(message, self.peer.vm, self.send, self._sent)
        if not is_first:
            return
        self.is_up = True
        self.on_up()
        log.info("peer link up", peer=self.peer.vm, region=self.peer.region)
        # The accepting end learns the peer's region from the first message, and then sends its own.
        if self._sent.is_new:
            self.send_heartbeat()

    def _note_peer(self, heartbeat: pb.Heartbeat) -> None:
        """Set the peer's own name and region; a seed has only an address until it sends them."""
        region = heartbeat.region or self.peer.region
        if (heartbeat.vm, region) != (self.peer.vm, self.peer.region):
            self.peer = ListedVm(
                vm=heartbeat.vm, region=region, peer_address=self.peer.peer_address
            )


@define
class AcceptedStreams:
    """Track the streams that peers have opened to this VM, oldest first.

    A VM may briefly have two streams to another one, and may close either.
    """

    _streams: list[PeerStream] = field(factory=list)

    def add(self, stream: PeerStream) -> None:
        """Add a stream that a peer has opened."""
        self._streams.append(stream)

    def remove(self, stream: PeerStream) -> None:
        """Remove a stream that has ended."""
        self._streams.remove(stream)

    def all(self) -> list[PeerStream]:
        """Return the streams on which the peer has sent a message."""
        return [stream for stream in self._streams if stream.is_up]

    def up(self) -> dict[str, PeerStream]:
        """Return, by peer name, each peer's newest stream on which it has sent a message."""
        return {stream.peer.vm: stream for stream in self._streams if stream.is_up}


async def _reset(stream: Any) -> None:
    try:
        async with asyncio.timeout(RESET_TIMEOUT_S):
            await stream.cancel()
    except Exception as error:
        log.debug("stream already closed", error=repr(error))
