"""The platform's plug-in: keyspaces and their watcher."""

from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import PhasedService, StartPhase, StatusSection, hookimpl
from pomelobarrow.peers.table import PeerTable
from pomelobarrow.platform.keyspaces import CONFIG, VMS, PublishedState
from pomelobarrow.platform.watcher import PlatformWatcher


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the keyspaces and their watcher."""
    context.provide(PublishedState, lambda c: PublishedState(observe=c.observe))
    context.provide(PlatformWatcher, _watcher)


@hookimpl
def services(context: Context) -> list[PhasedService]:
    """Watch the platform."""
    return [PhasedService(StartPhase.PLATFORM, context.get(PlatformWatcher))]


@hookimpl
def not_ready_reason(context: Context) -> str | None:
    """Say that no configuration is in force yet."""
    published = context.get(PublishedState)
    missing = [name for name in (CONFIG, VMS) if not published.copies[name].revision]
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
    return PlatformWatcher(
        context,
        context.get(PublishedState),
        lambda name: context.get(PeerTable).is_watcher(name),
    )
