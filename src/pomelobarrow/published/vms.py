"""Parse the platform's list of VMs, each entry by itself."""

import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from typing import Any

from attrs import define, evolve, field, frozen

from pomelobarrow.decision.common.bounded import number_or_none, require_count, require_text
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
# Errors that reading an entry with missing fields or fields of other types raises.
ENTRY_ERRORS = (LookupError, TypeError, ValueError)
STATE_LEAVING = "leaving"
# Beyond these an entry is mistaken: a server has more places than any has connections, or more
# memory than any engine, or is cold for over a day, or a float can't count its start.
MAX_SLOTS = 1_000_000
MAX_KV_CAPACITY_TOKENS = 1_000_000_000
MAX_COLD_S = 86_400.0
MAX_BORN_UNIX_MS = 2**53
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
    # Called with the key of an entry that describes no VM, and with the error.
    on_unreadable: Callable[[str, str], None] = field(default=lambda key, error: None, kw_only=True)
    entries: Mapping[str, EntryVm] = field(factory=dict, init=False)
    servers: Mapping[str, BackendServer] = field(factory=dict, init=False)
    _values: dict[str, Any] = field(factory=dict, init=False, repr=False)
    _parsed: "dict[str, Parsed]" = field(factory=dict, init=False, repr=False)
    _expired: dict[str, _ExpiredLease] = field(factory=dict, init=False, repr=False)
    # Incarnations that were removed from the list, and when.
    _removed: dict[str, float] = field(factory=dict, init=False, repr=False)
    # Until when servers are left out that an older copy of the list has brought back.
    _revived: dict[str, float] = field(factory=dict, init=False, repr=False)
    _era: int = field(default=0, init=False)
    # The last time at which the store was seen to be down.
    _outage_unix_s: float = field(default=-math.inf, init=False)

    def update(self, values: Mapping[str, Any], now_unix_s: float, era: int = 0) -> None:
        """Replace the list by a checked one of the given era of the store."""
        is_return = 0 < self._era < era
        self._era = max(era, self._era)
        self._forget_removed(now_unix_s)
        removed = self._parsed.keys() - values.keys()
        expired_pools = self._pools_of_expired_leases(removed, now_unix_s, is_return)
        for key in removed:
            self._keep_if_lease_expired(key, now_unix_s, expired_pools)
            self._note_removed(key, now_unix_s)
            del self._parsed[key], self._values[key]
        for key, value in values.items():
            if not self._is_known(key, value, is_return):
                self._values[key] = value
                self._parsed[key] = self._parse(key, value, now_unix_s)
                self._expired.pop(key, None)
                self._note_listed(key, now_unix_s, is_return)
        self.rebuild()
        self.departures.forget_old(self.servers.values(), now_unix_s)

    def _parse(self, key: str, value: Any, now_unix_s: float) -> "Parsed":
        """Parse an entry; one that describes no VM is reported and hides no other one."""
        try:
            return _parse(key, value, now_unix_s)
        except ENTRY_ERRORS as error:
            self.on_unreadable(key, repr(error))
            return None

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

    def note_outage(self, now_unix_s: float) -> None:
        """Record that the store was down until now, as seen from here."""
        self._outage_unix_s = max(self._outage_unix_s, now_unix_s)

    def _pools_of_expired_leases(
        self, removed: Collection[str], now_unix_s: float, is_return: bool
    ) -> frozenset[str]:
        """Return the pools of which servers were removed because the store was down.

        Where it wasn't seen to be down, that is so if a pool loses most of its servers at a time.
        A single one has left, perhaps some time ago: this VM may learn of it late.
        """
        by_pool = Counter(_pools(self._parsed.values()))
        if is_return or now_unix_s <= self._outage_unix_s + LEASE_GRACE_S:
            return frozenset(by_pool)
        lost = Counter(_pools(self._parsed[key] for key in removed))
        return frozenset(pool for pool, count in lost.items() if 2 * count > by_pool[pool])

    def _keep_if_lease_expired(
        self, key: str, now_unix_s: float, expired_pools: Collection[str]
    ) -> None:
        """Keep a server for a grace period after its lease expired.

        Leases also expire while the store is down. If servers were removed at once, a pool would
        be empty after the outage, and every request refused until its servers register again.
        """
        server = self._parsed[key]
        if not isinstance(server, BackendServer) or server.leaving or key in self._revived:
            return
        if server.pool not in expired_pools:
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


def _entry_vm(name: str, value: Mapping[str, Any], now_unix_s: float) -> EntryVm:
    return EntryVm(
        name=name,
        region=require_text(value, "region"),
        failure_domain=require_text(value, "failure_domain"),
        caller_address=require_text(value, "caller_address"),
        peer_address=require_text(value, "peer_address"),
        leaving=require_text(value, "state") == STATE_LEAVING,
    )


def _backend_server(name: str, value: Mapping[str, Any], now_unix_s: float) -> BackendServer:
    cold_left_s = number_or_none(value.get("cold_left_s", 0.0), MAX_COLD_S)
    if cold_left_s is None:
        raise ValueError(f"cold_left_s: {value['cold_left_s']!r} is no number up to {MAX_COLD_S}")
    capacity_tokens = require_count(
        value, "kv_capacity_tokens", MAX_KV_CAPACITY_TOKENS, default=DEFAULT_KV_CAPACITY_TOKENS
    )
    return BackendServer(
        name=name,
        region=require_text(value, "region"),
        failure_domain=require_text(value, "failure_domain"),
        address=require_text(value, "address"),
        pool=require_text(value, "pool"),
        slots=require_count(value, "slots", MAX_SLOTS, at_least=1),
        kv_capacity_tokens=capacity_tokens,
        leaving=require_text(value, "state") == STATE_LEAVING,
        checks_fencing=bool(value.get("checks_fencing", False)),
        cold_until_unix_s=now_unix_s + cold_left_s if cold_left_s else 0.0,
        born_unix_ms=require_count(value, "born_unix_ms", MAX_BORN_UNIX_MS, default=0),
        software_version=str(value.get("software_version", "")),
    )


def _pools(parsed: "Iterable[Parsed]") -> Iterator[str]:
    return (each.pool for each in parsed if isinstance(each, BackendServer))


def _nothing(name: str, value: Mapping[str, Any], now_unix_s: float) -> None:
    return None


Parsed = EntryVm | BackendServer | None
PARSER_BY_ROLE: Mapping[str, Callable[[str, Mapping[str, Any], float], Parsed]] = {
    ROLE_ENTRY: _entry_vm,
    ROLE_BACKEND_SERVER: _backend_server,
    ROLE_UNUSABLE: _nothing,
}


def _parse(key: str, value: Any, now_unix_s: float) -> Parsed:
    """Parse an entry; raise one of ENTRY_ERRORS if it describes no VM."""
    if not key.startswith(KEY_PREFIX):
        raise ValueError(f"unknown key; use {KEY_PREFIX}NAME")
    parse = PARSER_BY_ROLE.get(value["role"])
    if parse is None:
        raise ValueError(f"role: {value['role']!r}; use one of {', '.join(PARSER_BY_ROLE)}")
    return parse(key.removeprefix(KEY_PREFIX), value, now_unix_s)
