"""A VM that shows a peer's key, and then sends other VMs messages without end."""

import asyncio
import contextlib
import itertools
import struct
import time
from collections.abc import Callable, Iterator
from typing import Any

import orjson
from attrs import define, field
from grpclib.client import Channel
from http2_frames import PING

from pomelobarrow.decision.members.member import Phase
from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.calls import CONNECTION_ERRORS
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import EXCHANGE_PATH
from pomelobarrow.peers.peers_grpc import PeerStub
from pomelobarrow.published.keyspaces import VMS

VM = "faulty"
SEND_ERRORS = (*CONNECTION_ERRORS, AttributeError, AssertionError)
ITEMS_PER_MESSAGE = 10_000
NAME_BYTES = 100
WRITE_CHECK_S = 0.1

Messages = Callable[["FaultyPeer"], Iterator[pb.PeerMessage]]


@define(kw_only=True)
class FaultyPeer:
    """Dial a VM's listener for peers, and send on it what a form of fault makes."""

    address: tuple[str, int]
    key: PeerKey
    region: str
    failure_domain: str
    # A sender that is never held back or cut off ends by itself after so much.
    most_bytes: int
    until_unix_s: float
    sent_bytes: int = 0
    _numbers: "itertools.count[int]" = field(factory=lambda: itertools.count(1))

    @property
    def is_done(self) -> bool:
        """Return whether enough was sent."""
        return self.sent_bytes >= self.most_bytes or time.time() >= self.until_unix_s

    async def send_all(self, messages: Messages, is_reading: bool = True) -> None:
        """Send messages, on another connection once one has ended, until enough was sent."""
        left = messages(self)
        while not self.is_done:
            with contextlib.suppress(*SEND_ERRORS):
                await self._send_on_one(left, is_reading)
            await asyncio.sleep(0.05)

    async def _send_on_one(self, left: Iterator[pb.PeerMessage], is_reading: bool) -> None:
        channel = Channel(*self.address)
        metadata = PeerKeys((self.key,)).metadata(VM, EXCHANGE_PATH)
        reading: asyncio.Task[None] | None = None
        try:
            async with PeerStub(channel).Exchange.open(metadata=metadata) as stream:
                await stream.send_message(pb.PeerMessage(heartbeat=self.heartbeat()))
                if is_reading:
                    reading = asyncio.create_task(_read(stream))
                for message in left:
                    await self._send(stream, message)
                    if self.is_done:
                        break
                channel.close()
        finally:
            if reading is not None:
                reading.cancel()
            channel.close()

    async def _send(self, stream: Any, message: pb.PeerMessage) -> None:
        self.sent_bytes += message.ByteSize()
        async with asyncio.timeout(max(0.0, self.until_unix_s - time.time())):
            await stream.send_message(message)
        # Sending waits only once the receiver holds back; ordinary clients share this loop.
        await asyncio.sleep(0)

    async def send_encoded(self, message: bytes) -> None:
        """Send one message again and again; encoding it each time would stop this process."""
        framed = struct.pack(">?I", False, len(message)) + message
        while not self.is_done:
            with contextlib.suppress(*SEND_ERRORS):
                await self._send_framed(framed)
            await asyncio.sleep(0.05)

    async def _send_framed(self, framed: bytes) -> None:
        channel = Channel(*self.address)
        metadata = PeerKeys((self.key,)).metadata(VM, EXCHANGE_PATH)
        try:
            async with PeerStub(channel).Exchange.open(metadata=metadata) as stream:
                await stream.send_message(pb.PeerMessage(heartbeat=self.heartbeat()))
                while not self.is_done:
                    self.sent_bytes += len(framed)
                    async with asyncio.timeout(max(0.0, self.until_unix_s - time.time())):
                        await stream._stream.send_data(framed)
                channel.close()
        finally:
            channel.close()

    async def send_pings(self) -> None:
        """Send pings, and read none of the answers."""
        channel = Channel(*self.address)
        metadata = PeerKeys((self.key,)).metadata(VM, EXCHANGE_PATH)
        block = PING * 4_000
        try:
            async with PeerStub(channel).Exchange.open(metadata=metadata) as stream:
                await stream.send_message(pb.PeerMessage(heartbeat=self.heartbeat()))
                connection = stream._stream.connection
                transport = connection._transport
                transport.pause_reading()
                while not self.is_done and not transport.is_closing():
                    transport.write(block)
                    self.sent_bytes += len(block)
                    # Nothing sets it on a connection that has been closed.
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(WRITE_CHECK_S):
                            await connection.write_ready.wait()
                    await asyncio.sleep(0)
                # Leaving the call waits for its end, which is never read.
                transport.abort()
        except SEND_ERRORS:
            pass
        finally:
            channel.close()

    async def send_long_messages(self, streams: int, size_bytes: int) -> None:
        """Begin a message on each of many streams of a connection; send all but its last byte."""
        channel = Channel(*self.address)
        try:
            async with asyncio.timeout(max(0.0, self.until_unix_s - time.time())):
                await asyncio.gather(
                    *(self._send_long(channel, size_bytes) for _ in range(streams)),
                    return_exceptions=True,
                )
                await asyncio.sleep(max(0.0, self.until_unix_s - time.time()))
        except TimeoutError:
            pass
        finally:
            channel.close()

    async def _send_long(self, channel: Channel, size_bytes: int) -> None:
        metadata = PeerKeys((self.key,)).metadata(VM, EXCHANGE_PATH)
        stream = PeerStub(channel).Exchange.open(metadata=metadata)
        await stream.__aenter__()
        await stream.send_request()
        head = struct.pack("?", False) + struct.pack(">I", size_bytes)
        await stream._stream.send_data(head)
        left_bytes = size_bytes - 1
        while left_bytes:
            block = bytes(min(65_536, left_bytes))
            await stream._stream.send_data(block)
            left_bytes -= len(block)
            self.sent_bytes += len(block)

    def heartbeat(self, vm: str = VM, **fields: Any) -> pb.Heartbeat:
        """Return the next heartbeat of a VM."""
        return pb.Heartbeat(
            vm=vm,
            incarnation=1,
            region=self.region,
            failure_domain=self.failure_domain,
            caller_address="127.0.9.9:1",
            peer_address="127.0.9.9:2",
            phase=Phase.READY.value,
            sequence=next(self._numbers),
            sent_unix_s=time.time(),
            has_loads=True,
            **fields,
        )

    def next_keys(self, count: int = ITEMS_PER_MESSAGE) -> list[int]:
        """Return keys that no message has carried before."""
        first = next(self._numbers) * ITEMS_PER_MESSAGE
        return [(first + number) % 2**32 for number in range(count)]


async def _read(stream: Any) -> None:
    with contextlib.suppress(*SEND_ERRORS):
        while await stream.recv_message() is not None:
            pass


def _name(key: int) -> str:
    return f"{key}-".ljust(NAME_BYTES, "n")


def new_members(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """Describe VMs that are unknown to all others."""
    while True:
        members = [_summary(_name(key)) for key in peer.next_keys(1_000)]
        descriptions = pb.MemberDescriptions(members=members, sent_unix_s=time.time())
        yield pb.PeerMessage(member_descriptions=descriptions)


def _summary(vm: str) -> pb.MemberSummary:
    return pb.MemberSummary(
        vm=vm,
        incarnation=1,
        region="ra",
        failure_domain="ra-1",
        caller_address="127.0.9.9:1",
        peer_address="127.0.9.9:2",
        phase=Phase.LEAVING.value,
        heard_unix_s=time.time(),
    )


def new_names(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """Send each heartbeat in the name of another VM."""
    while True:
        for key in peer.next_keys():
            yield pb.PeerMessage(heartbeat=peer.heartbeat(_name(key)))


def new_incarnations(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """Send each heartbeat as of a process that has just started."""
    for number in itertools.count(2):
        heartbeat = peer.heartbeat()
        heartbeat.incarnation = number
        yield pb.PeerMessage(heartbeat=heartbeat)


def member_keys(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """Name descriptions that nobody holds."""
    while True:
        yield pb.PeerMessage(heartbeat=peer.heartbeat(member_keys=peer.next_keys()))


def departures(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """Name servers that leave and that no list has had."""
    while True:
        yield pb.PeerMessage(heartbeat=peer.heartbeat(leaving_keys=peer.next_keys()))


def counts(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """Count requests at servers, and of accounts, that don't exist."""
    while True:
        keys = peer.next_keys()
        ones = [1] * len(keys)
        yield pb.PeerMessage(
            heartbeat=peer.heartbeat(
                server_keys=keys,
                in_flight_requests=ones,
                in_flight_tokens=ones,
                account_keys=keys,
                account_rates=ones,
                unreachable_pool_keys=keys,
                brittle_pool_keys=keys,
            )
        )


def pools(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """State the work that waits for pools that don't exist."""
    while True:
        loads = [pb.PoolLoad(pool=_name(key), waiting_paying=1) for key in peer.next_keys(1_000)]
        yield pb.PeerMessage(heartbeat=peer.heartbeat(pools=loads))


def pools_of_regions(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """State the loads of regions that don't exist."""
    while True:
        loads = [pb.PoolLoad(region=_name(key), pool="pool") for key in peer.next_keys(1_000)]
        yield pb.PeerMessage(heartbeat=peer.heartbeat(pools=loads))


def listed_servers(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """List more and more servers at ever later revisions."""
    revision, after = 1 << 30, 0
    while True:
        entry = {"kind": "server", "text": "x" * 500}
        changes = [
            pb.Change(revision=revision + number, key=_name(key), value=orjson.dumps(entry))
            for number, key in enumerate(peer.next_keys(1_000))
        ]
        head = revision + len(changes)
        yield pb.PeerMessage(
            delta=pb.KeyspaceDelta(
                name=VMS, after_revision=after, head_revision=head, changes=changes, era=1
            )
        )
        revision, after = head, head


def nested_value(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """List a server whose value takes far more memory than its text."""
    value = b"[" + b"[]," * (12 << 20) + b"[]]"
    for number in itertools.count(1 << 30):
        change = pb.Change(revision=number, key="large", value=value)
        yield pb.PeerMessage(
            delta=pb.KeyspaceDelta(name=VMS, head_revision=number, changes=[change], era=1)
        )


def empty_items(peer: FaultyPeer) -> bytes:
    """Return a message of items that take three bytes each, and are objects once decoded."""
    item = pb.Heartbeat(reports=[pb.ServerReport()]).SerializeToString()
    heartbeat = peer.heartbeat().SerializeToString() + item * (4 << 20)
    return pb.PeerMessage(heartbeat=pb.Heartbeat.FromString(heartbeat)).SerializeToString()


def leaves(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """Tell of VMs that handed their request ids over."""
    while True:
        for key in peer.next_keys():
            yield pb.PeerMessage(
                leave=pb.Leave(vm=_name(key), incarnation=key, successor=_name(key))
            )


def findings(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """Tell of requests that crashed servers."""
    while True:
        found = [
            pb.CrashFinding(fingerprint=key, server_key=key, age_ms=1) for key in peer.next_keys()
        ]
        yield pb.PeerMessage(
            crash_findings=pb.CrashFindings(sent_unix_s=time.time(), findings=found)
        )


def listings(peer: FaultyPeer) -> Iterator[pb.PeerMessage]:
    """Ask for the list of servers."""
    request = pb.PeerMessage(request=pb.KeyspaceRequest(name=VMS))
    while True:
        yield request


FORMS: tuple[Messages, ...] = (
    new_members,
    new_names,
    new_incarnations,
    member_keys,
    departures,
    counts,
    pools,
    pools_of_regions,
    listed_servers,
    nested_value,
    leaves,
    findings,
)
