"""Measure the decision logic in memory: `python -m bench.decision_bench [--only GROUP ...]`."""

import argparse
import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from bench.decisions import decision_table
from bench.decisions.jobs import GROUPS, Job, run_job

RESULTS = Path(__file__).parent / "results"
PROCESSES = 3


def main() -> int:
    """Run the groups, write `results/decisions.json` and `.md`, and print the tables."""
    parser = argparse.ArgumentParser(prog="bench.decision_bench")
    parser.add_argument("--only", nargs="*", choices=sorted(GROUPS), default=sorted(GROUPS))
    options = parser.parse_args()
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / "decisions.json"
    results: dict[str, Any] = json.loads(path.read_text()) if path.exists() else {}
    for group in options.only:
        started_s = time.monotonic()
        rows = _run(GROUPS[group]())
        results[group] = decision_table.merged_by_seed(rows)
        path.write_text(json.dumps(results, indent=1) + "\n")
        print(f"{group}: {len(rows)} runs in {time.monotonic() - started_s:.0f} s", flush=True)
    text = decision_table.write(results)
    (RESULTS / "decisions.md").write_text(text)
    print(text)
    return 0


def _run(jobs: list[Job]) -> list[dict[str, Any]]:
    with ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(run_job, jobs))


if __name__ == "__main__":
    sys.exit(main())
