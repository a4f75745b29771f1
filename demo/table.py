"""Collect guarantees and observations, and render them as a table."""

import textwrap
from collections.abc import Iterable

from attrs import define, field, frozen

VERDICT_BY_HOLDS = {True: "held", False: "FAILED"}
TITLES = ("step", "promised", "seen", "verdict")
WIDTHS = (20, 44, 56, 7)
GAP = "  "


@frozen
class Row:
    """A guarantee, what was observed, and whether it held."""

    step: str
    promised: str
    seen: str
    holds: bool


@define
class Table:
    """Rows in the order in which they were added."""

    rows: list[Row] = field(factory=list)

    def add(self, step: str, promised: str, seen: str, holds: bool) -> None:
        """Add a guarantee and what was observed."""
        self.rows.append(Row(step, promised, seen, holds))

    @property
    def failed(self) -> list[Row]:
        """Return the rows whose guarantee did not hold."""
        return [row for row in self.rows if not row.holds]

    @property
    def is_held(self) -> bool:
        """Return whether there are rows and every guarantee held."""
        return bool(self.rows) and not self.failed

    def render(self) -> str:
        """Return the table as text."""
        lines = [_line(TITLES), _line("-" * width for width in WIDTHS)]
        for row in self.rows:
            lines += _wrapped(row)
        return "\n".join(lines)


def _wrapped(row: Row) -> list[str]:
    texts = (row.step, row.promised, row.seen, VERDICT_BY_HOLDS[row.holds])
    columns = [
        textwrap.wrap(text, width) or [""] for text, width in zip(texts, WIDTHS, strict=True)
    ]
    height = max(len(column) for column in columns)
    padded = [column + [""] * (height - len(column)) for column in columns]
    return [_line(cells) for cells in zip(*padded, strict=True)]


def _line(cells: Iterable[str]) -> str:
    padded = (cell.ljust(width) for cell, width in zip(cells, WIDTHS, strict=True))
    return GAP.join(padded).rstrip()
