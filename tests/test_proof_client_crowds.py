"""A daemon of a small VM beside clients that don't behave."""

import asyncio
from collections.abc import Iterator

import pytest
from attrs import frozen
from callers import wait_until
from client_crowd import (
    BODY_BYTES,
    DESCRIPTORS,
    HEADER_LINES,
    LINE_BYTES,
    MEMORY_BYTES,
    Blocks,
    Crowd,
    head,
    in_blocks,
    is_ordinary_request_answered,
    open_descriptors,
    peak_memory_bytes,
    repeated,
    small_daemon,
)
from http2_frames import (
    END_HEADERS,
    MAX_FRAME_BYTES,
    OPENING,
    PING,
    FrameType,
    call_headers,
    frame,
)
from proof_report import Figure
from scripted_server import answers

from pomelobarrow.peers.server import SERVICE_PATH

pytestmark = [pytest.mark.proof, pytest.mark.crowd]

BODY = b"b" * BODY_BYTES
LONG_LINES = tuple(f"X-{number}: " + "h" * LINE_BYTES for number in range(HEADER_LINES))
AHEAD_BODY = b"b" * 400_000
LARGE_ANSWER = b"a" * (1 << 20)
PINGS_BYTES = 8 << 20
PINGS_AT_ONCE = 4_096
CALLS, CALL_BYTES = 60, 64 << 10
CONTINUATIONS = 60
LISTENERS = ("Front", "hop", "Directory", "Ready", "metrics")


def whole_body(number: int) -> Iterator[bytes]:
    yield head("plain", f"Content-Length: {BODY_BYTES}")
    yield from in_blocks(BODY)


def body_short_of_a_byte(number: int) -> Iterator[bytes]:
    yield head("plain", f"Content-Length: {BODY_BYTES}")
    yield from in_blocks(BODY[:-1])


def body_in_small_chunks(number: int) -> Iterator[bytes]:
    yield head("plain", "Transfer-Encoding: chunked")
    chunk = b"40\r\n" + b"c" * 64 + b"\r\n"
    yield from in_blocks(chunk * (BODY_BYTES // 64 - 1))


def head_without_end(number: int) -> Iterator[bytes]:
    yield from in_blocks(head("plain", *LONG_LINES)[:-2])


def bodies_sent_ahead(number: int) -> Iterator[bytes]:
    request = head("plain", f"Content-Length: {len(AHEAD_BODY)}")
    yield from repeated((request, AHEAD_BODY), 64)


def heads_sent_ahead(number: int) -> Iterator[bytes]:
    yield from repeated((head("plain", "Content-Length: 0", *LONG_LINES),), 40)


def small_requests_sent_ahead(number: int) -> Iterator[bytes]:
    yield from repeated((head("plain", "Content-Length: 0"),), 2_000)


def pings_unread(number: int) -> Iterator[bytes]:
    yield OPENING
    yield from repeated((PING * PINGS_AT_ONCE,), PINGS_BYTES // (PINGS_AT_ONCE * len(PING)))


def calls_without_key(number: int) -> Iterator[bytes]:
    yield OPENING
    fields = call_headers(SERVICE_PATH + "Forward")
    data = b"d" * MAX_FRAME_BYTES
    for call in range(CALLS):
        stream_id = 2 * call + 1
        yield frame(FrameType.HEADERS, fields, stream_id, END_HEADERS)
        yield frame(FrameType.DATA, data, stream_id) * (CALL_BYTES // MAX_FRAME_BYTES)


def call_head_without_end(number: int) -> Iterator[bytes]:
    yield OPENING
    part = b"h" * MAX_FRAME_BYTES
    yield frame(FrameType.HEADERS, part, stream_id=1)
    yield from repeated((frame(FrameType.CONTINUATION, part, stream_id=1),), CONTINUATIONS)


def nothing(number: int) -> Iterator[bytes]:
    yield from ()


@frozen
class Case:
    """What each client of a crowd sends, and how many there are."""

    blocks: Blocks
    clients: int


BODIES = (
    Case(whole_body, 60),
    Case(body_short_of_a_byte, 60),
    Case(body_in_small_chunks, 60),
    Case(bodies_sent_ahead, 30),
)
HEADS = (Case(head_without_end, 60), Case(heads_sent_ahead, 10))
SMALL = (Case(small_requests_sent_ahead, 60),)
CALLS_OF_PEERS = (
    Case(pings_unread, 30),
    Case(calls_without_key, 30),
    Case(call_head_without_end, 60),
)
CASES = [
    *(pytest.param(case, name) for case in BODIES for name in ("Front", "hop")),
    *(pytest.param(case, name) for case in HEADS for name in LISTENERS),
    *(pytest.param(case, name) for case in SMALL for name in LISTENERS),
    *(pytest.param(case, "Control") for case in CALLS_OF_PEERS),
]


def _id(value: object) -> str:
    return value.blocks.__name__ if isinstance(value, Case) else str(value)


@pytest.mark.parametrize(("case", "listener"), CASES, ids=_id)
async def test_crowd_does_not_fill_the_memory_of_a_vm(
    case: Case, listener: str, figure: Figure
) -> None:
    """A process ran out of memory by requests of legal size that clients had left unfinished."""
    async with small_daemon(answers(body=LARGE_ANSWER)) as (fleet, daemon):
        crowd = Crowd(fleet.address(daemon, listener))
        await crowd.send_on_each(case.clients, case.blocks)
        is_answered = await is_ordinary_request_answered(fleet, daemon)
        ended, peak_bytes = fleet.ended_daemons(), peak_memory_bytes(fleet, daemon)
        crowd.leave()
    figure("peak of a daemon, MB", peak_bytes // 1_000_000)
    assert ended == []
    assert peak_bytes < MEMORY_BYTES
    assert is_answered


@pytest.mark.parametrize("listener", [*LISTENERS, "Control"])
async def test_crowd_of_open_connections_leaves_room_for_others(
    listener: str, figure: Figure
) -> None:
    """Connections without a request took all descriptors, so that nobody else was answered."""
    async with small_daemon(answers()) as (fleet, daemon):
        crowd = Crowd(fleet.address(daemon, listener))
        await crowd.send_on_each(2 * DESCRIPTORS, nothing)
        opened = open_descriptors(fleet, daemon)
        is_answered = await is_ordinary_request_answered(fleet, daemon)
        ended, peak_bytes = fleet.ended_daemons(), peak_memory_bytes(fleet, daemon)
        crowd.leave()
    figure("descriptors", opened)
    assert ended == []
    assert peak_bytes < MEMORY_BYTES
    assert opened < DESCRIPTORS
    assert is_answered


@pytest.mark.parametrize("case", [*BODIES, *HEADS], ids=_id)
async def test_clients_that_leave_again_and_again_leave_nothing_behind(
    case: Case, figure: Figure
) -> None:
    """Guards against memory and descriptors that are kept for clients that have gone."""
    async with small_daemon(answers()) as (fleet, daemon):
        before = open_descriptors(fleet, daemon)
        for _ in range(3):
            crowd = Crowd(fleet.address(daemon, "Front"))
            sending = asyncio.create_task(crowd.send_on_each(case.clients, case.blocks))
            await asyncio.wait([sending], timeout=1.0)
            crowd.leave()
            await sending
            crowd.leave()
        is_answered = await is_ordinary_request_answered(fleet, daemon)

        async def are_closed() -> bool:
            return open_descriptors(fleet, daemon) < before + DESCRIPTORS // 10

        await wait_until(are_closed)
        ended, peak_bytes = fleet.ended_daemons(), peak_memory_bytes(fleet, daemon)
    figure("peak of a daemon, MB", peak_bytes // 1_000_000)
    assert ended == []
    assert peak_bytes < MEMORY_BYTES
    assert is_answered
