"""Read the rows of docs/proofs/*.md and assemble docs/PROOFS.md from them."""

import re
from collections.abc import Iterator
from pathlib import Path

from attrs import frozen

DOCS = Path(__file__).parent.parent / "docs"
PAGE = DOCS / "PROOFS.md"
COLUMNS = ("promise", "faults run", "test id", "figures", "not proved")
INTRODUCTION = """# What must hold, and how it is proved

Each row names a promise, the faults run against it with real processes behind the fault-injecting
proxy, the test, figures from the run that the row was written after, and what that test doesn't
prove. `make proofs` runs exactly these tests and prints the table with the figures and the result
of that run. This page is assembled from `docs/proofs/*.md` by `make proofs-page`.
"""


@frozen(kw_only=True)
class ProofRow:
    """Row of a proofs page."""

    promise: str
    faults: str
    test_id: str
    figures: str
    not_proved: str


def read_rows() -> list[ProofRow]:
    """Return the rows of all proof pages."""
    return [row for page in sorted((DOCS / "proofs").glob("*.md")) for row in _rows(page)]


def find_row(rows: list[ProofRow], test_id: str) -> ProofRow | None:
    """Return the row of a test; a row without parameters, or of a class, covers all its tests."""
    by_id = {row.test_id: row for row in rows}
    ids = (test_id, test_id.partition("[")[0], test_id.rpartition("::")[0])
    return next((by_id[each] for each in ids if each in by_id), None)


def assembled_page() -> str:
    """Return the text of docs/PROOFS.md."""
    parts = [page.read_text(encoding="utf-8") for page in sorted((DOCS / "proofs").glob("*.md"))]
    return "\n".join([INTRODUCTION, *(re.sub(r"^# ", "## ", part, flags=re.M) for part in parts)])


def _rows(page: Path) -> Iterator[ProofRow]:
    for line in page.read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if line.startswith("|") and len(cells) == len(COLUMNS) and "::" in cells[2]:
            promise, faults, test_id, figures, not_proved = cells
            yield ProofRow(
                promise=promise,
                faults=faults,
                test_id=test_id.strip("`"),
                figures=figures,
                not_proved=not_proved,
            )


if __name__ == "__main__":
    PAGE.write_text(assembled_page(), encoding="utf-8")
