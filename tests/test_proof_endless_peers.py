"""Daemons beside a peer whose messages have no end."""

import asyncio
import random
import resource
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import pytest
from client_crowd import is_ordinary_request_answered, peak_memory_bytes
from faulty_peer import FORMS, FaultyPeer, Messages, empty_items, listings
from proof_report import Figure

from pomelobarrow.platform.settings import _peer_key
from soak.fleet import FRAGILE, Daemon, SoakFleet

pytestmark = pytest.mark.proof

# Half of the memory of a VM.
MAX_DAEMON_BYTES = 150 << 20
# A daemon that needs more fails to allocate it, before it affects the machine of the test.
DATA_LIMIT_BYTES = 600 << 20
ENOUGH_BYTES = 160 << 20
SENDING_S = 8.0
CALM_PAUSE_S = 0.1
ORDINARY_TIMEOUT_S = 4.0
# Listed servers of another pool; a listing has some 400 bytes for each.
LISTED_SERVERS = 500


@asynccontextmanager
async def two_daemons() -> AsyncIterator[SoakFleet]:
    """Run two daemons of limited memory in one region."""
    fleet = SoakFleet(random=random.Random(1), servers_per_region=1)
    async with fleet:
        for daemon in fleet.daemons:
            await fleet.wait_ready(daemon)
            pid = fleet.processes.running[daemon.vm].pid
            resource.prlimit(pid, resource.RLIMIT_DATA, (DATA_LIMIT_BYTES, DATA_LIMIT_BYTES))
        yield fleet


def faulty_peer(fleet: SoakFleet, daemon: Daemon) -> FaultyPeer:
    return FaultyPeer(
        address=(daemon.ip, fleet._ports["Control"]),
        key=_peer_key(fleet._store_address),
        region=daemon.region,
        failure_domain=f"{daemon.region}-1",
        most_bytes=ENOUGH_BYTES,
        until_unix_s=time.time() + SENDING_S,
    )


async def send_ordinary(fleet: SoakFleet, daemon: Daemon, is_over: asyncio.Event) -> Counter[Any]:
    """Send one request after another until the faulty peer has ended."""
    statuses: Counter[Any] = Counter()
    timeout = aiohttp.ClientTimeout(total=ORDINARY_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while not is_over.is_set():
            id_ = f"ordinary-{statuses.total()}"
            statuses[await fleet.send(session, daemon, "plain", id_, b"")] += 1
            await asyncio.sleep(CALM_PAUSE_S)
    return statuses


async def play(
    send: Callable[[FaultyPeer], Coroutine[Any, Any, None]], figure: Figure, servers: int = 0
) -> None:
    """Let a faulty peer send to one of two daemons, and check both."""
    async with two_daemons() as fleet:
        for number in range(servers):
            fleet.list_address(f"listed-{number}", "rb", f"127.0.8.8:{number + 1}", FRAGILE)
        first = fleet.in_region("ra")[0]
        assert await is_ordinary_request_answered(fleet, first)
        peer, is_over = faulty_peer(fleet, first), asyncio.Event()
        ordinary = asyncio.create_task(send_ordinary(fleet, first, is_over))
        await send(peer)
        is_over.set()
        statuses = await ordinary
        ended = fleet.ended_daemons()
        peaks = {
            daemon.vm: peak_memory_bytes(fleet, daemon) >> 20
            for daemon in fleet.daemons
            if fleet.processes.running[daemon.vm].poll() is None
        }
    figure("sent, MiB", peer.sent_bytes >> 20)
    figure("peaks, MiB", peaks)
    figure("statuses", statuses)
    assert ended == []
    assert max(peaks.values()) <= MAX_DAEMON_BYTES >> 20
    assert statuses[200] > 0


@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.__name__)
async def test_messages_of_a_peer_without_end_do_not_fill_the_memory(
    form: Messages, figure: Figure
) -> None:
    """Guards against one faulty VM that ends the VMs which it sends to, and those beside them."""
    await play(lambda peer: peer.send_all(form), figure)


async def test_empty_items_do_not_fill_the_memory(figure: Figure) -> None:
    """Guards against messages that take fifty times as much memory once they are decoded."""
    await play(lambda peer: peer.send_encoded(empty_items(peer)), figure)


async def test_unread_listings_do_not_fill_the_memory(figure: Figure) -> None:
    """Guards against answers that are made faster than their peer reads them."""
    await play(lambda peer: peer.send_all(listings, is_reading=False), figure, LISTED_SERVERS)


async def test_unread_answers_to_pings_do_not_fill_the_memory(figure: Figure) -> None:
    """HTTP/2 answers each ping, whether or not the peer reads the answers."""
    await play(lambda peer: peer.send_pings(), figure)


async def test_long_messages_on_many_streams_do_not_fill_the_memory(figure: Figure) -> None:
    """Guards against a bound for a message without a bound for all of them."""
    await play(lambda peer: peer.send_long_messages(40, 40 << 20), figure)
