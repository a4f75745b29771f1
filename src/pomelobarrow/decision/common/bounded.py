"""Read the numbers that servers, peers and the store state, each within a range.

A number outside its range counts as not stated. Unchecked, it would reach a field of a message that
can't hold it, or a computation that fails far from where it came from.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Any

UINT32_MAX = 2**32 - 1
UINT64_MAX = 2**64 - 1


def parse_count(text: str, most: int) -> int | None:
    """Return a decimal count from 0 to `most`; None for anything else."""
    digits = text.strip()
    # Checked before the conversion, whose time grows with the square of the length.
    if len(digits) > len(str(most)) or not (digits.isascii() and digits.isdecimal()):
        return None
    return count_or_none(int(digits), most)


def count_or_none(value: object, most: int) -> int | None:
    """Return a whole JSON number from 0 to `most`; None for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    # Also false for NaN.
    if not 0 <= value <= most or value != int(value):
        return None
    return int(value)


def number_or_none(value: object, most: float) -> float | None:
    """Return a JSON number from 0 to `most`; None for anything else."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if 0 <= value <= most else None


def are_amounts(values: Iterable[float]) -> bool:
    """Return whether all values are finite and not negative."""
    return all(0.0 <= value < math.inf for value in values)


def saturated(value: float, most: int = UINT32_MAX) -> int:
    """Return a count for a field of a message, at the nearest end of its range if it is outside."""
    if math.isnan(value):
        return 0
    return int(min(max(0, value), most))


def require_count(
    entry: Mapping[str, Any],
    name: str,
    at_most: int,
    at_least: int = 0,
    default: int | None = None,
) -> int:
    """Return a whole number of an entry; raise ValueError if it is out of range."""
    value = entry[name] if default is None else entry.get(name, default)
    count = count_or_none(value, at_most)
    if count is None or count < at_least:
        raise ValueError(f"{name}: {value!r} is no whole number from {at_least} to {at_most}")
    return count


def require_text(entry: Mapping[str, Any], name: str) -> str:
    """Return a text of an entry; raise ValueError if it is none or empty."""
    value = entry[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name}: {value!r} is not a non-empty string")
    return value
