"""The plug-in of what is published: keyspaces and their watcher."""

import asyncio

from mode import Service

from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import PhasedService, StartPhase, StatusSection, hookimpl
from pomelobarrow.peers.table import PeerTable
from pomelobarrow.published.keyspaces import PublishedState
from pomelobarrow.published.store_reader import StoreReader
from pomelobarrow.published.watcher import PlatformWatcher

# Leases that lapse together are given up together.
LAPSE_SWEEP_EVERY_S = 0.25


class LapseSweeper(Service):
    """Give up servers whose lapsed leases aren't renewed in time."""

    def __init__(self, published: PublishedState) -> None:
        super().__init__()
        self._published = published
        self._has_lapsed = asyncio.Event()
        published.listeners.append(self._note_applied)

    def _note_applied(self, name: str, source: str) -> None:
        if self._published.next_lapse_unix_s is not None:
            self._has_lapsed.set()

    @Service.task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self._has_lapsed.wait()
            await asyncio.sleep(LAPSE_SWEEP_EVERY_S)
            self._published.drop_lapsed()
            if self._published.next_lapse_unix_s is None:
                self._has_lapsed.clear()


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the keyspaces and their watcher."""
    context.provide(PublishedState, lambda c: PublishedState(observe=c.observe))
    context.provide(PlatformWatcher, _watcher)


@hookimpl
def services(context: Context) -> list[PhasedService]:
    """Watch the platform."""
    return [
        PhasedService(StartPhase.PLATFORM, context.get(PlatformWatcher)),
        PhasedService(StartPhase.PLATFORM, LapseSweeper(context.get(PublishedState))),
    ]


@hookimpl
def not_ready_reason(context: Context) -> str | None:
    """Say that no configuration is in force yet."""
    published = context.get(PublishedState)
    missing = [name for name, copy in published.copies.items() if not copy.revision]
    return f"no {missing[0]} in force yet" if missing else None


@hookimpl
def status(context: Context) -> StatusSection:
    """Say which revisions are in force."""
    copies = context.get(PublishedState).copies
    values = {
        name: {
            "revision": copy.revision,
            "observed_revision": copy.observed_revision,
            "digest": f"{copy.digest:016x}",
            "refused": [str(reason) for reason in copy.refused_reasons],
        }
        for name, copy in copies.items()
    }
    return StatusSection("keyspaces", values)


def _watcher(context: Context) -> PlatformWatcher:
    table = context.get(PeerTable)
    watcher = PlatformWatcher(
        context, context.get(PublishedState), context.get(StoreReader), table.is_watcher
    )
    table.review_listeners.append(watcher.note_role)
    return watcher
