"""The platform's list of VMs as checked values."""

from collections.abc import Mapping
from typing import Any

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.work import BackendServer

KEY_PREFIX = "vms/"
ROLE_ENTRY = "entry"
ROLE_BACKEND_SERVER = "backend_server"
# An entry that nobody here can read: it names no VM, and what it replaces doesn't count any more.
ROLE_UNUSABLE = "unusable"
STATE_LEAVING = "leaving"
REQUIRED_FIELDS = {
    ROLE_ENTRY: ("region", "failure_domain", "state", "caller_address", "peer_address"),
    ROLE_BACKEND_SERVER: ("region", "failure_domain", "state", "address", "pool", "slots"),
    ROLE_UNUSABLE: (),
}
DEFAULT_KV_CAPACITY_TOKENS = 1 << 17
# Servers register again within two seconds of the return of the list's keeper; one that is not
# back by then is gone.
LAPSED_KEPT_S = 2.0


@frozen(kw_only=True)
class EntryVm:
    """Describe an entry VM as the platform lists it."""

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
class _Lapsed:
    server: BackendServer
    until_unix_s: float


@define
class VmList:
    """Hold the entry VMs and backend servers that the platform lists.

    Durations in the values count from when a VM first sees them, so a value that didn't change is
    not read again.
    """

    entries: Mapping[str, EntryVm] = field(factory=dict, init=False)
    servers: Mapping[str, BackendServer] = field(factory=dict, init=False)
    _values: dict[str, Any] = field(factory=dict, init=False, repr=False)
    _parsed: dict[str, EntryVm | BackendServer | None] = field(factory=dict, init=False, repr=False)
    _lapsed: dict[str, _Lapsed] = field(factory=dict, init=False, repr=False)

    def update(self, values: Mapping[str, Any], now_unix_s: float) -> None:
        """Take over a checked list."""
        for key in self._parsed.keys() - values.keys():
            self._note_gone(key, now_unix_s)
            del self._parsed[key], self._values[key]
        for key, value in values.items():
            if self._values.get(key) is not value:
                self._values[key] = value
                self._parsed[key] = _parse(key, value, now_unix_s)
                self._lapsed.pop(key, None)
        self._rebuild()

    @property
    def next_lapse_unix_s(self) -> float | None:
        """Return when the next lapsed lease is given up, None where all leases are held."""
        return min((lapsed.until_unix_s for lapsed in self._lapsed.values()), default=None)

    def drop_lapsed(self, now_unix_s: float) -> bool:
        """Give up servers whose lapsed leases weren't renewed in time; say if there were any."""
        late = [key for key, lapsed in self._lapsed.items() if lapsed.until_unix_s <= now_unix_s]
        for key in late:
            del self._lapsed[key]
        if late:
            self._rebuild()
        return bool(late)

    def _note_gone(self, key: str, now_unix_s: float) -> None:
        """Keep a server for a while whose lease lapsed.

        Leases also lapse while the list's keeper is away. Dropped at once, all servers of a pool
        would be gone on its return, and every request refused until they have registered again.
        """
        server = self._parsed[key]
        if not isinstance(server, BackendServer) or server.leaving:
            return
        if self._values[key].get("leased"):
            until_unix_s = now_unix_s + LAPSED_KEPT_S
            self._lapsed[key] = _Lapsed(evolve(server, is_lease_expired=True), until_unix_s)

    def _rebuild(self) -> None:
        parsed = self._parsed.values()
        self.entries = {vm.name: vm for vm in parsed if isinstance(vm, EntryVm)}
        servers = [each for each in parsed if isinstance(each, BackendServer)]
        servers += [lapsed.server for lapsed in self._lapsed.values()]
        self.servers = {server.name: server for server in servers}


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
    )
