"""The platform's store comes back from an older copy and gives revisions out again."""

import asyncio
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from attrs import define, field

from pomelobarrow.decision.config_proof import ConfigProof
from pomelobarrow.platform.records import platform_sources
from pomelobarrow.platform.store import Store
from pomelobarrow.published.keyspaces import PublishedState
from pomelobarrow.published.watcher import PlatformWatcher
from soak.store import SoakStore

SOON_S = 4.0
ENTRY = {"Service": "p", "Address": "10.0.0.1:1", "Zone": "z", "Slots": 8}


def config(version: int) -> dict[str, Any]:
    return {"Version": version, "Routes": [], "Services": [], "Limits": {}}


@define(slots=False)
class Reader:
    """One VM's watcher and what it has in force."""

    state: PublishedState
    watcher: PlatformWatcher
    events: list[object] = field(factory=list)

    @property
    def version(self) -> int:
        return self.state.routing.version if self.state.routing else 0

    async def wait_for_version(self, version: int) -> None:
        async with asyncio.timeout(SOON_S):
            while self.version != version:
                await asyncio.sleep(0.01)


@pytest.fixture
def store() -> SoakStore:
    store = SoakStore()
    store.put("op/config", config(5))
    store.put("servers/s1", ENTRY | {"State": "ready"})
    return store


@pytest.fixture
async def reader(store: SoakStore) -> AsyncIterator[Reader]:
    app = web.Application()
    app.add_routes(store.routes())
    async with TestServer(app) as server:
        client = Store(
            addresses=[f"http://127.0.0.1:{server.port}"], sources=platform_sources({"z": "r"})
        )
        events: list[object] = []
        state = PublishedState(observe=events.append)
        watcher = PlatformWatcher(
            context=SimpleNamespace(observe=events.append),  # type: ignore[arg-type]
            state=state,
            reader=client.reader(),
            is_watcher=lambda: True,
            proof=ConfigProof(revocation_s=5.0),
        )
        await watcher.start()
        yield Reader(state, watcher, events)
        await watcher.stop()


async def test_change_after_the_store_came_back_from_an_older_copy_is_taken(
    store: SoakStore, reader: Reader
) -> None:
    """Revisions up to the last observed one were ignored, so acknowledged changes had no effect."""
    await reader.wait_for_version(5)
    copy = store.copy()
    for version in (7, 9, 11):
        store.put("op/config", config(version))
    await reader.wait_for_version(11)
    store.come_back(copy)
    store.put("op/config", config(12))
    await reader.wait_for_version(12)


async def test_departure_after_the_store_came_back_from_an_older_copy_is_taken(
    store: SoakStore, reader: Reader
) -> None:
    """A server left under a revision that had been given out before."""
    await reader.wait_for_version(5)
    copy = store.copy()
    for number in (2, 3):
        store.put(f"servers/s{number}", ENTRY | {"State": "ready"})
    async with asyncio.timeout(SOON_S):
        while "s3" not in reader.state.backend_servers:
            await asyncio.sleep(0.01)
    store.come_back(copy)
    store.put("servers/s1", ENTRY | {"State": "draining"})
    async with asyncio.timeout(SOON_S):
        while not reader.state.backend_servers["s1"].leaving:
            await asyncio.sleep(0.01)
