"""Check and parse the platform's list of VMs."""

from collections.abc import Mapping
from typing import Any

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.requests.short_key import server_key
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.departures import Departures

KEY_PREFIX = "vms/"
ROLE_ENTRY = "entry"
ROLE_BACKEND_SERVER = "backend_server"
# The role of an entry that can't be decoded. It describes no VM; a VM that was listed before under
# its key is removed.
ROLE_UNUSABLE = "unusable"
UNUSABLE: Mapping[str, Any] = {"role": ROLE_UNUSABLE}
STATE_LEAVING = "leaving"
REQUIRED_FIELDS = {
    ROLE_ENTRY: ("region", "failure_domain", "state", "caller_address", "peer_address"),
    ROLE_BACKEND_SERVER: ("region", "failure_domain", "state", "address", "pool", "slots"),
    ROLE_UNUSABLE: (),
}
DEFAULT_KV_CAPACITY_TOKENS = 1 << 17
# Servers register again within two seconds of the end of a store outage; a server that hasn't by
# then has ended.
LEASE_GRACE_S = 2.0
# A copy of the store may list a server that has gone since. Its lease runs out there within three
# intervals of its heartbeats; a server that is still listed after this time runs.
REVIVED_HOLD_S = 6.0
# The store comes back from copies that are some seconds old.
REMOVED_RETENTION_S = 60.0


@frozen(kw_only=True)
class EntryVm:
    """Entry VM as the platform lists it."""

    name: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    leaving: bool


def check_vms(values: Mapping[str, Any], changed: frozenset[str], revision: int) -> tuple[str, ...]:
    """Return the faults of the changed entries, each with its remedy."""
    return tuple(
        fault for key in sorted(changed) if key in values for fault in _faults(key, values[key])
    )


@frozen
class _ExpiredLease:
    server: BackendServer
    until_unix_s: float


@define
class VmList:
    """Keep the entry VMs and backend servers that the platform lists.

    Durations in a value count from the time at which this VM first receives it, so an unchanged
    value is not parsed again.
    """

    departures: Departures = field(factory=Departures, kw_only=True)
    entries: Mapping[str, EntryVm] = field(factory=dict, init=False)
    servers: Mapping[str, BackendServer] = field(factory=dict, init=False)
    _values: dict[str, Any] = field(factory=dict, init=False, repr=False)
    _parsed: dict[str, EntryVm | BackendServer | None] = field(factory=dict, init=False, repr=False)
    _expired: dict[str, _ExpiredLease] = field(factory=dict, init=False, repr=False)
    # Incarnations that were removed from the list, and when.
    _removed: dict[str, float] = field(factory=dict, init=False, repr=False)
    # Until when servers are left out that an older copy of the list has brought back.
    _revived: dict[str, float] = field(factory=dict, init=False, repr=False)
    _era: int = field(default=0, init=False)

    def update(self, values: Mapping[str, Any], now_unix_s: float, era: int = 0) -> None:
        """Replace the list by a checked one of the given era of the store."""
        is_return = 0 < self._era < era
        self._era = max(era, self._era)
        self._forget_removed(now_unix_s)
        for key in self._parsed.keys() - values.keys():
            self._keep_if_lease_expired(key, now_unix_s)
            self._note_removed(key, now_unix_s)
            del self._parsed[key], self._values[key]
        for key, value in values.items():
            if not self._is_known(key, value, is_return):
                self._values[key] = value
                self._parsed[key] = _parse(key, value, now_unix_s)
                self._expired.pop(key, None)
                self._note_listed(key, now_unix_s, is_return)
        self.rebuild()
        self.departures.forget_old(self.servers.values(), now_unix_s)

    @property
    def next_expiry_unix_s(self) -> float | None:
        """Return when the next server with an expired lease is removed, None if there is none."""
        expiries = [expired.until_unix_s for expired in self._expired.values()]
        return min([*expiries, *self._revived.values()], default=None)

    def remove_expired(self, now_unix_s: float) -> bool:
        """Remove servers whose grace period has ended, and list revived ones that run.

        Return whether the list has changed.
        """
        due = [key for key, expired in self._expired.items() if expired.until_unix_s <= now_unix_s]
        for key in due:
            del self._expired[key]
        alive = [key for key, until_unix_s in self._revived.items() if until_unix_s <= now_unix_s]
        for key in alive:
            del self._revived[key]
        if due or alive:
            self.rebuild()
        return bool(due or alive)

    def _keep_if_lease_expired(self, key: str, now_unix_s: float) -> None:
        """Keep a server for a grace period after its lease expired.

        Leases also expire while the store is down. If servers were removed at once, a pool would
        be empty after the outage, and every request refused until its servers register again.
        """
        server = self._parsed[key]
        if not isinstance(server, BackendServer) or server.leaving or key in self._revived:
            return
        if self._values[key].get("leased"):
            until_unix_s = now_unix_s + LEASE_GRACE_S
            self._expired[key] = _ExpiredLease(evolve(server, is_lease_expired=True), until_unix_s)

    def _forget_removed(self, now_unix_s: float) -> None:
        oldest_unix_s = now_unix_s - REMOVED_RETENTION_S
        old = [key for key, unix_s in self._removed.items() if unix_s < oldest_unix_s]
        for incarnation in old:
            del self._removed[incarnation]

    def _is_known(self, key: str, value: Any, is_return: bool) -> bool:
        """Return whether a value is one that was parsed before.

        Durations in an equal value of an older copy would otherwise count again.
        """
        known = self._values.get(key)
        return known is value or (is_return and known is not None and known == value)

    def _note_removed(self, key: str, now_unix_s: float) -> None:
        server = self._parsed[key]
        self._revived.pop(key, None)
        if isinstance(server, BackendServer):
            self._removed[server.incarnation] = now_unix_s

    def _note_listed(self, key: str, now_unix_s: float, is_return: bool) -> None:
        """Record a server that leaves, and leave one out that an older copy has brought back."""
        server = self._parsed[key]
        self._revived.pop(key, None)
        if not isinstance(server, BackendServer):
            return
        if server.leaving:
            self.departures.record(server_key(server), now_unix_s)
        if is_return and server.incarnation in self._removed:
            self._revived[key] = now_unix_s + REVIVED_HOLD_S

    def rebuild(self) -> None:
        """Derive the lists from the entries and from the departures known otherwise."""
        entries = (vm for vm in self._parsed.values() if isinstance(vm, EntryVm))
        self.entries = {vm.name: vm for vm in entries}
        servers = [
            each
            for key, each in self._parsed.items()
            if isinstance(each, BackendServer) and key not in self._revived
        ]
        servers += [expired.server for expired in self._expired.values()]
        self.servers = {server.name: self.departures.marked(server) for server in servers}


def _faults(key: str, value: Any) -> list[str]:
    if not key.startswith(KEY_PREFIX):
        return [f"{key}: unknown key; use {KEY_PREFIX}NAME"]
    role = value.get("role") if isinstance(value, dict) else None
    if role not in REQUIRED_FIELDS:
        return [f"{key}.role: {role!r}; use one of {', '.join(REQUIRED_FIELDS)}"]
    missing = [name for name in REQUIRED_FIELDS[role] if name not in value]
    return [f"{key}.{name}: missing; state it" for name in missing]


def _entry_vm(name: str, value: Mapping[str, Any]) -> EntryVm:
    return EntryVm(
        name=name,
        region=value["region"],
        failure_domain=value["failure_domain"],
        caller_address=value["caller_address"],
        peer_address=value["peer_address"],
        leaving=value["state"] == STATE_LEAVING,
    )


def _parse(key: str, value: Mapping[str, Any], now_unix_s: float) -> EntryVm | BackendServer | None:
    name = key.removeprefix(KEY_PREFIX)
    if value["role"] == ROLE_UNUSABLE:
        return None
    if value["role"] == ROLE_ENTRY:
        return _entry_vm(name, value)
    return _backend_server(name, value, now_unix_s)


def _backend_server(name: str, value: Mapping[str, Any], now_unix_s: float) -> BackendServer:
    cold_left_s = float(value.get("cold_left_s", 0.0))
    return BackendServer(
        name=name,
        region=value["region"],
        failure_domain=value["failure_domain"],
        address=value["address"],
        pool=value["pool"],
        slots=int(value["slots"]),
        kv_capacity_tokens=int(value.get("kv_capacity_tokens", DEFAULT_KV_CAPACITY_TOKENS)),
        leaving=value["state"] == STATE_LEAVING,
        checks_fencing=bool(value.get("checks_fencing", False)),
        cold_until_unix_s=now_unix_s + cold_left_s if cold_left_s else 0.0,
        born_unix_ms=int(value.get("born_unix_ms", 0)),
        software_version=str(value.get("software_version", "")),
    )
