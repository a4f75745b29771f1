"""Merge the decision bench's results and format them as tables."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

Row = Mapping[str, Any]
# Numeric parameters of a run, as opposed to measured values.
LABELS = ("load", "vms", "limit_per_s", "daemons", "servers")


def write(results: Mapping[str, Sequence[Row]]) -> str:
    """Return all tables as Markdown."""
    parts = ["# Decision bench\n"]
    for group, rows in sorted(results.items()):
        names = list(rows[0])
        lines = _head(names) + [_line(row.get(name, "") for name in names) for row in rows]
        parts.append(f"## {group}\n\n" + "\n".join(lines) + "\n")
    return "\n".join(parts)


def merged_by_seed(rows: Sequence[Row]) -> list[dict[str, Any]]:
    """Merge the runs that differ only in their seed."""
    same: defaultdict[tuple[Any, ...], list[Row]] = defaultdict(list)
    for row in rows:
        same[tuple((k, v) for k, v in row.items() if _is_label(k, v))].append(row)
    return [dict(label) | _merge(alike) for label, alike in same.items()]


def _merge(rows: Sequence[Row]) -> dict[str, Any]:
    figures: dict[str, Any] = {"seeds": len(rows)}
    for name, value in rows[0].items():
        if name == "first_token_s":
            first_s = sorted(each for row in rows for each in row[name])
            figures["first_token_p50_s"] = percentile(first_s, 0.5)
            figures["first_token_p99_s"] = percentile(first_s, 0.99)
        elif name != "seed" and not _is_label(name, value):
            figures[name] = _mean_of(row[name] for row in rows)
    return figures


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return a percentile of sorted values."""
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _is_label(key: str, value: Any) -> bool:
    return isinstance(value, str | bool) or key in LABELS


def _mean_of(values: Iterable[Any]) -> Any:
    values = list(values)
    if isinstance(values[0], Mapping):
        return {key: _mean(value[key] for value in values) for key in values[0]}
    return _mean(value for value in values if value is not None)


def _mean(values: Iterable[float]) -> float:
    values = list(values)
    return sum(values) / len(values) if values else math.nan


def _head(names: Sequence[str]) -> list[str]:
    return [_line(names), "|" + "---|" * len(names)]


def _line(cells: Iterable[Any]) -> str:
    return "| " + " | ".join(_cell(cell) for cell in cells) + " |"


def _cell(cell: Any) -> str:
    if isinstance(cell, Mapping):
        return ", ".join(f"{key} {_cell(value)}" for key, value in cell.items())
    if isinstance(cell, float) and not isinstance(cell, bool):
        return f"{cell:.0f}" if abs(cell) >= 100 else f"{cell:.3f}"
    return str(cell)
