"""Tests of the table of lost and late requests that is computed from log lines."""

import json

from bench.losses import Losses, read_requests

ENTRY = "vm-a"


def line(event: str, **fields: object) -> str:
    entry = {"event": event, "vm": ENTRY, "request_id": "r1", **fields}
    return f"   1.0630 {ENTRY} {json.dumps(entry)}\n"


def ended(second: int, **fields: object) -> str:
    common: dict[str, object] = {
        "route": "hint",
        "outcome": "answered",
        "status": 200,
        "detail": "",
        "forwarded_by": "",
        "took_s": 1.0,
        "first_answer_s": 0.5,
        "late_by": "",
        "timestamp": f"2026-01-16T22:46:{second:02d}.000000Z",
    }
    return line("relay ended", **{**common, **fields})


def rows(*lines: str) -> list[str]:
    requests = read_requests(lines)
    losses = Losses(window_s=2.0)
    for request in requests:
        losses.add(request, min(each.started_unix_s for each in requests))
    return [" ".join(row.split()) for row in losses.rows()][1:]


def test_request_on_time_is_not_listed() -> None:
    assert rows(ended(10)) == []


def test_late_request_is_listed_with_its_expected_first_answer() -> None:
    placed = line("relay placed", expected_first_answer_s=0.25)
    assert rows(placed, ended(10, late_by="pause")) == ["0 hint 1 0.25 0.50 late pause"]


def test_causes_are_counted_by_window_and_route() -> None:
    lines = (
        ended(10, outcome="refused", detail="every server is too far behind", status=503),
        ended(11, outcome="refused", detail="every server is too far behind", status=503),
        ended(14, route="digest", status=500),
    )
    assert rows(*lines) == [
        "0 hint 2 - - refused: every server is too far behind",
        "4 digest 1 - - the server answered 500",
    ]


def test_forwarded_request_counts_only_at_its_entry() -> None:
    assert rows(ended(10, forwarded_by="vm-b", late_by="pause")) == []


def test_other_output_is_ignored() -> None:
    assert rows("class  asked {in aim}\n", "no json\n", ended(10)) == []
