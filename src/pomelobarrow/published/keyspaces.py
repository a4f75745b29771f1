"""The daemon's copies of the published keyspaces and the values parsed from them."""

from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any

import structlog
from attrs import define, field
from result import Err

from pomelobarrow.decision.published.configuration import Configuration
from pomelobarrow.decision.published.configuration_check import ROUTING_KEY, ConfigurationChecker
from pomelobarrow.decision.published.keyspace import ApplyResult, Change, Delta, KeyspaceCopy
from pomelobarrow.decision.published.routing import Routing
from pomelobarrow.decision.published.store_position import era_of, position, revision_of
from pomelobarrow.decision.requests.short_key import server_key
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.departures import Departures, DepartureSource
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.published.events import (
    ItemUnreadable,
    KeyspaceApplied,
    KeyspaceRefused,
    ServerLeaving,
    StoreReturned,
)
from pomelobarrow.published.vms import UNUSABLE, EntryVm, VmList

CONFIG = "config"
VMS = "vms"
# The source of a change that removes servers whose leases expired and weren't renewed in time.
SOURCE_LEASE_EXPIRY = "lapsed leases"
# The source of a configuration that was held back after the store's return.
SOURCE_SETTLED = "settled return"
# After its return from an older copy, the store lacks what was written since that copy; operators
# and servers write it again within this time. Until then the configuration in force stays, and
# reads of the store prove nothing.
RETURN_SETTLE_S = 2.0
# The source of a change that marks a server whose departure became known otherwise.
SOURCE_DEPARTURE = "departure"
# The source of the notification that the store came back from an older copy.
SOURCE_RETURN = "store's return"

log = structlog.get_logger(__name__)

# Called with the name of the changed keyspace and the source of the change.
AppliedListener = Callable[[str, str], None]


@define(kw_only=True)
class PublishedState:
    """Keep copies of both keyspaces and their parsed values; notify listeners of changes."""

    observe: Callable[[object], None]
    checker: ConfigurationChecker = field(factory=ConfigurationChecker)
    copies: dict[str, KeyspaceCopy] = field(init=False)
    configuration: Configuration | None = None
    departures: Departures = field(factory=Departures)
    listeners: list[AppliedListener] = field(factory=list)
    # Called with the first position of an era and the time from which reads in it count.
    era_listeners: list[Callable[[int, float], None]] = field(factory=list)

    _checked_configuration: Configuration | None = field(default=None, init=False)
    _vms: VmList = field(init=False)
    _era: int = field(default=0, init=False)
    # When the configuration of the store's return is put in force; None if there is none.
    _settled_unix_s: float | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._vms = VmList(
            departures=self.departures, on_unreadable=partial(self._report_unreadable, VMS)
        )
        self.departures.listeners.append(self._on_departure)
        self.copies = {
            CONFIG: KeyspaceCopy(
                CONFIG, validator=self._check_configuration, version_of=_routing_version
            ),
            VMS: KeyspaceCopy(VMS),
        }
        for copy in self.copies.values():
            copy.reader.on_unreadable = self._reporter(copy.name)
        self.copies[VMS].reader.value_if_unreadable = UNUSABLE

    @property
    def routing(self) -> Routing | None:
        """Return the routes in force, None if none are published."""
        return self.configuration.routing if self.configuration else None

    @property
    def entry_vms(self) -> Mapping[str, EntryVm]:
        """Return the listed entry VMs by name."""
        return self._vms.entries

    @property
    def backend_servers(self) -> Mapping[str, BackendServer]:
        """Return the listed backend servers by name."""
        return self._vms.servers

    @property
    def is_read(self) -> bool:
        """Return whether a revision of each keyspace was received, from the platform or a peer."""
        return all(copy.observed_revision for copy in self.copies.values())

    @property
    def confirmable_revision(self) -> int:
        """Return the newest published revision of the routes that those in force are as new as."""
        copy = self.copies[CONFIG]
        in_force = copy.revision_in_force(ROUTING_KEY)
        is_superseded = copy.superseded_revision == copy.observed_revision > 0
        return max(in_force, copy.revision_observed(ROUTING_KEY)) if is_superseded else in_force

    @property
    def next_due_unix_s(self) -> float | None:
        """Return when the next change by time alone is due, None if there is none."""
        times = (self._vms.next_expiry_unix_s, self._settled_unix_s)
        return min((each for each in times if each is not None), default=None)

    def note_outage(self) -> None:
        """Record that the store was down until now, so that leases may have expired."""
        self._vms.note_outage(now_unix_s())

    def apply_due(self) -> None:
        """Apply what is due: servers whose leases weren't renewed, a configuration held back."""
        now = now_unix_s()
        if self._vms.remove_expired(now):
            self._notify_listeners(VMS, SOURCE_LEASE_EXPIRY)
        if self._settled_unix_s is not None and self._settled_unix_s <= now:
            self._settle()

    def _settle(self) -> None:
        self._settled_unix_s = None
        copy = self.copies[CONFIG]
        copy.is_held = False
        self._conclude(CONFIG, copy.put_in_force(), SOURCE_SETTLED)

    def apply(
        self,
        name: str,
        changes: Sequence[Change],
        head_revision: int,
        *,
        after_revision: int,
        source: str,
        complete: bool = True,
    ) -> ApplyResult:
        """Record changes from a source and put them in force if they are complete and valid."""
        self._note_era(era_of(head_revision), source)
        result = self.copies[name].apply(
            changes, head_revision, after_revision=after_revision, complete=complete
        )
        self._conclude(name, result, source)
        return result

    def _conclude(self, name: str, result: ApplyResult, source: str) -> None:
        if result.refused_reasons:
            revision = self.copies[name].observed_revision
            self._report_refusal(name, revision, result.refused_reasons, source)
        if result.applied:
            self._put_in_force(name, source)

    def _note_era(self, era: int, source: str) -> None:
        """Hold the configuration in force for a while if the store came back from an older copy."""
        known, self._era = self._era, max(era, self._era)
        if era <= known:
            return
        settled_unix_s = now_unix_s() + RETURN_SETTLE_S
        for listener in self.era_listeners:
            listener(position(era, 0), settled_unix_s)
        if known:
            self._hold_configuration(era, settled_unix_s, source)

    def _hold_configuration(self, era: int, settled_unix_s: float, source: str) -> None:
        self.observe(StoreReturned(era=era, source=source))
        if self.copies[CONFIG].revision:
            self.copies[CONFIG].is_held = True
            self._settled_unix_s = settled_unix_s
        self._notify_listeners(CONFIG, SOURCE_RETURN)

    def apply_in_force(self, delta: Delta, source: str) -> ApplyResult:
        """Put a peer's values in force while this VM refuses a later revision."""
        result = self.copies[delta.name].apply_in_force(delta)
        if result.applied:
            self._put_in_force(delta.name, source)
        return result

    def _check_configuration(
        self, values: Mapping[str, Any], changed: frozenset[str], revision: int
    ) -> tuple[str, ...]:
        checked = self.checker.check(values, revision)
        if isinstance(checked, Err):
            return tuple(str(fault) for fault in checked.err_value)
        self._checked_configuration = checked.ok_value
        return ()

    def _put_in_force(self, name: str, source: str) -> None:
        copy = self.copies[name]
        if name == CONFIG:
            self.configuration = self._checked_configuration
        else:
            self._vms.update(copy.values, now_unix_s(), era_of(copy.revision))
        era, revision = era_of(copy.revision), revision_of(copy.revision)
        log.info("in force", keyspace=name, era=era, revision=revision, source=source)
        self.observe(KeyspaceApplied(name, era, revision, now_unix_s(), source))
        self._notify_listeners(name, source)

    def _on_departure(self, key: int, source: DepartureSource) -> None:
        leaving = [each for each in self.backend_servers.values() if server_key(each) == key]
        # One that isn't listed yet is marked when it is.
        if not leaving:
            return
        self._vms.rebuild()
        for server in leaving:
            self.observe(ServerLeaving(server=server.name, pool=server.pool, source=source.value))
        self._notify_listeners(VMS, SOURCE_DEPARTURE)

    def _notify_listeners(self, name: str, source: str) -> None:
        for listener in self.listeners:
            listener(name, source)

    def _reporter(self, name: str) -> Callable[[Change, str], None]:
        return lambda change, error: self._report_unreadable(name, change.key, error)

    def _report_unreadable(self, name: str, key: str, error: str) -> None:
        self.observe(ItemUnreadable(keyspace=name, key=key, error=error))

    def _report_refusal(
        self, name: str, revision: int, reasons: tuple[str, ...], source: str
    ) -> None:
        self.observe(KeyspaceRefused(name, revision_of(revision), reasons))
        log.warning(
            "revision refused",
            keyspace=name,
            era=era_of(revision),
            revision=revision_of(revision),
            reasons=reasons,
            source=source,
            remedy="publish a corrected value under a higher revision",
        )


def _routing_version(values: Mapping[str, Any]) -> int:
    """Return the version of the published routes, 0 if there are none."""
    routing = values.get(ROUTING_KEY)
    version = routing.get("version") if isinstance(routing, Mapping) else None
    return version if isinstance(version, int) else 0
