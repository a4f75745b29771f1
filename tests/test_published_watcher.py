"""The platform watcher while it stops, and what its reads prove."""

import asyncio
from types import SimpleNamespace

from attrs import define, field
from result import Err, Ok, Result

from pomelobarrow.decision.published.config_proof import ConfigProof
from pomelobarrow.decision.published.configuration_check import ROUTING_KEY
from pomelobarrow.decision.published.keyspace import Change
from pomelobarrow.published.keyspaces import CONFIG, PublishedState
from pomelobarrow.published.store_reader import Page, ReadError, ReadFailure, StoreReader
from pomelobarrow.published.watcher import PlatformWatcher

ROUTING = {"version": 1, "routes": [], "pools": [], "accounts": [], "needs_account": True}
STORE_UNREACHABLE = ReadError(failure=ReadFailure.UNREACHABLE)


class Store:
    """Answer the listing and block each long poll until the connections are closed."""

    def __init__(self) -> None:
        self.poll_started = asyncio.Event()
        self.closed = asyncio.Event()
        self.calls_after_close = 0

    async def read_all(self, name: str) -> Result[Page, ReadError]:
        return Ok(Page(changes=(), head_revision=1))

    async def read_changes(
        self, name: str, after: int, until_unix_s: float
    ) -> Result[Page, ReadError]:
        self.poll_started.set()
        await self.closed.wait()
        # The call in progress fails, and the next address is tried.
        await asyncio.sleep(0)
        self.calls_after_close += 1
        return Err(STORE_UNREACHABLE)

    async def close(self) -> None:
        self.closed.set()
        await asyncio.sleep(0)


async def test_watch_ends_before_its_connections_close() -> None:
    """A daemon is stopped while its watch waits for changes.

    If the connections to the store close first, the watch sees a failure, tries the next address on
    a closed session and crashes; every planned stop then logs an error with a traceback.
    """
    store = Store()
    reader = StoreReader(
        read_all=store.read_all, read_changes=store.read_changes, close=store.close
    )
    events: list[object] = []
    watcher = PlatformWatcher(
        context=SimpleNamespace(observe=events.append),  # type: ignore[arg-type]
        state=PublishedState(observe=events.append),
        reader=reader,
        is_watcher=lambda: True,
        proof=ConfigProof(revocation_s=5.0),
    )
    await watcher.start()
    async with asyncio.timeout(5):
        await store.poll_started.wait()
        await watcher.stop()
    assert store.closed.is_set()
    assert store.calls_after_close == 0


@define
class BusyStore:
    """Answer a watch on request only, with a change that the VM hasn't seen."""

    answers: asyncio.Event = field(factory=asyncio.Event)
    poll_started: asyncio.Event = field(factory=asyncio.Event)

    async def read_all(self, name: str) -> Result[Page, ReadError]:
        changes = (Change(1, ROUTING_KEY, ROUTING),) if name == CONFIG else ()
        return Ok(Page(changes=changes, head_revision=1))

    async def read_changes(
        self, name: str, after: int, until_unix_s: float
    ) -> Result[Page, ReadError]:
        self.poll_started.set()
        await self.answers.wait()
        change = Change(2, ROUTING_KEY, ROUTING | {"version": 2})
        return Ok(Page(changes=(change,), head_revision=2))

    async def close(self) -> None:
        """Do nothing."""


async def test_answer_that_arrives_during_a_stop_proves_nothing() -> None:
    """Guards against a revoked key that runs at VMs which ask this one for its proof.

    The answer is not applied any more, so that the configuration known here may be older.
    """
    store, proof = BusyStore(), ConfigProof(revocation_s=5.0)
    reader = StoreReader(
        read_all=store.read_all, read_changes=store.read_changes, close=store.close
    )
    state = PublishedState(observe=lambda event: None)
    watcher = PlatformWatcher(
        context=SimpleNamespace(observe=lambda event: None),  # type: ignore[arg-type]
        state=state,
        reader=reader,
        is_watcher=lambda: False,
        proof=proof,
    )
    await watcher.start()
    async with asyncio.timeout(5):
        await watcher.first_read_done.wait()
        read = asyncio.create_task(watcher.read_now(CONFIG))
        await store.poll_started.wait()
        proven = proof.newest
        await watcher.stop()
        store.answers.set()
        await read
    assert state.copies[CONFIG].observed_revision == 1
    assert proof.newest == proven


@define
class LaggingStore:
    """Answer watches from before the listing."""

    async def read_all(self, name: str) -> Result[Page, ReadError]:
        changes = (Change(2, ROUTING_KEY, ROUTING),) if name == CONFIG else ()
        return Ok(Page(changes=changes, head_revision=2))

    async def read_changes(
        self, name: str, after: int, until_unix_s: float
    ) -> Result[Page, ReadError]:
        return Ok(Page(changes=(), head_revision=after - 1))

    async def close(self) -> None:
        """Do nothing."""


async def test_answer_from_before_the_known_revision_proves_nothing() -> None:
    """Guards against a revoked key that runs by the word of a store that lags behind."""
    store, proof = LaggingStore(), ConfigProof(revocation_s=5.0)
    reader = StoreReader(
        read_all=store.read_all, read_changes=store.read_changes, close=store.close
    )
    watcher = PlatformWatcher(
        context=SimpleNamespace(observe=lambda event: None),  # type: ignore[arg-type]
        state=PublishedState(observe=lambda event: None),
        reader=reader,
        is_watcher=lambda: False,
        proof=proof,
    )
    await watcher.start()
    async with asyncio.timeout(5):
        await watcher.first_read_done.wait()
    proven = proof.newest
    await watcher.read_now(CONFIG)
    await watcher.stop()
    assert proven is not None
    assert proof.newest == proven
