"""Translate items of the platform's store into the product's keyspaces."""

import ipaddress
import math
from collections.abc import Mapping
from typing import Any

import cattrs

from pomelobarrow.decision.common.bounded import UINT64_MAX, require_count, require_text
from pomelobarrow.decision.published.accounts import Account, RateLimit, key_sha256
from pomelobarrow.decision.published.configuration_check import EVACUATIONS, ROUTING_KEY
from pomelobarrow.decision.published.routing import (
    CallerLimits,
    PoolShare,
    RelayPool,
    Route,
    RouteKind,
    Routing,
)
from pomelobarrow.platform.store import KeyspaceSource
from pomelobarrow.published.keyspaces import CONFIG, VMS
from pomelobarrow.published.vms import (
    KEY_PREFIX,
    MAX_BORN_UNIX_MS,
    MAX_COLD_S,
    MAX_SLOTS,
    ROLE_BACKEND_SERVER,
    STATE_LEAVING,
    UNUSABLE,
)

OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
SERVER_PREFIX = "servers/"
STATE_READY = "ready"
STATE_BY_NAME = {"ready": STATE_READY, "draining": STATE_LEAVING}
UNIT_TOKENS = "tokens"
MS_PER_S = 1_000.0
MAX_PORT = 65_535

ROUTE_KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "stream": RouteKind.STREAM,
}


def platform_sources(
    region_by_failure_domain: Mapping[str, str],
) -> Mapping[str, KeyspaceSource]:
    """Return where the platform's store holds each keyspace, and how its items are translated."""

    def server_value(stored_key: str, entry: Mapping[str, Any]) -> dict[str, Any]:
        return _server(entry, region_by_failure_domain)

    return {
        CONFIG: KeyspaceSource(
            prefix=OPERATOR_PREFIX, key_of=_operator_key, value_of=_operator_value
        ),
        VMS: KeyspaceSource(
            prefix=SERVER_PREFIX,
            key_of=_server_key,
            value_of=server_value,
            value_if_unreadable=UNUSABLE,
        ),
    }


def native_sources() -> Mapping[str, KeyspaceSource]:
    """Return where a store whose values need no translation holds each keyspace."""

    def config_key(stored_key: str) -> str:
        return stored_key.removeprefix(f"{CONFIG}/")

    return {
        CONFIG: KeyspaceSource(prefix=f"{CONFIG}/", key_of=config_key, value_of=_unchanged),
        VMS: KeyspaceSource(prefix=f"{VMS}/", key_of=str, value_of=_unchanged),
    }


def _unchanged(stored_key: str, value: Any) -> Any:
    return value


def _operator_key(stored_key: str) -> str | None:
    if stored_key == CONFIG_KEY:
        return ROUTING_KEY
    if stored_key.startswith(EVACUATION_PREFIX):
        return f"{EVACUATIONS}/{stored_key.removeprefix(EVACUATION_PREFIX)}"
    return None


def _operator_value(stored_key: str, value: Mapping[str, Any]) -> Any:
    if stored_key != CONFIG_KEY:
        return {}
    return cattrs.unstructure(_routing(value))


def _server_key(stored_key: str) -> str | None:
    server = stored_key.removeprefix(SERVER_PREFIX)
    return KEY_PREFIX + server if server else None


def _server(
    entry: Mapping[str, Any], region_by_failure_domain: Mapping[str, str]
) -> dict[str, Any]:
    failure_domain = require_text(entry, "Zone")
    return {
        "role": ROLE_BACKEND_SERVER,
        "region": region_by_failure_domain[failure_domain],
        "failure_domain": failure_domain,
        "state": STATE_BY_NAME[require_text(entry, "State")],
        "address": _address(entry),
        "pool": require_text(entry, "Service"),
        "slots": require_count(entry, "Slots", MAX_SLOTS, at_least=1),
        "cold_left_s": require_count(entry, "ColdLeftMs", int(MAX_COLD_S * MS_PER_S), default=0)
        / MS_PER_S,
        # The start time of this incarnation; servers that never restart under the same id may
        # omit it.
        "born_unix_ms": require_count(entry, "born", MAX_BORN_UNIX_MS, default=0),
        "software_version": _software_version(entry),
        # The entry expires when the server falls silent, at times also while the store is down.
        "leased": True,
    }


def _address(entry: Mapping[str, Any]) -> str:
    address = require_text(entry, "Address")
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"Address: {address!r} has no valid port")
    return address


def _software_version(entry: Mapping[str, Any]) -> str:
    """Return the version of a server's software; entries of some platforms name none."""
    version = entry.get("Version")
    return "" if version is None else str(version)


def _routing(config: Mapping[str, Any]) -> Routing:
    return Routing(
        version=require_count(config, "Version", UINT64_MAX),
        routes=tuple(_route(route) for route in config["Routes"]),
        pools=tuple(_pool(service) for service in config["Services"]),
        limits=_limits(config.get("Limits") or {}),
        accounts=tuple(_account(tenant) for tenant in config.get("Tenants") or ()),
        needs_account=config.get("Tenants") is not None,
    )


def _account(tenant: Mapping[str, Any]) -> Account:
    priority = tenant.get("Priority")
    return Account(
        name=str(tenant["Name"]),
        # The keys themselves leave this function in no form: peers and logs see hashes only.
        token_sha256=tuple(key_sha256(str(key)) for key in tenant.get("Keys") or ()),
        urgency=None if priority is None else int(priority),
        home_regions=tuple(tenant.get("HomeRegions") or ()),
        limit=_rate_limit(tenant),
    )


def _rate_limit(tenant: Mapping[str, Any]) -> RateLimit | None:
    per_s = float(tenant.get("RatePerS") or 0.0)
    if not per_s:
        return None
    return RateLimit(
        per_s=per_s,
        burst=float(tenant.get("Burst") or 0.0),
        counts_tokens=tenant.get("Unit") == UNIT_TOKENS,
        default_cost=float(tenant.get("PlainTokens") or 1.0),
    )


def _route(route: Mapping[str, Any]) -> Route:
    timeout_s = float(route["TimeoutMs"]) / MS_PER_S
    first_answer_target_s = float(route.get("GoalMs") or route["TimeoutMs"]) / MS_PER_S
    gap_target_s = float(route.get("GapGoalMs") or 0.0) / MS_PER_S
    return Route(
        name=str(route["Name"]),
        host=str(route["Host"]),
        path_prefix=str(route["Prefix"]),
        kind=ROUTE_KIND_BY_NAME[route["Kind"]],
        pools=_shares(route),
        # The number of backend servers to try, the first one included.
        max_attempts=max(1, int(route.get("Attempts") or 1)),
        urgency=int(route.get("Priority") or 0),
        is_resumable=bool(route.get("Resumable")),
        timeout_s=timeout_s,
        first_answer_target_s=first_answer_target_s,
        gap_target_s=gap_target_s,
        silence_patience_s=_silence_patience_s(first_answer_target_s, gap_target_s),
        home_regions=tuple(route.get("HomeRegions") or ()),
        is_public=bool(route.get("Public")),
    )


def _silence_patience_s(first_answer_target_s: float, gap_target_s: float) -> float:
    """Return the silence after which clients leave a stream, per the platform's documentation."""
    return max(2.0, 4.0 * first_answer_target_s, 8.0 * gap_target_s)


def _shares(route: Mapping[str, Any]) -> tuple[PoolShare, ...]:
    split = route.get("Split")
    if not split:
        return (PoolShare(pool=str(route["Service"])),)
    return tuple(
        PoolShare(pool=str(part["Service"]), weight=float(part["Weight"])) for part in split
    )


def _pool(service: Mapping[str, Any]) -> RelayPool:
    engine = service.get("Engine") or {}
    return RelayPool(
        name=str(service["Name"]),
        max_connections=int(service.get("MaxConnections") or 0),
        cold_requests_per_s=float(service.get("ColdPerS") or 0.0),
        cold_s=float(service.get("ColdS") or 0.0),
        kv_capacity_tokens=int(engine.get("KvTokens") or 0),
        kv_bytes_per_token=int(_non_negative(engine, "KvBytes")),
        copy_link_mbps=_non_negative(engine, "LinkMbps"),
    )


def _non_negative(engine: Mapping[str, Any], name: str) -> float:
    value = engine.get(name)
    if value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:
        raise ValueError(f"{name}: {value!r} is not a number of at least 0")
    return float(value)


def _limits(limits: Mapping[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=int(limits.get("HeaderBytes") or default.header_bytes),
        body_bytes=int(limits.get("BodyBytes") or default.body_bytes),
        header_s=float(limits.get("HeaderMs") or default.header_s * MS_PER_S) / MS_PER_S,
        idle_s=float(limits.get("IdleMs") or default.idle_s * MS_PER_S) / MS_PER_S,
    )
