"""Start a daemon process and read its resource usage."""

import pstats
import re
import subprocess
from pathlib import Path
from typing import Any

import yaml
from attrs import frozen

from bench.profile.peers import FleetNode
from harness.processes import Processes

TICKS_PER_S = 100.0
KB_PER_MB = 1_024.0
_RESIDENT = re.compile(r"^VmRSS:\s+(\d+) kB", re.MULTILINE)
_ANONYMOUS = re.compile(r"^RssAnon:\s+(\d+) kB", re.MULTILINE)
_SWITCHES = re.compile(r"^voluntary_ctxt_switches:\s+(\d+)", re.MULTILINE)
_BYTES = re.compile(r"\bbytes_(?:sent|received):(\d+)")


@frozen(kw_only=True)
class Usage:
    """Resource usage of a process since its start."""

    cpu_s: float
    # Voluntary context switches: the process is woken once after each.
    wakeups: int
    resident_mb: float
    anonymous_mb: float
    # Payload of the currently open connections to peers, in both directions.
    peer_bytes: int


@frozen(kw_only=True)
class Ports:
    """Ports of the VMs, the same on each because every VM has its own address."""

    peer: int
    front: int
    ready: int
    directory: int
    hop: int
    metrics: int


@frozen(kw_only=True)
class Calls:
    """Function call counts of a profiled daemon."""

    all: int
    placings: int
    # Share of the profiled time spent in placements, callees included.
    in_placings_share: float


def settings(
    node: FleetNode, ports: Ports, seeds: list[str], store: str, fleet: list[FleetNode]
) -> dict[str, Any]:
    """Return the settings that the platform would write for a VM."""
    listen = {
        "Front": f"{node.ip}:{ports.front}",
        "Ready": f"{node.ip}:{ports.ready}",
        "Control": f"{node.ip}:{ports.peer}",
        "Directory": f"{node.ip}:{ports.directory}",
    }
    bounds = {
        "GraceS": 8,
        "BudgetRatio": 0.2,
        "BudgetWindowS": 10,
        "BudgetSlack": 430,
        "ttl_max_s": 5,
    }
    return {
        "Node": node.vm,
        "Ip": node.ip,
        "Zone": node.failure_domain,
        "Region": node.region,
        "Zones": {each.failure_domain: each.region for each in fleet},
        "Listen": listen,
        "InternalPorts": [ports.hop, ports.hop],
        "Seeds": seeds,
        "Bounds": bounds,
        "Platform": {"Address": store},
    }


def start(
    processes: Processes,
    node: FleetNode,
    settings_values: dict[str, Any],
    metrics_port: int,
    profile: str,
) -> int:
    """Start the daemon with its settings, profiled if a profile file is named; return its pid."""
    path = processes.folder / f"{node.vm}.yaml"
    path.write_text(yaml.safe_dump(settings_values))
    arguments = ["harness.serve", str(path), str(metrics_port), *([profile] if profile else [])]
    return processes.start(node.vm, arguments, announces=False).pid


def read(pid: int, peer_port: int) -> Usage:
    """Return the resource usage of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    return Usage(
        cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        wakeups=int(_find(_SWITCHES, status)),
        resident_mb=_find(_RESIDENT, status) / KB_PER_MB,
        anonymous_mb=_find(_ANONYMOUS, status) / KB_PER_MB,
        peer_bytes=_peer_bytes(pid, peer_port),
    )


def read_calls(path: Path) -> Calls:
    """Return the call counts of a profile."""
    stats = pstats.Stats(str(path))
    placing = [
        values
        for (file, _, name), values in stats.stats.items()  # type: ignore[attr-defined]
        if name == "place" and file.endswith("placement.py")
    ]
    placings = sum(values[1] for values in placing)
    inclusive_s = sum(values[3] for values in placing)
    total = stats.total_calls  # type: ignore[attr-defined]
    total_s = stats.total_tt  # type: ignore[attr-defined]
    return Calls(all=total, placings=placings, in_placings_share=inclusive_s / total_s)


def _find(pattern: re.Pattern[str], text: str) -> float:
    match = pattern.search(text)
    return float(match[1]) if match else 0.0


def _peer_bytes(pid: int, peer_port: int) -> int:
    command = ["ss", "-tinpHO", "state", "established"]
    text = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    lines = [line for line in text.splitlines() if f"pid={pid}," in line]
    at_port = [line for line in lines if f":{peer_port} " in line]
    return sum(int(count) for line in at_port for count in _BYTES.findall(line))
