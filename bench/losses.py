"""Say which requests were lost or late, when and why, from the daemons' log lines."""

import argparse
import json
import statistics
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

from attrs import define, field

PLACED, ATTEMPT_ENDED, ENDED = "relay placed", "relay attempt ended", "relay ended"
# Cuts off the addresses and ids at the end of a detail, so that equal causes are counted together.
DETAIL_CHARS = 40
ON_TIME = "on time"


@define(kw_only=True)
class Request:
    """One request, as described by its log lines."""

    started_unix_s: float = 0.0
    route: str = ""
    cause: str = ""
    expected_s: float | None = None
    first_answer_s: float | None = None


@define(kw_only=True)
class Losses:
    """Count requests by window, route and cause."""

    window_s: float
    counts: Counter[tuple[int, str, str]] = field(factory=Counter)
    expected_s: defaultdict[tuple[int, str, str], list[float]] = field(
        factory=lambda: defaultdict(list)
    )
    first_answers_s: defaultdict[tuple[int, str, str], list[float]] = field(
        factory=lambda: defaultdict(list)
    )

    def add(self, request: Request, began_unix_s: float) -> None:
        """Count one request."""
        window = int((request.started_unix_s - began_unix_s) // self.window_s)
        key = (window, request.route, request.cause)
        self.counts[key] += 1
        if request.expected_s is not None and request.first_answer_s is not None:
            self.expected_s[key].append(request.expected_s)
            self.first_answers_s[key].append(request.first_answer_s)

    def rows(self) -> Iterator[str]:
        """Return the lines of the table, without the requests that were on time."""
        yield f"{'from s':>7} {'route':<12} {'requests':>8} {'expected':>9} {'got':>6}  cause"
        for key in sorted(each for each in self.counts if each[2] != ON_TIME):
            window, route, cause = key
            times = f"{_median(self.expected_s[key]):>9} {_median(self.first_answers_s[key]):>6}"
            from_s = f"{window * self.window_s:>7.0f}"
            yield f"{from_s} {route:<12} {self.counts[key]:>8} {times}  {cause}"


def read_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Return the JSON objects of log lines, ignoring any text before them on a line."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            yield json.loads(line[start:])
        except ValueError:
            # Other output with a brace, such as a table.
            continue


def read_requests(lines: Iterable[str]) -> list[Request]:
    """Return the ended requests, each as logged by the VM that received it from the caller."""
    expected_s: dict[tuple[str, str], float] = {}
    ended = []
    for event in read_lines(lines):
        name = event.get("event")
        if name == PLACED:
            expected_s[event["request_id"], event["vm"]] = event["expected_first_answer_s"]
        if name == ENDED and not event["forwarded_by"]:
            ended.append(_request(event, expected_s.get((event["request_id"], event["vm"]))))
    return ended


def _request(event: dict[str, Any], expected_s: float | None) -> Request:
    ended_unix_s = datetime.fromisoformat(event["timestamp"]).timestamp()
    return Request(
        started_unix_s=ended_unix_s - event["took_s"],
        route=event["route"],
        cause=_cause(event),
        expected_s=expected_s,
        first_answer_s=event["first_answer_s"],
    )


def _cause(event: dict[str, Any]) -> str:
    if event["outcome"] != "answered":
        return f"{event['outcome']}: {event['detail'][:DETAIL_CHARS]}".rstrip(": ")
    if event["status"] >= 400:
        return f"the server answered {event['status']}"
    return f"late {event['late_by']}" if event["late_by"] else ON_TIME


def _median(values: list[float]) -> str:
    return f"{statistics.median(values):.2f}" if values else "-"


def main() -> None:
    """Print the table for a log file or standard input."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", nargs="?", type=Path, help="file with the daemons' lines")
    parser.add_argument("--window-s", type=float, default=2.0)
    options = parser.parse_args()
    lines = options.log.open() if options.log else sys.stdin
    with lines:
        requests = read_requests(lines)
    losses = Losses(window_s=options.window_s)
    began_unix_s = min((each.started_unix_s for each in requests), default=0.0)
    for request in requests:
        losses.add(request, began_unix_s)
    print("\n".join(losses.rows()))


if __name__ == "__main__":
    main()
