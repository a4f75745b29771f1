"""Print the proof tests of a run as a table, with their guarantees, faults, figures and results."""

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from proof_rows import find_row, read_rows

FIGURE = "figure"
SHOWN_OUTCOMES = ("passed", "failed", "error", "skipped", "xfailed", "xpassed")
HEADER = "promise | faults run | test id | figures | result"
Figure = Callable[[str, object], None]


@pytest.fixture
def figure(request: pytest.FixtureRequest) -> Figure:
    """Record a measured value for the table of proofs."""

    def record(name: str, value: object) -> None:
        shown = f"{value:.3g}" if isinstance(value, float) else str(value)
        request.node.user_properties.append((FIGURE, f"{name}: {shown}"))

    return record


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if item.get_closest_marker("proof") is not None:
            item.user_properties.append(("proof", True))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    lines = list(_lines(terminalreporter.stats))
    if lines:
        terminalreporter.section("proofs")
        for line in (HEADER, *lines):
            terminalreporter.write_line(line)


def _lines(stats: dict[str, list[Any]]) -> Iterator[str]:
    rows = read_rows()
    for outcome in SHOWN_OUTCOMES:
        for report in stats.get(outcome, []):
            properties = getattr(report, "user_properties", [])
            if ("proof", True) not in properties:
                continue
            row = find_row(rows, report.nodeid)
            promise, faults = (row.promise, row.faults) if row else ("(no row)", "(no row)")
            figures = "; ".join(text for name, text in properties if name == FIGURE)
            yield " | ".join((promise, faults, report.nodeid, figures, outcome))
