"""Daemons beside a store, or what answers at its address, whose answers have no end."""

import asyncio
import base64
import random
import resource
import time
import zlib
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Any

import aiohttp
import orjson
import pytest
from aiohttp import web
from attrs import define
from client_crowd import peak_memory_bytes
from proof_report import Figure

from soak.fleet import Daemon, SoakFleet
from soak.store import SoakStore

pytestmark = pytest.mark.proof

# Half of the memory of a VM.
MAX_DAEMON_BYTES = 150 << 20
# A daemon that needs more fails to allocate it, before it affects the machine of the test.
DATA_LIMIT_BYTES = 600 << 20
FAULTY_S = 8.0
CALM_PAUSE_S = 0.1
ORDINARY_TIMEOUT_S = 4.0
NESTED = b"[]," * (5 << 20) + b"[]"
SPACES = b" " * 65_536
LONG_KEY_BYTES = 3 << 20
UNREADABLE_ITEMS = 200_000
SERVER = {
    "Service": "none",
    "Address": "127.0.8.8:1",
    "Zone": "ra-1",
    "State": "ready",
    "Slots": 1,
}
VALUE = base64.b64encode(orjson.dumps(SERVER)).decode()

Form = Callable[["FaultyStore", web.Request], Awaitable[web.StreamResponse]]


@define(slots=False)
class FaultyStore(SoakStore):
    """Answer like a store until a fault begins, and then as the form of the fault does."""

    form: Form | None = None
    answered: int = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes that daemons call."""
        list_, watch = (each.handler for each in super().routes())
        return [
            web.get("/kv-range", self._faulty(list_)),
            web.get("/kv-watch", self._faulty(watch)),
        ]

    def _faulty(self, sound: Any) -> Any:
        async def answer(request: web.Request) -> web.StreamResponse:
            if self.form is None:
                response: web.StreamResponse = await sound(request)
                return response
            self.answered += 1
            return await self.form(self, request)

        return answer

    def next_revision(self, count: int) -> int:
        """Return the first of new revisions."""
        self.revision += count
        return self.revision - count + 1


def body_of(store: FaultyStore, items: bytes, has_more: bytes = b"false") -> web.Response:
    text = b'{"items":[%b],"events":[%b],"HasMore":%b,"StoreRevision":%d}'
    body = text % (items, items, has_more, store.revision)
    headers = {"Store-Era": str(store.era)}
    return web.Response(body=body, content_type="application/json", headers=headers)


def new_servers(store: FaultyStore, prefix: str, count: int) -> bytes:
    first = store.next_revision(count)
    return b",".join(
        b'{"Key":"%b%d","Revision":%d,"Value":"%b"}'
        % (prefix.encode(), number, number, VALUE.encode())
        for number in range(first, first + count)
    )


async def nested_items(store: FaultyStore, request: web.Request) -> web.StreamResponse:
    """Answer with items that take twenty times their bytes once they are decoded."""
    return body_of(store, NESTED)


async def unreadable_items(store: FaultyStore, request: web.Request) -> web.StreamResponse:
    """Answer with many items that can't be read, each of which is reported."""
    first = store.next_revision(UNREADABLE_ITEMS)
    numbers = range(first, first + UNREADABLE_ITEMS)
    items = (b'{"Key":"servers/%d","Revision":%d,"Value":"!"}' % (n, n) for n in numbers)
    return body_of(store, b",".join(items))


async def more_servers(store: FaultyStore, request: web.Request) -> web.StreamResponse:
    """Answer with as many new servers as one answer holds, each time."""
    return body_of(store, new_servers(store, request.query["Prefix"], 8_000))


async def more_pages(store: FaultyStore, request: web.Request) -> web.StreamResponse:
    """Answer each listing with a page that another one follows."""
    if request.path == "/kv-watch":
        return web.Response(status=410)
    return body_of(store, new_servers(store, request.query["Prefix"], 8_000), b"true")


async def long_keys(store: FaultyStore, request: web.Request) -> web.StreamResponse:
    """Answer with an item that can't be read and has a long key."""
    revision = store.next_revision(1)
    key = b"servers/" + b"k" * LONG_KEY_BYTES
    return body_of(store, b'{"Key":"%b","Revision":%d,"Value":"!"}' % (key, revision))


async def compressed_spaces(store: FaultyStore, request: web.Request) -> web.StreamResponse:
    """Answer with few compressed bytes for many."""
    response = web.StreamResponse(headers={"Content-Encoding": "gzip"})
    await response.prepare(request)
    packed = zlib.compressobj(wbits=31)
    with suppress(ConnectionError):
        while True:
            await response.write(packed.compress(SPACES))
            # Few of the calls above bring any bytes.
            await asyncio.sleep(0)
    return response


async def spaces(store: FaultyStore, request: web.Request) -> web.StreamResponse:
    """Answer with a body that never ends."""
    response = web.StreamResponse()
    await response.prepare(request)
    with suppress(ConnectionError):
        while True:
            await response.write(SPACES)
    return response


async def slow_bytes(store: FaultyStore, request: web.Request) -> web.StreamResponse:
    """Answer with a body that comes byte by byte."""
    response = web.StreamResponse()
    await response.prepare(request)
    with suppress(ConnectionError):
        while True:
            await response.write(b" ")
            await asyncio.sleep(0.5)
    return response


FORMS: tuple[Form, ...] = (
    nested_items,
    unreadable_items,
    more_servers,
    more_pages,
    long_keys,
    compressed_spaces,
    spaces,
    slow_bytes,
)


@asynccontextmanager
async def two_daemons(store: FaultyStore) -> AsyncIterator[SoakFleet]:
    """Run two daemons of limited memory in each region."""
    fleet = SoakFleet(random=random.Random(1), servers_per_region=1, store=store)
    async with fleet:
        for daemon in fleet.daemons:
            await fleet.wait_ready(daemon)
            pid = fleet.processes.running[daemon.vm].pid
            resource.prlimit(pid, resource.RLIMIT_DATA, (DATA_LIMIT_BYTES, DATA_LIMIT_BYTES))
        yield fleet


async def send_ordinary(fleet: SoakFleet, daemon: Daemon, until_unix_s: float) -> Counter[Any]:
    statuses: Counter[Any] = Counter()
    timeout = aiohttp.ClientTimeout(total=ORDINARY_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while time.time() < until_unix_s:
            id_ = f"ordinary-{statuses.total()}"
            statuses[await fleet.send(session, daemon, "plain", id_, b"")] += 1
            await asyncio.sleep(CALM_PAUSE_S)
    return statuses


@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.__name__)
async def test_requests_are_served_beside_endless_answers_of_the_store(
    form: Form, figure: Figure
) -> None:
    """Guards against a store that fills the memory of all VMs, or takes all of their time."""
    store = FaultyStore()
    async with two_daemons(store) as fleet:
        daemon = fleet.in_region("ra")[0]
        store.form = form
        # Wakes the watches that wait.
        store._notify()
        statuses = await send_ordinary(fleet, daemon, time.time() + FAULTY_S)
        ended = fleet.ended_daemons()
        peaks = {
            each.vm: peak_memory_bytes(fleet, each) >> 20
            for each in fleet.daemons
            if fleet.processes.running[each.vm].poll() is None
        }
        log_bytes = {each.vm: len(fleet.processes.log(each.vm)) for each in fleet.daemons}
    figure("faulty answers", store.answered)
    figure("peaks, MiB", peaks)
    figure("statuses", statuses)
    figure("log, kB", {vm: size >> 10 for vm, size in log_bytes.items()})
    assert ended == []
    assert max(peaks.values()) <= MAX_DAEMON_BYTES >> 20
    assert statuses[200] > 0.5 * statuses.total()
    assert max(log_bytes.values()) <= 4 << 20
