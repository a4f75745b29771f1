"""What a stream to a peer holds while the peer doesn't read."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import pytest
from attrs import define, field

from pomelobarrow.decision.members.member import ListedVm
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers import streams
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.heartbeats import Heartbeats, SentUpdates
from pomelobarrow.peers.peer_limits import MAX_OUTBOX_BYTES, MAX_QUEUED_BYTES
from pomelobarrow.peers.streams import MIN_REST_S, REST_FACTOR, PeerStream

ANSWER = pb.PeerMessage(
    delta=pb.KeyspaceDelta(name="vms", changes=[pb.Change(value=bytes(1 << 20))])
)
REQUEST = pb.PeerMessage(request=pb.KeyspaceRequest(name="vms"))
LEFT_UNREAD = 10_000


@define
class AnsweringExchange:
    """Answer each message with a far larger one."""

    answered: int = 0

    def handle(
        self,
        message: pb.PeerMessage,
        peer_vm: str,
        reply: Callable[[pb.PeerMessage], None],
        sent: SentUpdates,
    ) -> None:
        self.answered += 1
        sent.is_new = False
        reply(ANSWER)


@define
class UnreadCall:
    """Deliver requests without end, and take answers only while they are read."""

    is_read: asyncio.Event = field(factory=asyncio.Event)
    requests: int = LEFT_UNREAD
    sent: int = 0

    async def recv_message(self) -> pb.PeerMessage | None:
        # Reading what has arrived does not leave the loop to others.
        self.requests -= 1
        return REQUEST if self.requests >= 0 else None

    async def send_message(self, message: Any) -> None:
        await self.is_read.wait()
        self.sent += 1


def peer_stream(exchange: AnsweringExchange) -> PeerStream:
    return PeerStream(ListedVm(vm="b"), "r", cast(Exchange, exchange), cast(Heartbeats, None))


async def test_peer_that_reads_no_answers_is_held_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against answers that fill the memory while their peer asks for more."""
    monkeypatch.setattr(streams, "SILENT_AFTER_S", 0.2)
    exchange, call = AnsweringExchange(), UnreadCall()
    with pytest.raises(TimeoutError):
        await peer_stream(exchange).accepted(call)
    assert exchange.answered <= MAX_OUTBOX_BYTES // ANSWER.ByteSize() + 2


async def test_peer_that_reads_its_answers_gets_all_of_them() -> None:
    """Guards against a peer that is held back for good."""
    exchange, call = AnsweringExchange(), UnreadCall(requests=40)
    call.is_read.set()
    await peer_stream(exchange).accepted(call)
    assert exchange.answered == 40
    assert call.sent >= 40 - MAX_OUTBOX_BYTES // ANSWER.ByteSize() - 2


async def test_stream_ends_whose_peer_reads_more_slowly_than_it_is_sent_to() -> None:
    """Guards against a peer that reads just enough to keep its stream."""
    call = UnreadCall(requests=0)
    stream = peer_stream(AnsweringExchange())
    stream._is_open = True
    while stream._unsent_bytes <= MAX_QUEUED_BYTES:
        stream.send(ANSWER)
    with pytest.raises(ConnectionError):
        await stream._send_all(call)


async def test_messages_without_end_leave_turns_of_the_loop_to_others() -> None:
    """A peer that sent faster than its messages are handled kept all clients waiting."""
    exchange, call = AnsweringExchange(), UnreadCall(requests=1_000)
    call.is_read.set()
    running = asyncio.create_task(peer_stream(exchange).accepted(call))
    turns = 0
    while not running.done():
        await asyncio.sleep(0)
        turns += 1
    assert exchange.answered == 1_000
    assert turns >= 1_000


async def test_short_messages_do_not_wake_the_process_for_each(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each heartbeat of a peer set a timer: an idle VM woke more than half as often again."""
    handled_s, stream, rests_s = MIN_REST_S / 8, peer_stream(AnsweringExchange()), list[float]()

    async def note_rest(delay_s: float) -> None:
        rests_s.append(delay_s)

    monkeypatch.setattr(streams.asyncio, "sleep", note_rest)
    for _ in range(64):
        await stream._rest(handled_s)
    assert sum(rests_s) == pytest.approx(REST_FACTOR * 64 * handled_s)
    assert sum(rest_s > 0.0 for rest_s in rests_s) == 8
