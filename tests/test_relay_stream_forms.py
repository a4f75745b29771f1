"""Streams of all forms, cut at any byte and ended in any way, reach clients in order and once."""

import asyncio
from collections.abc import Iterator
from itertools import pairwise

import aiohttp
from attrs import frozen
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from relay_harness import HOST, relay_fleet, route
from scripted_server import Exchange

from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.decision.streams.server_sent_events import EventSplitter, event_data

EVENTS = 5
HERE, ELSEWHERE = "a", "b"
# The lines of an event, and those of the blocks after it.
FORMS = (
    (("id: {n}", "data: piece {n}"),),
    (("data: piece {n}", "id:{n}"),),
    (("event: piece", "id: {n}", "data: piece", "data: {n}"),),
    (("id: {n}", "data: piece {n}"), (": keep-alive",)),
    (("id: {n}", "data: piece {n}"), ("data: note after {n}",)),
    (("id: {n}", "data: piece {n}"), ("data: note after {n}",), (": keep-alive",), ()),
)
LINE_ENDS = ("\n", "\r\n", "\r")
CHUNKS, LENGTH, CONNECTION = "chunks", "length", "connection"
FIN, RESET, MALFORMED = "fin", "reset", "malformed"


@frozen(kw_only=True)
class Run:
    """One run of a stream: how it is framed and cut, and how it ends after its last cut."""

    framing: str
    end: str
    places: tuple[int, ...]


# The end of the connection ends an answer that has neither a length nor chunks.
ENDS = {CHUNKS: (FIN, RESET, MALFORMED), LENGTH: (FIN, RESET), CONNECTION: (RESET,)}
RUNS = st.sampled_from([(framing, end) for framing, ends in ENDS.items() for end in ends]).flatmap(
    lambda kind: st.builds(
        Run,
        framing=st.just(kind[0]),
        end=st.just(kind[1]),
        places=st.lists(st.integers(0, 300), max_size=5).map(tuple),
    )
)


def _blocks(forms: list[int], number: int) -> Iterator[tuple[str, ...]]:
    """Return the lines of an event and of the blocks after it."""
    for block in FORMS[forms[number - 1]]:
        yield tuple(line.format(n=number) for line in block)


def _bytes_after(forms: list[int], line_end: str, last: int) -> bytes:
    """Return the bytes of a run that goes on after an event."""
    blocks = [*_blocks(forms, last)][1:] if last else []
    for number in range(last + 1, EVENTS + 1):
        blocks += _blocks(forms, number)
    return "".join(line + line_end for block in blocks for line in (*block, "")).encode()


def _contents(data: bytes) -> list[bytes]:
    contents = map(event_data, EventSplitter().feed(data))
    return [content for content in contents if content is not None]


async def _play(exchange: Exchange, data: bytes, run: Run) -> None:
    """Write the part of an answer up to the last place in parts, then end the connection."""
    framing = {CHUNKS: ("Transfer_Encoding", "chunked"), LENGTH: ("Content_Length", str(len(data)))}
    fields = dict([framing.get(run.framing, ("Connection", "close"))])
    exchange.write_head(200, Content_Type="text/event-stream", **fields)
    for start, end in pairwise((0, *sorted(place % (len(data) + 1) for place in run.places))):
        if run.framing == CHUNKS and start < end:
            exchange.write_chunk(data[start:end])
        else:
            exchange.writer.write(data[start:end])
        await exchange.writer.drain()
        await asyncio.sleep(0)
    if run.end == RESET:
        exchange.reset()
        return
    if run.end == MALFORMED:
        exchange.writer.write(b"no size\r\n")
        await exchange.reader.read()
    exchange.writer.close()


async def _receive(
    forms: list[int], line_end: str, runs: list[Run], region: str
) -> tuple[bytes, bool]:
    """Return what a client receives, and whether that looks complete."""
    left = iter(runs)

    async def script(exchange: Exchange) -> None:
        last = int(exchange.received.headers.get("last-event-id", "0"))
        data = _bytes_after(forms, line_end, last)
        run = next(left, None)
        if run is not None:
            await _play(exchange, data, run)
            return
        exchange.write_head(200, Transfer_Encoding="chunked")
        if data:
            exchange.write_chunk(data)
        exchange.writer.write(b"0\r\n\r\n")

    attempts = len(runs) + 1
    resumable = route(RouteKind.STREAM, is_resumable=True, max_attempts=attempts)
    servers = {HERE: {}, ELSEWHERE: {}, region: {f"s{n}": script for n in range(attempts)}}
    fields = {"Host": HOST, "Pomelobarrow-Request-Id": "r1"}
    body = b""
    async with (
        relay_fleet((resumable,), servers) as fleet,
        aiohttp.ClientSession() as session,
        session.post(f"{fleet.vms[HERE].url}/stream/", headers=fields) as response,
    ):
        try:
            async for data in response.content.iter_any():
                body += data
        except aiohttp.ClientPayloadError:
            return body, False
        return body, response.status == 200


@settings(deadline=None, max_examples=60, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(st.integers(0, len(FORMS) - 1), min_size=EVENTS, max_size=EVENTS),
    st.sampled_from(LINE_ENDS),
    st.lists(RUNS, max_size=2),
    st.sampled_from((HERE, ELSEWHERE)),
)
def test_events_arrive_in_order_and_once_whatever_ends_their_runs(
    forms: list[int], line_end: str, runs: list[Run], region: str
) -> None:
    """Pieces were missing or came twice where reads, forms or ends differed from the usual ones."""
    body, is_complete = asyncio.run(_receive(forms, line_end, runs, region))
    sent = _contents(_bytes_after(forms, line_end, 0))
    received = _contents(body)
    assert received == sent[: len(received)]
    # One VM of another region gets a request once.
    assert is_complete or (runs and region == ELSEWHERE)
    if is_complete:
        assert received == sent
