import re
from pathlib import Path

import pytest
from proof_rows import ProofRow, assembled_page, find_row, read_rows

TESTS = Path(__file__).parent


@pytest.mark.parametrize("row", read_rows(), ids=lambda row: row.test_id)
def test_a_row_names_a_proof_that_exists(row: ProofRow) -> None:
    path, _, name = row.test_id.partition("[")[0].partition("::")
    source = (TESTS.parent / path).read_text(encoding="utf-8")
    assert re.search(rf"^(\s*(async def|def|class) {name}\b|{name} = )", source, re.MULTILINE)
    assert "pytest.mark.proof" in source


def test_a_row_stands_for_all_parameters() -> None:
    row = ProofRow(promise="p", faults="f", test_id="t.py::x", figures="", not_proved="")
    assert find_row([row], "t.py::x[one]") is row
    assert find_row([row], "t.py::y") is None


def test_the_page_holds_every_row() -> None:
    page = assembled_page()
    assert all(row.test_id in page for row in read_rows())
