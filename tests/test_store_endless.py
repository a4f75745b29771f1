"""A store, or what answers at its address, that sends bytes without end."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Any

import orjson
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from attrs import define, field
from result import Err

from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.platform.store import (
    MAX_ANSWER_BYTES,
    MAX_ITEMS_PER_ANSWER,
    KeyspaceSource,
    Store,
)
from pomelobarrow.published.events import StoreAnswerTooLong
from pomelobarrow.published.store_reader import ReadFailure

KEYSPACE = "things"
BOUND_BYTES = 1 << 20
# The memory of a VM, and how much more an answer of nested lists takes once it is decoded.
VM_BYTES = 300_000_000
MAX_DECODED_FACTOR = 22
# What the sockets of both ends hold beyond what was read.
SOCKETS_BYTES = 16 << 20
ENOUGH_BYTES = 256 << 20
BLOCK = b" " * 65_536
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
Blocks = Callable[[], Iterator[bytes]]


def body_without_length() -> Iterator[bytes]:
    yield HEAD + b"\r\n"
    while True:
        yield BLOCK


def body_of_a_huge_length() -> Iterator[bytes]:
    yield HEAD + b"Content-Length: 9000000000\r\n\r\n"
    while True:
        yield BLOCK


def chunks() -> Iterator[bytes]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    while True:
        yield b"10000\r\n" + BLOCK + b"\r\n"


def chunk_extension() -> Iterator[bytes]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;a="
    while True:
        yield BLOCK.replace(b" ", b"a")


def trailers() -> Iterator[bytes]:
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
    while True:
        yield b"X-T: 1\r\n" * 8_000


def header_lines() -> Iterator[bytes]:
    yield HEAD
    while True:
        yield b"X-H: 1\r\n" * 8_000


def header_line() -> Iterator[bytes]:
    yield HEAD + b"X-H: "
    while True:
        yield BLOCK.replace(b" ", b"a")


def interim_answers() -> Iterator[bytes]:
    while True:
        yield b"HTTP/1.1 102 Processing\r\n\r\n" * 2_000


FORMS: tuple[Blocks, ...] = (
    body_without_length,
    body_of_a_huge_length,
    chunks,
    chunk_extension,
    trailers,
    header_lines,
    header_line,
    interim_answers,
)


@define
class EndlessStore:
    """Write a form of answer until the connection is closed, and count what was written."""

    form: Blocks
    written_bytes: int = 0
    closed: asyncio.Event = field(factory=asyncio.Event)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for block in self.form():
                if self.written_bytes > ENOUGH_BYTES:
                    break
                writer.write(block)
                await writer.drain()
                self.written_bytes += len(block)
        except OSError:
            pass
        finally:
            self.closed.set()
            writer.close()


@pytest.fixture
async def endless(request: pytest.FixtureRequest) -> AsyncIterator[tuple[EndlessStore, Store]]:
    server = EndlessStore(request.param)
    socket = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    address = f"http://127.0.0.1:{socket.sockets[0].getsockname()[1]}"
    source = KeyspaceSource(prefix="", key_of=str, value_of=lambda key, value: value)
    store = Store(addresses=(address,), sources={KEYSPACE: source}, max_answer_bytes=BOUND_BYTES)
    yield server, store
    await store.close()
    socket.close()


@pytest.mark.parametrize("endless", FORMS, indirect=True, ids=lambda form: form.__name__)
@pytest.mark.parametrize("is_watch", [False, True], ids=["listing", "watch"])
async def test_answer_without_end_is_closed_after_a_bounded_number_of_bytes(
    endless: tuple[EndlessStore, Store], is_watch: bool
) -> None:
    """Guards against a VM whose memory fills with what answers at the store's address."""
    server, store = endless
    if is_watch:
        result = await store.read_changes(KEYSPACE, 1, now_unix_s())
    else:
        result = await store.read_all(KEYSPACE)
    assert isinstance(result, Err)
    await server.closed.wait()
    assert server.written_bytes <= BOUND_BYTES + SOCKETS_BYTES


EVENTS = [{"Key": "a", "Revision": 2, "Tombstone": True}]


@pytest.fixture
async def long_answers() -> AsyncIterator[tuple[Store, list[object]]]:
    """Answer with bodies that are valid, and longer uncompressed than what may be read."""

    async def answer(request: web.Request) -> web.Response:
        body = {"items": EVENTS, "events": EVENTS, "StoreRevision": 2, "HasMore": True}
        text = orjson.dumps(body) + BLOCK * (BOUND_BYTES // len(BLOCK))
        response = web.Response(body=text, content_type="application/json")
        response.enable_compression()
        return response

    app, events = web.Application(), list[object]()
    app.add_routes([web.get("/kv-range", answer), web.get("/kv-watch", answer)])
    source = KeyspaceSource(prefix="", key_of=str, value_of=lambda key, value: value)
    async with TestServer(app) as server:
        store = Store(
            addresses=(f"http://127.0.0.1:{server.port}",),
            sources={KEYSPACE: source},
            observe=events.append,
            max_answer_bytes=BOUND_BYTES,
        )
        yield store, events
        await store.close()


async def test_compressed_answer_is_bounded_by_what_it_holds(
    long_answers: tuple[Store, list[object]],
) -> None:
    """A few compressed bytes could fill the memory."""
    store, events = long_answers
    result = await store.read_all(KEYSPACE)
    assert result.unwrap_err().failure is ReadFailure.TOO_LONG
    assert [type(each) for each in events] == [StoreAnswerTooLong]


async def test_watch_with_too_long_an_answer_is_replaced_by_a_listing(
    long_answers: tuple[Store, list[object]],
) -> None:
    """Guards against a watch that asks for the same changes for ever."""
    store, _ = long_answers
    result = await store.read_changes(KEYSPACE, 1, now_unix_s())
    assert result.unwrap_err().failure is ReadFailure.HISTORY_GONE


async def test_listing_whose_pages_never_end_is_given_up(
    long_answers: tuple[Store, list[object]],
) -> None:
    """Each page is within its bound; a thousand of them would not fit a VM's memory."""
    store, events = long_answers
    store.max_answer_bytes, store.max_listing_bytes = 2 * BOUND_BYTES, 3 * BOUND_BYTES
    result = await store.read_all(KEYSPACE)
    assert result.unwrap_err().failure is ReadFailure.TOO_LONG
    assert [type(each) for each in events] == [StoreAnswerTooLong]


@pytest.fixture
async def answering() -> AsyncIterator[tuple[Store, dict[str, Any], list[object]]]:
    """Answer each call with the body that the test sets."""
    body: dict[str, Any] = {"StoreRevision": 2, "HasMore": False}

    async def answer(request: web.Request) -> web.Response:
        return web.Response(body=orjson.dumps(body), content_type="application/json")

    app, events = web.Application(), list[object]()
    app.add_routes([web.get("/kv-range", answer), web.get("/kv-watch", answer)])
    source = KeyspaceSource(prefix="", key_of=str, value_of=lambda key, value: value)
    async with TestServer(app) as server:
        address = f"http://127.0.0.1:{server.port}"
        store = Store(addresses=(address,), sources={KEYSPACE: source}, observe=events.append)
        yield store, body, events
        await store.close()


@pytest.mark.parametrize("item", [[], {}, {"Key": "a", "Revision": 0}])
async def test_answer_of_many_small_items_is_given_up(
    answering: tuple[Store, dict[str, Any], list[object]], item: Any
) -> None:
    """Each unreadable item was reported, so that one answer took the loop for half a minute."""
    store, body, events = answering
    body["items"] = body["events"] = [item] * (MAX_ITEMS_PER_ANSWER + 1)
    for result in (
        await store.read_all(KEYSPACE),
        await store.read_changes(KEYSPACE, 1, now_unix_s()),
    ):
        assert result.unwrap_err().failure is ReadFailure.MALFORMED
    assert events == []


async def test_nested_answer_is_bounded_by_what_it_decodes_to(
    answering: tuple[Store, dict[str, Any], list[object]],
) -> None:
    """Guards against an answer that takes some twenty times its bytes once it is decoded."""
    store, body, events = answering
    body["items"] = [[]] * (MAX_ANSWER_BYTES // 3)
    result = await store.read_all(KEYSPACE)
    assert result.unwrap_err().failure is ReadFailure.TOO_LONG
    assert [type(each) for each in events] == [StoreAnswerTooLong]
    assert MAX_DECODED_FACTOR * MAX_ANSWER_BYTES <= VM_BYTES / 3
