"""A store whose answers are cut at any byte."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from result import Err, Result

from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.platform.store import KeyspaceSource, Store
from pomelobarrow.published.store_reader import Page, ReadError, ReadFailure

KEYSPACE = "things"
SOURCE = KeyspaceSource(
    prefix="things/",
    key_of=lambda key: key.removeprefix("things/"),
    value_of=lambda key, value: value,
)
ITEM = {"Key": "things/a", "Revision": 12, "Value": base64.b64encode(b"1").decode()}


def framed(body: bytes) -> dict[str, bytes]:
    """Return the answer with all kinds of framing."""
    start = b"HTTP/1.1 200 OK\r\nStore-Era: 12\r\n"
    return {
        "length": start + b"Content-Length: %d\r\n\r\n%b" % (len(body), body),
        "chunks": start
        + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body),
        "no framing": start + b"Connection: close\r\n\r\n" + body,
    }


async def read_all(store: Store) -> Result[Page, ReadError]:
    return await store.read_all(KEYSPACE)


async def read_changes(store: Store) -> Result[Page, ReadError]:
    return await store.read_changes(KEYSPACE, 1, now_unix_s())


LISTING = {"items": [ITEM], "HasMore": False, "StoreRevision": 12}
CHANGES = {"events": [ITEM], "StoreRevision": 12}


@pytest.mark.parametrize("framing", ["length", "chunks", "no framing"])
@pytest.mark.parametrize(
    ("read", "body"),
    [
        pytest.param(read_all, LISTING, id="listing"),
        pytest.param(read_changes, CHANGES, id="watch"),
    ],
)
async def test_cut_answer_of_the_store_is_no_answer(
    read: Callable[[Store], Awaitable[Result[Page, ReadError]]], body: dict[str, Any], framing: str
) -> None:
    """Guards against a short list of servers or keys, or a shorter revision, taken for whole."""
    whole = framed(json.dumps(body).encode())[framing]
    answer = b""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async with await asyncio.start_server(serve, "127.0.0.1", 0) as listening:
        port = listening.sockets[0].getsockname()[1]
        store = Store(addresses=(f"http://127.0.0.1:{port}",), sources={KEYSPACE: SOURCE})
        for size in range(len(whole)):
            answer = whole[:size]
            result = await read(store)
            assert isinstance(result, Err), answer
            assert result.err_value.failure in (ReadFailure.UNREACHABLE, ReadFailure.MALFORMED)
        await store.close()
