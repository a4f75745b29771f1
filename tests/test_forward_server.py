"""Deadlines of forwarded requests between VMs whose clocks differ."""

import asyncio
import math

import pytest

from harness.deployments import RONDINELLA, configuration_values
from pomelobarrow.decision.common.errors import ErrorKind
from pomelobarrow.decision.members.clocks import ClockOffsets
from pomelobarrow.decision.published.configuration_check import check_configuration
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.forward_server import ForwardServer, ForwardSink
from pomelobarrow.peers.peer_limits import MAX_RUNNING_BODY_BYTES

ENTRY = "milan-1"
ROUND_TRIP_S = 0.110
LEFT_S = 5.0
CONFIGURATION = check_configuration(configuration_values(RONDINELLA), 1).unwrap()


class Stream:
    """Deliver one forwarded request and record the answer."""

    def __init__(self, message):
        self.message = message
        self.events = []

    async def recv_message(self):
        return self.message

    async def send_message(self, event):
        self.events.append(event)


class Entry:
    """Record the requests that would run."""

    def __init__(self):
        self.requests = []

    async def dispatch_forwarded(self, request, sink):
        self.requests.append(request)


def offsets_of_peer_ahead(ahead_s):
    """Return the offsets that one exchanged heartbeat yields."""
    offsets, received_unix_s = ClockOffsets(), now_unix_s()
    at_peer_unix_s = received_unix_s - ROUND_TRIP_S / 2 + ahead_s
    offsets.observe(
        ENTRY,
        sent_unix_s=at_peer_unix_s,
        echo_sent_unix_s=received_unix_s - ROUND_TRIP_S,
        echo_received_unix_s=at_peer_unix_s,
        received_unix_s=received_unix_s,
    )
    return offsets


async def forward(ahead_s, left_s, is_claim=False):
    """Forward a request whose deadline by the entry VM's clock is left_s ahead."""
    entry = Entry()
    server = ForwardServer(
        incarnation=1,
        configuration=lambda: CONFIGURATION,
        entry=entry,
        offsets=offsets_of_peer_ahead(ahead_s),
    )
    stream = Stream(
        pb.ForwardRequest(
            request_id="r",
            forwarded_by=ENTRY,
            class_name="status-check",
            account="paying-milan",
            home_region="milan",
            deadline_unix_s=now_unix_s() + ahead_s + left_s,
            is_claim=is_claim,
        )
    )
    await server.forward(stream, ENTRY)
    return entry.requests, stream.events


@pytest.mark.proof
@pytest.mark.parametrize("ahead_s", [-3600.0, -2.0, 0.0, 2.0, 3600.0])
async def test_deadline_holds_on_a_vm_with_another_clock(ahead_s):
    """The caller's five seconds remain five seconds on the executing VM.

    The entry VM's clock is ahead or behind. Unadjusted, its deadline would have passed on arrival
    or be an hour too late. The exchanged offset corrects it to within half the round trip.
    """
    requests, _ = await forward(ahead_s, LEFT_S)
    left_s = requests[0].work.deadline_unix_s - now_unix_s()
    assert LEFT_S - 1.0 < left_s <= LEFT_S + ROUND_TRIP_S


@pytest.mark.parametrize("ahead_s", [-3600.0, 0.0, 3600.0])
async def test_passed_deadline_is_refused_unrun_whatever_the_clock(ahead_s):
    requests, events = await forward(ahead_s, -1.0)
    assert requests == []
    assert events[0].refusal.kind == ErrorKind.DEADLINE_PASSED.label
    assert events[0].refusal.run == "no"


@pytest.mark.parametrize("left_s", [math.nan, math.inf, -math.inf])
@pytest.mark.parametrize("is_claim", [False, True])
async def test_forward_without_a_finite_deadline_is_refused(left_s, is_claim):
    """Guards against requests that no deadline ends and that spoil the order of a queue."""
    requests, events = await forward(0.0, left_s, is_claim)
    assert requests == []
    assert events[0].refusal.kind == ErrorKind.BAD_DEADLINE.label
    assert events[0].refusal.run == ("unknown" if is_claim else "no")


@pytest.mark.parametrize("deadline_unix_s", [math.nan, math.inf, -math.inf])
async def test_cancel_without_a_finite_deadline_blocks_nothing(deadline_unix_s):
    """Blocks of cancelled forwards no longer expired, until no further one could be added."""
    server = ForwardServer(
        incarnation=1, configuration=lambda: CONFIGURATION, entry=Entry(), offsets=ClockOffsets()
    )
    cancel = pb.CancelRequest(executor_incarnation=1, serial=1, deadline_unix_s=deadline_unix_s)
    assert await server.cancel(cancel, ENTRY) == "unknown"
    assert len(server.registry) == 0


async def test_last_events_come_before_the_end_in_a_message_of_their_own() -> None:
    """Peers of an earlier release read no bytes from the message that confirms the end."""
    stream = Stream(None)
    await ForwardSink(stream).end(b"data: [DONE]\n\n")
    assert [event.WhichOneof("kind") for event in stream.events] == ["chunk", "end"]
    assert stream.events[0].chunk == b"data: [DONE]\n\n"


class WaitingEntry:
    """Run requests that don't end."""

    def __init__(self):
        self.requests = []

    async def dispatch_forwarded(self, request, sink):
        self.requests.append(request)
        await asyncio.Event().wait()


def forward_of(serial, body):
    return pb.ForwardRequest(
        request_id=f"r{serial}",
        forwarded_by=ENTRY,
        class_name="status-check",
        account="paying-milan",
        home_region="milan",
        deadline_unix_s=now_unix_s() + LEFT_S,
        serial=serial,
        body=body,
    )


async def test_request_without_room_for_its_body_is_refused_unrun():
    """Guards against forwarded bodies that are bounded each, and not all together."""
    entry = WaitingEntry()
    server = ForwardServer(
        incarnation=1, configuration=lambda: CONFIGURATION, entry=entry, offsets=ClockOffsets()
    )
    body = bytes(MAX_RUNNING_BODY_BYTES // 4)
    running = [
        asyncio.create_task(server.forward(Stream(forward_of(serial, body)), ENTRY))
        for serial in range(4)
    ]
    while len(entry.requests) < 4:
        await asyncio.sleep(0)
    stream = Stream(forward_of(4, b"one byte more"))
    await server.forward(stream, ENTRY)
    assert stream.events[0].refusal.kind == ErrorKind.NO_CAPACITY.label
    assert stream.events[0].refusal.run == "no"
    running[0].cancel()
    await asyncio.wait([running[0]])
    running.append(asyncio.create_task(server.forward(Stream(forward_of(5, body)), ENTRY)))
    while len(entry.requests) < 5:
        await asyncio.sleep(0)
    for task in running:
        task.cancel()
    await asyncio.wait(running)
