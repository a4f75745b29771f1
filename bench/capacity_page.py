"""Write the measured tables of docs/CAPACITY.md."""

import re
from collections.abc import Sequence
from functools import partial
from pathlib import Path

from bench.capacity_model import (
    Cost,
    Measured,
    control_costs,
    cpu_by_messages,
    cross_links,
    links,
    memory_bytes,
    platform_reads_per_s,
    request_costs,
)
from bench.capacity_size import BYTES_BUDGET_PER_S, CPU_BUDGET_S_PER_S, MEMORY_BUDGET_BYTES
from bench.capacity_state import Slope

KB, MB, MS = 1e3, 1e6, 1e-3
REGION_DAEMONS = (5, 20, 50)
# A segment's headers of IP and TCP, and as much again for its acknowledgement.
HEADER_BYTES = 104


def blocks(measured: Measured) -> dict[str, str]:
    """Return each table of the page by its name."""
    return {
        "fleets": _fleets(measured),
        "exchange": _exchange(measured),
        "slopes": _slopes([*measured.memory, *measured.times]),
        **{f"region-{n}": _roles(measured, n) for n in REGION_DAEMONS},
        "whole": _whole(measured),
    }


def write_blocks(page: Path, text: dict[str, str]) -> None:
    """Replace the tables between the page's markers."""
    content = page.read_text(encoding="utf-8")
    for name, rows in text.items():
        pattern = re.compile(rf"(<!-- {name} -->\n).*?(<!-- end {name} -->)", re.DOTALL)
        content = pattern.sub(partial(_replace, rows), content)
    page.write_text(content, encoding="utf-8")


def _replace(text: str, found: re.Match[str]) -> str:
    return f"{found[1]}{text}\n{found[2]}"


def table(heads: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table in Markdown."""
    lines = [heads, ["---"] * len(heads), *rows]
    return "\n".join(f"| {' | '.join(cells)} |" for cells in lines)


def _fleets(measured: Measured) -> str:
    rows = [
        [
            str(usage.size.daemons),
            str(usage.size.regions),
            str(usage.size.servers_per_region),
            f"{usage.cpu_s_per_s / MS:.1f}",
            f"{usage.resident_bytes / MB:.1f}",
            f"{usage.peer_bytes_per_s / KB:.1f}",
            f"{usage.peer_messages_per_s:.1f}",
            f"{usage.backend_bytes_per_s / KB:.1f}",
            f"{usage.platform_bytes_per_s / KB:.2f}",
            f"{usage.platform_reads_per_s:.1f}",
            f"{usage.change_in_force_s:.2f}",
        ]
        for usage in measured.usages
    ]
    heads = ["daemons", "regions", "servers a region", "CPU ms/s", "resident MB", "peers KB/s"]
    heads += ["messages sent/s", "servers KB/s", "platform KB/s", "platform reads/s (all)"]
    heads += ["change in force everywhere s"]
    line = cpu_by_messages(measured)
    fit = (
        f"\n\nProcessor time by messages sent, one region: {line.base / MS:.1f} ms/s and "
        f"{line.slope / MS:.2f} ms a message, largest miss {line.error_share:.0%}."
    )
    return table(heads, rows) + fit


def _exchange(measured: Measured) -> str:
    rows = [
        [
            str(cost.size.daemons),
            str(cost.size.servers),
            str(links(cost.size.daemons)),
            f"{cost.cpu_s_per_s / MS:.1f}",
            f"{cost.bytes_per_s / KB:.1f}",
            f"{cost.messages_per_s:.0f}",
            f"{measured.cross_link_bytes_per_s[cost.size.daemons] / KB:.2f}",
        ]
        for cost in measured.exchanges
    ]
    heads = ["daemons", "servers", "links dialed", "build and take ms/s", "KB/s sent and received"]
    heads += ["messages/s sent and received", "a link to another region KB/s"]
    bare_ms = measured.bare_exchange_s / MS
    bare = f"\n\nA message and its answer on an open stream, both ends: {bare_ms:.2f} ms."
    return table(heads, rows) + bare


def _slopes(slopes: Sequence[Slope]) -> str:
    rows = [
        [
            each.name,
            ", ".join(f"{size:g}" for size in each.sizes),
            ", ".join(_amount(value, each.unit) for value in each.values),
            f"{_amount(each.line.base, each.unit)} + {_amount(each.line.slope, each.unit)} each",
            f"{each.line.error_share:.0%}",
        ]
        for each in slopes
    ]
    return table(["quantity", "sizes", "measured", "line", "largest miss"], rows)


def _amount(value: float, unit: str) -> str:
    if unit == "B":
        return f"{value / KB:.2f} KB"
    return f"{value * 1e6:.2f} µs"


def _roles(measured: Measured, daemons: int) -> str:
    costs = control_costs(measured, daemons)
    rows = [_row(cost) for cost in costs]
    cpu_s = sum(cost.cpu_s_per_s for cost in costs)
    payload = sum(cost.bytes_per_s for cost in costs)
    segments = 2 * 2 * (links(daemons) + cross_links(daemons))
    wire = payload + segments * HEADER_BYTES
    memory = memory_bytes(measured)
    rows.append(
        [
            "**control, sum**",
            f"{cpu_s / MS:.1f} {_verdict(cpu_s, CPU_BUDGET_S_PER_S)}",
            f"{payload / KB:.1f} {_verdict(payload, BYTES_BUDGET_PER_S)}",
            f"{memory / MB:.0f} whole process {_verdict(memory, MEMORY_BUDGET_BYTES)}",
        ]
    )
    rows.append(["with headers of IP and TCP", "", f"{wire / KB:.1f}", ""])
    rows += [_row(cost) for cost in request_costs(measured, daemons)]
    return table(["role", "CPU ms/s", "KB/s sent and received", "memory MB"], rows)


def _row(cost: Cost) -> list[str]:
    name = cost.role if cost.is_control else f"{cost.role} (requests, no control)"
    return [
        name,
        f"{cost.cpu_s_per_s / MS:.2f}",
        f"{cost.bytes_per_s / KB:.2f}",
        f"{cost.memory_bytes / MB:.1f}" if cost.memory_bytes else "",
    ]


def _verdict(value: float, budget: float) -> str:
    return "(fits)" if value <= budget else "(**does not fit**)"


def _whole(measured: Measured) -> str:
    slowest = max(usage.change_in_force_s for usage in measured.usages)
    joined = sum(
        measured.slope(name).at(size) for name, size in (("configuration", 400), ("VM list", 2_540))
    )
    return table(
        ["quantity", "value"],
        [
            ["platform reads a second, all daemons", f"{platform_reads_per_s():.0f}"],
            ["slowest change in force everywhere, measured s", f"{slowest:.2f}"],
            ["published state held by a daemon, MB", f"{joined / MB:.1f}"],
        ],
    )
