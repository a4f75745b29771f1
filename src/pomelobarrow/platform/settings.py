"""Translate the settings file that the platform provides on each machine."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from pomelobarrow.decision.admission.budget_limits import VmResources
from pomelobarrow.decision.admission.retry_share import RetryBound
from pomelobarrow.decision.published.checks import Fault
from pomelobarrow.kernel.settings import (
    DEFAULT_REVOCATION_S,
    CallerSettings,
    PeerKey,
    PeerSettings,
    PlatformSettings,
    RelaySettings,
    Settings,
)
from pomelobarrow.kernel.yaml_file import read_file

SETTINGS_VARIABLE = "POMELOBARROW_SETTINGS"
# The platform assigns no port for metrics, and the deploy file needs one that is known beforehand.
# This one is on the Prometheus project's list of exporter ports.
METRICS_PORT = 9464
MS_PER_S = 1_000.0
BYTES_PER_MB = 1_000_000
PEER_KEY_ID = "platform"

_REMEDY = "provide the settings file that the platform's documentation describes"


def load_settings(path: str | Path | None = None) -> Result[Settings, tuple[Fault, ...]]:
    """Read the given file, else the one that the environment names."""
    named = path or os.environ.get(SETTINGS_VARIABLE)
    if not named:
        seen = f"no {SETTINGS_VARIABLE}"
        return Err((Fault(path="environment", seen=seen, remedy=f"set it; {_REMEDY}"),))
    decoded = read_file(Path(named))
    if isinstance(decoded, Err):
        return Err((decoded.err_value,))
    return translate_settings(decoded.ok_value)


def translate_settings(decoded: Any) -> Result[Settings, tuple[Fault, ...]]:
    """Translate a decoded file; fields that the product doesn't use are ignored."""
    try:
        return Ok(_settings(decoded))
    except (KeyError, IndexError, TypeError, ValueError) as error:
        return Err((Fault(path="settings", seen=f"{error!r}", remedy=_REMEDY),))


def _settings(decoded: Mapping[str, Any]) -> Settings:
    listen, bounds = decoded["Listen"], decoded["Bounds"]
    ip = str(decoded["Ip"])
    store_address = str(decoded["Platform"]["Address"])
    return Settings(
        vm=str(decoded["Node"]),
        region=str(decoded["Region"]),
        failure_domain=str(decoded["Zone"]),
        # Members advertise the address that the directory returns to clients.
        callers=CallerSettings(listen=f"{ip}:{METRICS_PORT}", advertise=listen["Front"]),
        peers=PeerSettings(
            listen=listen["Control"],
            advertise=listen["Control"],
            keys=(_peer_key(store_address),),
            seeds=tuple(seed for seed in decoded["Seeds"] if seed != listen["Control"]),
        ),
        platform=PlatformSettings(addresses=(f"http://{store_address}",)),
        resources=_resources(decoded.get("Limits") or {}),
        relay=RelaySettings(
            front_listen=listen["Front"],
            readiness_listen=listen["Ready"],
            directory_listen=listen["Directory"],
            hop_listen=f"{ip}:{int(decoded['InternalPorts'][0])}",
            region_by_failure_domain=dict(decoded["Zones"]),
            stop_timeout_s=float(bounds["GraceS"]),
            max_directory_ttl_s=float(bounds["ttl_max_s"]),
            retry_bound=RetryBound(
                ratio=float(bounds["BudgetRatio"]),
                slack=float(bounds["BudgetSlack"]),
                window_s=float(bounds["BudgetWindowS"]),
            ),
            revocation_s=_revocation_s(bounds),
            is_revocation_strict=bool(bounds.get("StrictRevoke")),
            config_apply_s=float(bounds.get("ApplyMs") or 0.0) / MS_PER_S,
            limit_tolerance=float(bounds.get("QuotaSlack") or 0.0),
            is_first_start=decoded.get("Bootstrap") is True,
        ),
    )


def _resources(limits: Mapping[str, Any]) -> VmResources:
    default = VmResources()
    memory_mb = limits.get("MemoryMb")
    return VmResources(
        memory_bytes=int(memory_mb * BYTES_PER_MB) if memory_mb else default.memory_bytes,
        descriptors=int(limits.get("FileDescriptors") or default.descriptors),
    )


def _revocation_s(bounds: Mapping[str, Any]) -> float:
    revocation_ms = bounds.get("RevokeMs")
    return float(revocation_ms) / MS_PER_S if revocation_ms else DEFAULT_REVOCATION_S


def _peer_key(store_address: str) -> PeerKey:
    """Return the key that all daemons of one store share.

    The platform provides no secret and admits nobody else to its network, so this key protects
    against no attacker; it keeps the daemons of two deployments from accepting each other as peers.
    """
    return PeerKey(id=PEER_KEY_ID, secret=f"deployment-at-{store_address}")
