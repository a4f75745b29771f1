"""Forwards whose connection is lost at the end of the answer."""

import asyncio
import math
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, nullcontext
from itertools import repeat
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from attrs import define, field
from gateway_requests import request_of
from grpclib.client import Channel
from grpclib.server import Server

from harness.peer_handlers import PeerHandlersStub
from harness.processes import free_ports
from pomelobarrow.callers.problems import problem_response
from pomelobarrow.decision.common.errors import ErrorKind, RunStatus
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.requests.attempt import Attempt, AttemptState
from pomelobarrow.dispatch.answers import SERVER_SENT_EVENTS, AnswerHead
from pomelobarrow.kernel.settings import PeerKey
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.forward_client import Forward
from pomelobarrow.peers.keys import PeerKeys

HOST = "127.0.0.1"
PEER = Member(vm="milan-1", region="milan")
OWN = Member(vm="turin-1", region="turin")
TOKEN_EVENT = b"data: token\n\n"
END_EVENT = b"data: [DONE]\n\n"
HEAD = pb.Head(
    status=200,
    server="drafting-milan-1",
    headers=[pb.Header(name="Content-Type", value=SERVER_SENT_EVENTS)],
)
COMPLETE = (
    pb.ForwardEvent(head=HEAD),
    pb.ForwardEvent(chunk=TOKEN_EVENT + END_EVENT),
    pb.ForwardEvent(end=pb.End(complete=True)),
)
REFUSED = (
    pb.ForwardEvent(
        refusal=pb.Refusal(
            kind=ErrorKind.OVERLOADED.label, run=RunStatus.NO.value, detail="no room"
        )
    ),
)
INCOMPLETE = (
    pb.ForwardEvent(head=HEAD),
    pb.ForwardEvent(end=pb.End(complete=False, detail="it stopped short")),
)


@define
class Sink:
    """Record what a caller receives."""

    received: list[Any] = field(factory=list)

    async def head(self, head: AnswerHead) -> None:
        self.received.append(head.status)

    async def chunk(self, data: bytes) -> None:
        self.received.append(data)

    async def end(self, last: bytes = b"") -> None:
        self.received += [last, "end"] if last else ["end"]


class ConnectionLosingPeer(PeerHandlersStub):
    """Answer a forward, then close the connection before the stream's own end."""

    def __init__(self, events: tuple[pb.ForwardEvent, ...]) -> None:
        self._events = events
        self.resumed: list[str] = []
        self.first_events: list[int] = []
        # What each resume brings.
        self.rests: Iterator[tuple[pb.ForwardEvent, ...]] = repeat(
            (pb.ForwardEvent(chunk=END_EVENT), pb.ForwardEvent(end=pb.End(complete=True)))
        )

    async def Forward(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        for event in self._events:
            await stream.send_message(event)
        stream.peer._transport.close()
        await asyncio.Event().wait()

    async def Cancel(self, stream: Any) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(pb.CancelReply(outcome="unknown"))

    async def Resume(self, stream: Any) -> None:  # noqa: N802
        message = await stream.recv_message()
        self.resumed.append(message.request.request_id)
        self.first_events.append(message.from_event)
        for event in next(self.rests):
            await stream.send_message(event)


def no_span(name: str, traceparent: str, **values: str) -> Any:
    """Return a span without effect, as with tracing off."""
    return nullcontext(SimpleNamespace(set=lambda name, value: None))


@asynccontextmanager
async def forward_to(
    handlers: PeerHandlersStub, sink: Sink, peers: tuple[Member, ...] = ()
) -> AsyncIterator[Forward]:
    """Yield a forward to a peer with these handlers."""
    (port,) = free_ports(1)
    server = Server([handlers])
    await server.start(HOST, port)
    channel = Channel(HOST, port)

    async def up_channel() -> Channel:
        return channel

    open_channel: Callable[[], Channel] = lambda: Channel(HOST, port)  # noqa: E731
    link: Any = SimpleNamespace(
        up_channel=up_channel,
        open_channel=open_channel,
        is_up=False,
        channel=None,
        in_use=nullcontext,
    )
    table: Any = SimpleNamespace(is_linked=lambda vm: True, clock_offset_s=lambda vm: 0.0)
    forwarder: Any = SimpleNamespace(
        own=OWN,
        view=SimpleNamespace(usable_entries=lambda region, now: peers),
        table=table,
        keys=PeerKeys((PeerKey(id="k", secret="a-secret-of-the-fleet"),)),
        traces=SimpleNamespace(span=no_span),
        rng=Random(0),
        next_serial=lambda: 2,
    )

    async def link_to(member: Member) -> Any:
        return link

    table.link_to = link_to
    try:
        yield Forward(
            forwarder=forwarder,
            member=PEER,
            link=link,
            request=request_of(repeatable=True, request_id="r", home_region=PEER.region),
            attempt=Attempt(),
            sink=sink,  # type: ignore[arg-type]
            is_claim=False,
            serial=1,
        )
    finally:
        channel.close()
        server.close()
        await server.wait_closed()


async def test_complete_answer_counts_when_its_connection_is_lost_at_once() -> None:
    """The connection to a peer is lost between the end event and the end of the stream.

    The caller already has the complete answer. If the attempt were ended a second time, it would
    raise an error, and the caller's connection would be closed during its next request.
    """
    sink = Sink()
    async with forward_to(ConnectionLosingPeer(COMPLETE), sink) as forward:
        result = await forward.run()

    assert result.is_finished
    assert sink.received == [200, TOKEN_EVENT + END_EVENT, "end"]


async def test_refusal_counts_when_its_connection_is_lost_at_once() -> None:
    """A stopping peer refuses a request and closes the connection."""
    async with forward_to(ConnectionLosingPeer(REFUSED), Sink()) as forward:
        result = await forward.run()

    assert result.state is AttemptState.REFUSED_UNRUN
    assert result.refusal is not None
    assert result.refusal.detail == "no room"


@pytest.mark.parametrize("retry_at_unix_s", [math.nan, math.inf, -math.inf, 1e300])
async def test_refusal_of_a_peer_with_no_possible_retry_time_reaches_the_caller(
    retry_at_unix_s: float,
) -> None:
    """The caller got 500, or a header with 301 digits."""
    refused = pb.ForwardEvent()
    refused.CopyFrom(REFUSED[0])
    refused.refusal.retry_at_unix_s = retry_at_unix_s
    async with forward_to(ConnectionLosingPeer((refused,)), Sink()) as forward:
        result = await forward.run()

    assert result.refusal is not None
    response = problem_response(result.refusal)
    assert response.status == ErrorKind.OVERLOADED.status
    assert "Retry-After" not in response.headers


async def test_incomplete_answer_stays_incomplete_when_its_connection_is_lost_at_once() -> None:
    """A peer reports an incomplete answer and closes the connection."""
    async with forward_to(ConnectionLosingPeer(INCOMPLETE), Sink()) as forward:
        result = await forward.run()

    assert (result.state, result.detail) == (AttemptState.UNKNOWN, "it stopped short")


@pytest.mark.parametrize(
    "events", [(), COMPLETE[:1], COMPLETE[:2]], ids=["nothing", "head", "chunk"]
)
async def test_answer_lost_before_its_end_does_not_count_as_complete(
    events: tuple[pb.ForwardEvent, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A connection is lost before the end event; the answer is complete if its last event came."""
    monkeypatch.setattr("pomelobarrow.peers.forward_resume.TRY_PAUSE_S", 0.0)
    sink = Sink()
    async with forward_to(ConnectionLosingPeer(events), sink) as forward:
        result = await forward.run()

    assert result.is_finished is (events == COMPLETE[:2])
    assert ("end" in sink.received) is result.is_finished


async def test_rest_is_fetched_under_the_id_that_the_engine_knows() -> None:
    """The peer's second attempt ran under an id of its own, and only that id can be resumed."""
    head = pb.Head()
    head.CopyFrom(HEAD)
    head.request_id = "r~2"
    handlers = ConnectionLosingPeer(
        (pb.ForwardEvent(head=head), pb.ForwardEvent(chunk=TOKEN_EVENT))
    )
    sink = Sink()
    async with forward_to(handlers, sink, peers=(PEER,)) as forward:
        result = await forward.run()

    assert result.is_finished
    assert handlers.resumed == ["r~2"]
    assert sink.received == [200, TOKEN_EVENT, END_EVENT, "end"]


@pytest.mark.parametrize(
    ("chunks", "first_event"),
    [
        pytest.param((TOKEN_EVENT,), 1, id="plain"),
        pytest.param((b": keep-alive\n\n" + TOKEN_EVENT, b": keep-alive\n\n"), 1, id="comments"),
        pytest.param((b"data: x\ndata: [DONE]\n\n",), 1, id="end data as a last line"),
        pytest.param((TOKEN_EVENT.replace(b"\n", b"\r\n"),), 1, id="CR LF"),
        pytest.param((b"data: token\r\n\r", b"\ndata: token\r\n\r\n"), 2, id="cut line end"),
    ],
)
async def test_rest_is_fetched_from_the_first_event_that_did_not_come(
    chunks: tuple[bytes, ...], first_event: int
) -> None:
    """Comments counted as events, so that events were left out; other forms ended the answer."""
    events = tuple(pb.ForwardEvent(chunk=chunk) for chunk in chunks)
    handlers = ConnectionLosingPeer((pb.ForwardEvent(head=HEAD), *events))
    sink = Sink()
    async with forward_to(handlers, sink, peers=(PEER,)) as forward:
        result = await forward.run()

    assert result.is_finished
    assert handlers.first_events == [first_event]
    assert b"".join(sink.received[1:-1]) == b"".join(chunks) + END_EVENT


@pytest.mark.parametrize("rest_ends_early", [False, True])
async def test_stream_without_its_end_event_is_not_complete(rest_ends_early: bool) -> None:
    """A peer of another release may take other bytes for the end of the stream."""
    complete = pb.ForwardEvent(end=pb.End(complete=True))
    handlers = ConnectionLosingPeer(
        (pb.ForwardEvent(head=HEAD), pb.ForwardEvent(chunk=TOKEN_EVENT), complete)
    )
    rests = [(pb.ForwardEvent(chunk=END_EVENT), complete)]
    if rest_ends_early:
        rests.insert(0, (pb.ForwardEvent(chunk=TOKEN_EVENT), complete))
    handlers.rests = iter(rests)
    sink = Sink()
    async with forward_to(handlers, sink, peers=(PEER,)) as forward:
        result = await forward.run()

    assert result.is_finished
    assert handlers.first_events == [1, 2][: len(rests)]
    assert b"".join(sink.received[1:-1]) == TOKEN_EVENT * len(rests) + END_EVENT
