"""Record the runs of requests, so that tests can count them."""

import enum
from collections.abc import Iterable, Mapping
from typing import Any

from attrs import define

MAX_LOGGED_RUNS = 200_000


class RunState(enum.Enum):
    """Progress or outcome of a run."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"


ENDED = frozenset({RunState.FINISHED, RunState.CANCELLED, RunState.NOT_RUN})


@define(kw_only=True, eq=False)
class Run:
    """Log entry for one run of a request."""

    request_id: str
    attempt: int = 0
    marker: str = ""
    class_name: str = ""
    priority: int = 0
    state: RunState = RunState.WAITING
    started_unix_s: float | None = None
    finished_unix_s: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0

    @property
    def ended(self) -> bool:
        """Return whether the run's state is final."""
        return self.state in ENDED

    def start(self, now_unix_s: float) -> None:
        """Record the start of the run, from which on it has effects."""
        self.state = RunState.RUNNING
        self.started_unix_s = now_unix_s

    def end(self, state: RunState, now_unix_s: float) -> None:
        """Record the final state of the run."""
        self.state = state
        self.finished_unix_s = now_unix_s


def header_int(headers: Mapping[str, str], name: str) -> int:
    """Parse a non-negative integer from a header; return 0 for anything else."""
    text = headers.get(name, "0")
    return int(text) if text.isdecimal() else 0


def runs_payload(runs: Iterable[Run]) -> dict[str, Any]:
    """Build the response body of `GET /admin/runs`."""
    return {"runs": [_run_payload(run) for run in runs]}


def _run_payload(run: Run) -> dict[str, Any]:
    return {
        "request_id": run.request_id,
        "attempt": run.attempt,
        "marker": run.marker,
        "class": run.class_name,
        "started_unix_s": run.started_unix_s,
        "finished_unix_s": run.finished_unix_s,
        "state": run.state.value,
        "priority": run.priority,
        "prompt_tokens": run.prompt_tokens,
        "cached_tokens": run.cached_tokens,
        "output_tokens": run.output_tokens,
    }
