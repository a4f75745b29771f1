"""The daemon's copies of the published keyspaces and the values parsed from them."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog
from attrs import define, field
from result import Err

from pomelobarrow.decision.configuration import Configuration
from pomelobarrow.decision.configuration_check import ConfigurationChecker
from pomelobarrow.decision.departures import Departures, DepartureSource, departure_key
from pomelobarrow.decision.keyspace import ApplyResult, Change, Delta, KeyspaceCopy
from pomelobarrow.decision.routing import Routing
from pomelobarrow.decision.work import BackendServer
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.published.events import KeyspaceApplied, KeyspaceRefused, ServerLeaving
from pomelobarrow.published.vms import EntryVm, VmList, check_vms

CONFIG = "config"
VMS = "vms"
# The source of a change that removes servers whose leases expired and weren't renewed in time.
SOURCE_LEASE_EXPIRY = "lapsed leases"
# The source of a change that marks a server whose departure became known otherwise.
SOURCE_DEPARTURE = "departure"

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

    _checked_configuration: Configuration | None = field(default=None, init=False)
    _vms: VmList = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._vms = VmList(departures=self.departures)
        self.departures.listeners.append(self._on_departure)
        self.copies = {
            CONFIG: KeyspaceCopy(CONFIG, validator=self._check_configuration),
            VMS: KeyspaceCopy(VMS, validator=check_vms),
        }

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
    def next_expiry_unix_s(self) -> float | None:
        """Return when the next server with an expired lease is removed, None if there is none."""
        return self._vms.next_expiry_unix_s

    def remove_expired(self) -> None:
        """Remove the servers whose expired leases weren't renewed within the grace period."""
        if self._vms.remove_expired(now_unix_s()):
            self._notify_listeners(VMS, SOURCE_LEASE_EXPIRY)

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
        copy = self.copies[name]
        result = copy.apply(
            changes, head_revision, after_revision=after_revision, complete=complete
        )
        if result.refused_reasons:
            self._report_refusal(name, head_revision, result.refused_reasons, source)
        if result.applied:
            self._put_in_force(name, source)
        return result

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
            self._vms.update(copy.values, now_unix_s())
        log.info("in force", keyspace=name, revision=copy.revision, source=source)
        self.observe(KeyspaceApplied(name, copy.revision, now_unix_s(), source))
        self._notify_listeners(name, source)

    def _on_departure(self, key: int, source: DepartureSource) -> None:
        self._vms.rebuild()
        for server in self.backend_servers.values():
            if departure_key(server) == key:
                self.observe(
                    ServerLeaving(server=server.name, pool=server.pool, source=source.value)
                )
        self._notify_listeners(VMS, SOURCE_DEPARTURE)

    def _notify_listeners(self, name: str, source: str) -> None:
        for listener in self.listeners:
            listener(name, source)

    def _report_refusal(
        self, name: str, revision: int, reasons: tuple[str, ...], source: str
    ) -> None:
        self.observe(KeyspaceRefused(name, revision, reasons))
        log.warning(
            "revision refused",
            keyspace=name,
            revision=revision,
            reasons=reasons,
            source=source,
            remedy="publish a corrected value under a higher revision",
        )
