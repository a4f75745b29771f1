"""What a client receives of a stream that goes on at another server."""

import asyncio
from collections.abc import Callable

import aiohttp
import pytest
from relay_harness import HOST, ask, relay_fleet, route
from scripted_server import (
    Exchange,
    Script,
    event,
    is_killed_after,
    is_killed_behind_a_proxy,
    is_killed_slowly_after,
    is_replaced_after,
    keeps_connection_silent,
    resets_connection,
    streams,
    writes,
    writes_unframed,
)

from pomelobarrow.decision.published.routing import RouteKind
from pomelobarrow.operators.event_fields import event_fields
from pomelobarrow.operators.redaction import redact
from pomelobarrow.relay.attempt import RelayAttempt
from pomelobarrow.relay.events import RelayAttemptEnded, RelayEnded, ServerEjected
from pomelobarrow.relay.messages import ServerAnswerHead
from pomelobarrow.relay.relay import NO_PLACE_TO_RESUME

LAST = 4
COMMENT = b": keep-alive\n\n"


def note(number: int) -> bytes:
    """Return an event without an id."""
    return b"event: note\ndata: after %d\n\n" % number


def events(*numbers: int) -> bytes:
    """Return events with their ids."""
    return b"".join(map(event, numbers))


async def receive(
    *runs: Script, log: list[object] | None = None, **headers: str
) -> tuple[bytes, bool]:
    """Return the bytes of a stream that needs these runs, and whether it looked complete."""
    scripts = iter(runs)

    async def run_next(exchange: Exchange) -> None:
        await next(scripts)(exchange)

    resumable = route(RouteKind.STREAM, is_resumable=True, max_attempts=len(runs))
    servers = {f"s{number}": run_next for number in range(len(runs))}
    fields = {"Host": HOST, "Pomelobarrow-Request-Id": "r1", **headers}
    async with (
        relay_fleet((resumable,), {"a": servers}) as fleet,
        aiohttp.ClientSession() as session,
        session.post(f"{fleet.vms['a'].url}/stream/", headers=fields) as response,
    ):
        assert response.status == 200
        body, is_whole = b"", True
        try:
            async for data in response.content.iter_any():
                body += data
        except aiohttp.ClientPayloadError:
            is_whole = False
        if log is not None:
            log += fleet.vms["a"].events
        return body, is_whole


@pytest.mark.parametrize("pieces", [1, 3])
async def test_comment_after_an_event_makes_no_event_come_twice(pieces: int) -> None:
    """A comment at the end of a read hid the ids before it."""
    sent = b"".join(event(number) + COMMENT for number in range(1, pieces + 1))
    received = await receive(writes(sent, is_whole=False), streams(LAST))
    assert received == (sent + events(*range(pieces + 1, LAST + 1)), True)


async def test_event_without_an_id_makes_no_event_come_twice() -> None:
    """An event without an id at the end of a read hid the ids before it.

    The server that goes on after an id sends the events without an id that follow it again.
    """
    first = writes(event(1) + note(1) + event(2) + note(2), is_whole=False)
    second = writes(note(2), event(3), note(3), event(4))
    whole = event(1) + note(1) + event(2) + note(2) + event(3) + note(3) + event(4)
    assert await receive(first, second) == (whole, True)


async def test_stream_without_ids_does_not_begin_again() -> None:
    """It was sent from its beginning once more, behind what the client had."""
    log: list[object] = []
    first, again = writes(note(1), note(2), is_whole=False), writes(note(1), note(2), note(3))
    assert await receive(first, again, log=log) == (note(1) + note(2), False)
    [end] = [event for event in log if isinstance(event, RelayEnded)]
    assert (end.outcome, end.detail) == ("broken off", NO_PLACE_TO_RESUME)


@pytest.mark.parametrize("id_", [b"", b"\xff", b"7" * 2_000], ids=["empty", "no text", "long"])
async def test_stream_whose_last_id_no_header_carries_does_not_begin_again(id_: bytes) -> None:
    """An empty id means that no event is the last one; the one before was taken for it."""
    last = b"id: %s\ndata: last\n\n" % id_
    received = await receive(writes(event(1), last, is_whole=False), streams(LAST))
    assert received == (event(1) + last, False)


@pytest.mark.parametrize("begins_at", [1, 2])
async def test_run_that_goes_back_is_not_joined(begins_at: int) -> None:
    """A server that ignores the last event id sent the client pieces that it had."""
    first = writes(events(1, 2), is_whole=False)
    again = writes(events(*range(begins_at, LAST + 1)))
    assert await receive(first, again) == (events(1, 2), False)
    log: list[object] = []
    received = await receive(first, again, streams(LAST), log=log)
    assert received == (events(1, 2, 3, 4), True)
    ends = [event for event in log if isinstance(event, RelayAttemptEnded)]
    assert [end.is_join_rejected for end in ends] == [False, True, False]


async def test_run_whose_ids_grow_in_uneven_steps_is_joined() -> None:
    """Only an id that goes back shows a wrong join: servers may count tokens."""
    first, rest = writes(events(1, 2), is_whole=False), events(5, 6, 7)
    assert await receive(first, writes(rest)) == (events(1, 2) + rest, True)


async def test_resumed_run_that_begins_with_several_tokens_is_joined_after_even_runs() -> None:
    """Its first id is one too far by the steps of all runs before, and no stream could go on."""

    breaks = False

    async def counts_tokens(exchange: Exchange) -> None:
        after = int(exchange.received.headers.get("last-event-id", "0"))
        # The first event of a resumed run holds two tokens, and the last number of them is its id.
        first = after + 2 if after else 1
        is_whole = bool(after) or not breaks
        await writes(events(*range(first, first + LAST)), is_whole=is_whole)(exchange)

    resumable = route(RouteKind.STREAM, is_resumable=True, max_attempts=2)
    scripts = {"a": {"s1": counts_tokens, "s2": counts_tokens}}
    async with relay_fleet((resumable,), scripts) as fleet:
        for _ in range(30):
            assert (await ask(fleet.vms["a"], "/stream/")).body == events(1, 2, 3, 4)
        breaks = True
        answer = await ask(fleet.vms["a"], "/stream/")
    assert answer.body == events(1, 2, 3, 4, 6, 7, 8, 9)


async def test_rejected_joins_eject_no_server() -> None:
    """A client that names an event which no server knows would take all servers out of service."""
    resumable = route(RouteKind.STREAM, is_resumable=True, max_attempts=2)
    again = writes(events(1, 2))
    async with relay_fleet((resumable,), {"a": {"s1": again, "s2": again}}) as fleet:
        vm = fleet.vms["a"]
        for _ in range(10):
            answer = await ask(vm, "/stream/", headers={"Last-Event-Id": "9"})
            assert answer.status == 502
        assert len(fleet.servers["s1"].received) == len(fleet.servers["s2"].received) == 10
        assert not any(isinstance(each, ServerEjected) for each in vm.events)


async def test_run_that_ends_without_an_id_is_passed_on() -> None:
    """Events without an id wait for the first id of a run, which may have none."""
    received = await receive(writes(events(1, 2), is_whole=False), writes(note(2), COMMENT))
    assert received == (events(1, 2) + note(2) + COMMENT, True)


async def test_run_that_goes_back_behind_the_clients_last_event_is_not_passed_on() -> None:
    """A client that takes up a stream got it from its beginning."""
    again, headers = writes(events(1, 2, 3, 4)), {"Last-Event-Id": "2"}
    assert await receive(again, streams(LAST), **headers) == (events(3, 4), True)


async def test_client_that_has_all_events_gets_the_end_of_its_stream() -> None:
    """It takes up a stream whose connection was lost behind the last event, and got 502."""
    assert await receive(streams(LAST), **{"Last-Event-Id": str(LAST)}) == (b"", True)


@pytest.mark.parametrize("last", [writes(), writes_unframed(b"")], ids=["chunks", "connection"])
async def test_stream_of_which_a_peer_has_nothing_left_is_complete(last: Script) -> None:
    """The peer took the end of the stream for a run that was lost before its first event."""
    resumable = route(RouteKind.STREAM, is_resumable=True, max_attempts=2)
    killed = is_killed_after(events(1, 2))
    async with relay_fleet((resumable,), {"a": {"s1": killed}, "b": {"s2": last}}) as fleet:
        answer = await ask(fleet.vms["a"], "/stream/")
        assert fleet.servers["s2"].received[0].headers["last-event-id"] == "2"
    assert answer.body == events(1, 2)


async def test_empty_stream_is_not_complete() -> None:
    """A server that ends a stream without an event has not answered."""
    async with relay_fleet((route(RouteKind.STREAM),), {"a": {"s1": writes()}}) as fleet:
        assert (await ask(fleet.vms["a"], "/stream/")).status == 502


async def test_stream_that_may_not_be_resumed_may_begin_anew_for_a_client() -> None:
    """Browsers name their last event on each new connection; the new run was taken for a fault."""
    scripts = {"a": {"s1": writes(events(1, 2))}}
    async with relay_fleet((route(RouteKind.STREAM),), scripts) as fleet:
        answer = await ask(fleet.vms["a"], "/stream/", headers={"Last-Event-Id": "5"})
        assert fleet.servers["s1"].received[0].headers["last-event-id"] == "5"
    assert (answer.status, answer.body) == (200, events(1, 2))


@pytest.mark.parametrize("ends", [is_killed_after, is_killed_slowly_after])
@pytest.mark.parametrize("pieces", [2, LAST])
async def test_unframed_stream_of_a_killed_server_is_not_taken_for_complete(
    pieces: int, ends: Callable[[bytes], Script]
) -> None:
    """A killed process closes its connections like one that has sent its whole answer.

    It may still accept a connection then. If nothing was missing, the next server adds nothing.
    """
    killed = ends(events(*range(1, pieces + 1)))
    assert await receive(killed, streams(LAST)) == (events(1, 2, 3, 4), True)
    assert await receive(killed) == (events(*range(1, pieces + 1)), False)


@pytest.mark.parametrize("on_connection", [resets_connection, keeps_connection_silent])
@pytest.mark.parametrize("pieces", [2, LAST])
async def test_unframed_stream_of_a_server_killed_behind_a_proxy_is_not_taken_for_complete(
    pieces: int, on_connection: Callable[[asyncio.StreamWriter], None]
) -> None:
    """A proxy accepts connections for a server that has ended, and none of them is refused."""
    killed = is_killed_behind_a_proxy(events(*range(1, pieces + 1)), on_connection)
    log: list[object] = []
    assert await receive(killed, streams(LAST), log=log) == (events(1, 2, 3, 4), True)
    ends = [each for each in log if isinstance(each, RelayAttemptEnded)]
    assert [end.end for end in ends] == ["lost", "passed on"]
    assert await receive(killed) == (events(*range(1, pieces + 1)), False)


@pytest.mark.parametrize("pieces", [2, LAST])
async def test_unframed_stream_of_a_server_whose_address_was_taken_is_not_taken_for_complete(
    pieces: int,
) -> None:
    """The process that had started at the address answered the probe for the one before."""
    replaced = is_replaced_after(events(*range(1, pieces + 1)))
    log: list[object] = []
    assert await receive(replaced, streams(LAST), log=log) == (events(1, 2, 3, 4), True)
    ends = [each for each in log if isinstance(each, RelayAttemptEnded)]
    assert [end.end for end in ends] == ["lost", "passed on"]


@pytest.mark.parametrize("on_connection", [resets_connection, keeps_connection_silent])
async def test_unframed_stream_that_may_not_be_resumed_breaks_off_if_no_probe_is_answered(
    on_connection: Callable[[asyncio.StreamWriter], None],
) -> None:
    """It passed for complete, though its server may have ended before its last event."""
    killed = is_killed_behind_a_proxy(events(1, 2), on_connection)
    async with relay_fleet((route(RouteKind.STREAM),), {"a": {"s1": killed}}) as fleet:
        with pytest.raises(aiohttp.ClientPayloadError):
            await ask(fleet.vms["a"], "/stream/")


async def test_other_transfer_codings_than_chunks_mark_no_end() -> None:
    """An answer with any transfer coding counted as one whose end is marked."""
    killed = is_killed_after(events(1, 2), Transfer_Encoding="identity")
    assert await receive(killed, streams(LAST)) == (events(1, 2, 3, 4), True)


async def test_broken_stream_looks_broken_to_a_client_of_http_1_0() -> None:
    """Its answer has no chunks, so that a closed connection ended a complete one."""
    breaks = writes(events(1, 2), is_whole=False)
    async with relay_fleet((route(RouteKind.STREAM),), {"a": {"s1": breaks}}) as fleet:
        vm = fleet.vms["a"]
        reader, writer = await asyncio.open_connection(vm.host, vm.front_port)
        fields = f"Host: {HOST}\r\nPomelobarrow-Request-Id: r1\r\nContent-Length: 0\r\n"
        writer.write(f"POST /stream/ HTTP/1.0\r\n{fields}\r\n".encode())
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


async def test_unframed_stream_of_a_running_server_is_complete() -> None:
    body = events(1, 2)
    assert await receive(writes_unframed(body)) == (body, True)


@pytest.mark.parametrize("line_end", [b"\r\n", b"\r"], ids=["CR LF", "CR"])
async def test_stream_with_other_line_ends_is_passed_on_and_resumed(line_end: bytes) -> None:
    """Only line feeds ended an event, so that such a stream was refused after its run."""
    first, rest = (each.replace(b"\n", line_end) for each in (events(1, 2), events(3, 4)))
    assert await receive(writes(first + rest)) == (first + rest, True)
    half = rest[: len(rest) // 3]
    assert await receive(writes(first, half, is_whole=False), writes(rest)) == (first + rest, True)


async def test_first_event_in_the_step_in_which_its_limit_passes_keeps_the_stream(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A daemon that was paused found both due at once, and gave up a server that had answered."""
    note_first_answer, loop = RelayAttempt._note_first_answer, asyncio.get_running_loop()
    has_passed = asyncio.Event()

    def pass_limit_too(attempt: RelayAttempt, head: ServerAnswerHead) -> None:
        if attempt.first_answer_unix_s is None:
            attempt._on_time_limit()
            # Behind the callback with which the limit would cancel the attempt.
            loop.call_soon(has_passed.set)
        note_first_answer(attempt, head)

    async def one_then_the_rest(exchange: Exchange) -> None:
        exchange.write_head(200, Transfer_Encoding="chunked")
        exchange.write_chunk(event(1))
        await has_passed.wait()
        exchange.write_chunk(events(2, 3, 4))
        exchange.writer.write(b"0\r\n\r\n")

    monkeypatch.setattr(RelayAttempt, "_note_first_answer", pass_limit_too)
    log: list[object] = []
    received = await receive(one_then_the_rest, streams(LAST), log=log)
    assert received == (events(1, 2, 3, 4), True)
    assert [each.end for each in log if isinstance(each, RelayAttemptEnded)] == ["passed on"]


async def test_log_shows_where_each_run_of_a_stream_begins_and_ends() -> None:
    """No line said what an attempt brought, so that a wrong join could not be seen."""
    events_of: list[object] = []
    first = writes(events(1, 2), is_whole=False)
    await receive(first, streams(LAST), log=events_of)
    ends = [event for event in events_of if isinstance(event, RelayAttemptEnded)]
    found = [(end.events, end.first_event_id, end.last_event_id, end.answer_end) for end in ends]
    assert found == [(2, "1", "2", "chunks"), (2, "3", "4", "chunks")]
    # A field whose name suggests a secret would not reach the log.
    assert [redact(None, "info", event_fields(end)) for end in ends] == list(
        map(event_fields, ends)
    )


async def test_log_shows_what_a_stream_brought_until_its_deadline() -> None:
    """The line of an attempt that the deadline ends said neither when nor how it was answered."""

    async def one_then_silence(exchange: Exchange) -> None:
        exchange.write_head(200, Transfer_Encoding="chunked")
        exchange.write_chunk(event(1))
        await exchange.reader.read()

    async with relay_fleet((route(RouteKind.STREAM),), {"a": {"s1": one_then_silence}}) as fleet:
        vm = fleet.vms["a"]
        with pytest.raises(aiohttp.ClientPayloadError):
            await ask(vm, "/stream/", headers={"Pomelobarrow-Request-Deadline": "500"})
        [end] = [each for each in vm.events if isinstance(each, RelayAttemptEnded)]
    assert (end.end, end.detail, end.answer_end) == ("cancelled", "given up", "chunks")
    assert (end.events, end.last_event_id) == (1, "1")
    assert end.first_answer_s is not None
