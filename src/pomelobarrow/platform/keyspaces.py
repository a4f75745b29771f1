"""The daemon's copies of the published keyspaces and what follows from them."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import structlog
from attrs import define, field
from result import Err

from pomelobarrow.decision.configuration import Configuration
from pomelobarrow.decision.configuration_check import ConfigurationChecker
from pomelobarrow.decision.keyspace import ApplyResult, Change, Delta, KeyspaceCopy
from pomelobarrow.decision.work import BackendServer
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.platform.events import KeyspaceApplied, KeyspaceRefused
from pomelobarrow.platform.vms import EntryVm, check_vms, parse_vms

CONFIG = "config"
VMS = "vms"

log = structlog.get_logger(__name__)

AppliedListener = Callable[[str, str], None]


@define(kw_only=True)
class PublishedState:
    """Hold both keyspaces; tell listeners (keyspace, source) when one moves."""

    observe: Callable[[object], None]
    checker: ConfigurationChecker = field(factory=ConfigurationChecker)
    copies: dict[str, KeyspaceCopy] = field(init=False)
    configuration: Configuration | None = None
    entry_vms: Mapping[str, EntryVm] = field(factory=dict)
    backend_servers: Mapping[str, BackendServer] = field(factory=dict)
    listeners: list[AppliedListener] = field(factory=list)

    _checked: Configuration | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.copies = {
            CONFIG: KeyspaceCopy(CONFIG, validator=self._check_configuration),
            VMS: KeyspaceCopy(VMS, validator=check_vms),
        }

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
        """Observe changes from a source and put them in force where they are whole and valid."""
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
        """Put a peer's values in force while a later revision stays refused here."""
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
        self._checked = checked.ok_value
        return ()

    def _put_in_force(self, name: str, source: str) -> None:
        copy = self.copies[name]
        if name == CONFIG:
            self.configuration = self._checked
        else:
            self.entry_vms, self.backend_servers = parse_vms(copy.values)
        log.info("in force", keyspace=name, revision=copy.revision, source=source)
        self.observe(KeyspaceApplied(name, copy.revision, now_unix_s(), source))
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
