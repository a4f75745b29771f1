"""The plug-in for the published keyspaces and their watcher."""

import asyncio

from mode import Service

from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.published.config_proof import ConfigProof
from pomelobarrow.decision.published.store_position import era_of, revision_of
from pomelobarrow.decision.servers.departures import Departures
from pomelobarrow.decision.streams.list_evidence import ListEvidence
from pomelobarrow.kernel.background import background_task
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import PhasedService, StartPhase, StatusSection, hookimpl
from pomelobarrow.kernel.settings import DEFAULT_REVOCATION_S
from pomelobarrow.peers.table import PeerTable
from pomelobarrow.published.keyspaces import CONFIG, VMS, PublishedState
from pomelobarrow.published.shared_read import SharedRead
from pomelobarrow.published.store_reader import StoreReader
from pomelobarrow.published.watcher import PlatformWatcher

# Servers whose grace periods end within one interval are removed in one update.
SWEEP_INTERVAL_S = 0.25


class DueChanges(Service):
    """Apply changes that are due by time alone: expired leases, a configuration held back."""

    def __init__(self, published: PublishedState) -> None:
        super().__init__()
        self._published = published
        self._has_due = asyncio.Event()
        published.listeners.append(self._on_applied)

    def _on_applied(self, name: str, source: str) -> None:
        if self._published.next_due_unix_s is not None:
            self._has_due.set()

    @background_task
    async def _sweep(self) -> None:
        while not self.should_stop:
            await self._has_due.wait()
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._published.apply_due()
            if self._published.next_due_unix_s is None:
                self._has_due.clear()


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the keyspaces and their watcher."""
    context.provide(Departures, lambda _: Departures())
    context.provide(PublishedState, _state)
    context.provide(PlatformWatcher, _watcher)
    context.provide(ConfigProof, _proof)
    context.provide(ListEvidence, _list_evidence)
    context.provide(SharedRead, _shared_read)


@hookimpl
def services(context: Context) -> list[PhasedService]:
    """Return the platform watcher and the sweeper of changes that are due by time."""
    return [
        PhasedService(StartPhase.PLATFORM, context.get(PlatformWatcher)),
        PhasedService(StartPhase.PLATFORM, DueChanges(context.get(PublishedState))),
    ]


@hookimpl
def not_ready_reason(context: Context) -> str | None:
    """Return the keyspace that has no revision in force yet, None if each has one."""
    published = context.get(PublishedState)
    missing = [name for name, copy in published.copies.items() if not copy.revision]
    return f"no {missing[0]} in force yet" if missing else None


@hookimpl
def status(context: Context) -> StatusSection:
    """Return the revisions in force and observed, by keyspace."""
    copies = context.get(PublishedState).copies
    values = {
        name: {
            "era": era_of(copy.observed_revision),
            "revision": revision_of(copy.revision),
            "observed_revision": revision_of(copy.observed_revision),
            "digest": f"{copy.digest:016x}",
            "refused": [str(reason) for reason in copy.refused_reasons],
        }
        for name, copy in copies.items()
    }
    return StatusSection("keyspaces", values)


def _state(context: Context) -> PublishedState:
    return PublishedState(observe=context.observe, departures=context.get(Departures))


def _proof(context: Context) -> ConfigProof:
    relay = context.settings.relay
    proof = ConfigProof(revocation_s=relay.revocation_s if relay else DEFAULT_REVOCATION_S)
    context.get(PublishedState).era_listeners.append(proof.observe_era)
    return proof


def _list_evidence(context: Context) -> ListEvidence:
    relay = context.settings.relay
    regions = relay.region_by_failure_domain.values() if relay else ()
    evidence = ListEvidence(
        view=context.get(MembershipView),
        regions=tuple(sorted({*regions})),
        keyspaces=(CONFIG, VMS),
        reads_store=lambda: context.get(PeerTable).is_watcher(),
    )
    context.get(PublishedState).era_listeners.append(evidence.observe_era)
    return evidence


def _shared_read(context: Context) -> SharedRead:
    return SharedRead(read=context.get(PlatformWatcher).read_all_now)


def _watcher(context: Context) -> PlatformWatcher:
    table = context.get(PeerTable)
    watcher = PlatformWatcher(
        context,
        context.get(PublishedState),
        context.get(StoreReader),
        table.is_watcher,
        context.get(ConfigProof),
    )
    watcher.read_listeners.append(context.get(ListEvidence).note_read)
    table.review_listeners.append(watcher.on_role_review)
    return watcher
