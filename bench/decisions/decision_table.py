"""Write the decision bench's results as tables."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

Row = Mapping[str, Any]
SERVER_COLUMNS = ("p50 s", "p99 s", "hit share", "recomputed/request", "messages/request")


def write(results: Mapping[str, Sequence[Row]]) -> str:
    """Return all tables as Markdown."""
    parts = ["# Decision bench\n"]
    for group, rows in sorted(results.items()):
        parts.append(f"## {group}\n")
        is_server_ways = bool(rows) and "first_token_s" in rows[0]
        parts.append(_server_ways(rows) if is_server_ways else _means(rows))
    return "\n".join(parts)


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return a percentile of sorted values."""
    if not ordered:
        return math.nan
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _server_ways(rows: Sequence[Row]) -> str:
    """Pool the seeds of each way and size."""
    pooled: defaultdict[tuple[Any, ...], list[Row]] = defaultdict(list)
    for row in rows:
        pooled[row["kind"], row["daemons"], row["servers"], row["way"]].append(row)
    lines = _head(("kind", "daemons", "servers", "way", *SERVER_COLUMNS))
    for key, same in pooled.items():
        first_s = sorted(value for row in same for value in row["first_token_s"])
        cells = [
            percentile(first_s, 0.5),
            percentile(first_s, 0.99),
            _mean(row["hit_share"] for row in same),
            _mean(row["recomputed_tokens_per_request"] for row in same),
            _mean(row["messages_per_request"] for row in same),
        ]
        lines.append(_line((*key, *cells)))
    return "\n".join(lines) + "\n"


def _means(rows: Sequence[Row]) -> str:
    """Average the numbers of rows that differ in their seed only."""
    pooled: defaultdict[tuple[Any, ...], list[Row]] = defaultdict(list)
    for row in rows:
        pooled[tuple((k, v) for k, v in row.items() if _is_label(k, v))].append(row)
    names = [k for k, _ in next(iter(pooled))]
    numbers = [k for k, v in rows[0].items() if not _is_label(k, v) and k != "seed"]
    lines = _head((*names, *numbers))
    for key, same in pooled.items():
        cells = [_mean_of(row[number] for row in same) for number in numbers]
        lines.append(_line((*(value for _, value in key), *cells)))
    return "\n".join(lines) + "\n"


def _is_label(key: str, value: Any) -> bool:
    return isinstance(value, str | bool) or key in ("load", "vms", "limit_per_s")


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
