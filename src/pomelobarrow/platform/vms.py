"""The platform's list of VMs as checked values."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from pomelobarrow.decision.work import BackendServer

KEY_PREFIX = "vms/"
ROLE_ENTRY = "entry"
ROLE_BACKEND_SERVER = "backend_server"
STATE_LEAVING = "leaving"
REQUIRED_FIELDS = {
    ROLE_ENTRY: ("region", "failure_domain", "state", "caller_address", "peer_address"),
    ROLE_BACKEND_SERVER: ("region", "failure_domain", "state", "address", "pool", "slots"),
}
DEFAULT_KV_CAPACITY_TOKENS = 1 << 17


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


def parse_vms(
    values: Mapping[str, Any],
) -> tuple[dict[str, EntryVm], dict[str, BackendServer]]:
    """Split a checked list into entry VMs and backend servers."""
    entries: dict[str, EntryVm] = {}
    servers: dict[str, BackendServer] = {}
    for key, value in values.items():
        name = key.removeprefix(KEY_PREFIX)
        if value["role"] == ROLE_ENTRY:
            entries[name] = _entry_vm(name, value)
        else:
            servers[name] = _backend_server(name, value)
    return entries, servers


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


def _backend_server(name: str, value: Mapping[str, Any]) -> BackendServer:
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
    )
