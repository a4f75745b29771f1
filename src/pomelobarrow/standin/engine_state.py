"""Step an engine's batch and keep its requests, cache, orders and run log."""

import asyncio
import time
from collections import defaultdict, deque
from collections.abc import Mapping
from typing import Any

from attrs import define, field

from pomelobarrow.standin import answer, prompt
from pomelobarrow.standin.batch import Batch, Sequence
from pomelobarrow.standin.jobs import Job
from pomelobarrow.standin.orders import OrderBook
from pomelobarrow.standin.prefix_cache import PrefixCache
from pomelobarrow.standin.run_log import MAX_LOGGED_RUNS, RunState, header_int
from pomelobarrow.standin.runtime import Gate

KEEP_S = 30.0


@define(kw_only=True)
class Engine:
    """Hold one engine's state."""

    name: str
    step_s: float
    unknown_until_s: float
    batch: Batch
    cache: PrefixCache
    orders: OrderBook
    gate: Gate = field(factory=Gate)
    leaving: bool = False
    refuse: bool = False
    # Requests whose body holds this text end the process.
    crash_on: str = ""
    # Named with each answer; None names none.
    limit_per_s: float | None = None
    runs: deque[Sequence] = field(factory=lambda: deque(maxlen=MAX_LOGGED_RUNS))
    never_start: set[str] = field(factory=set)
    _runs_by_id: dict[str, list[Sequence]] = field(factory=lambda: defaultdict(list))
    _job_by_number: dict[int, Job] = field(factory=dict)
    _number_by_id: dict[str, int] = field(factory=dict)
    _numbers: int = 0
    _next_step_s: float = 0.0
    _is_stepping: bool = False
    _started_s: float = field(factory=time.monotonic)

    def uptime_s(self) -> float:
        """Return how long this process has been there, by its own clock."""
        return time.monotonic() - self._started_s

    def measure(self) -> dict[str, Any]:
        """Measure the load."""
        return {
            "server": self.name,
            "measured_unix_s": time.time(),
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "kv_tokens_used": self.batch.kv_tokens_used,
            "queued_prefill_tokens": self.batch.queued_prefill_tokens,
            "leaving": self.leaving,
            "fencing": self.orders.fencing,
        }

    def refusal_reason(self, request_id: str) -> str | None:
        """Say why new work isn't run, if so."""
        reasons = {
            "leaving": self.leaving,
            "refused": self.refuse,
            "cancelled_before_start": request_id in self.never_start,
        }
        return next((reason for reason, applies in reasons.items() if applies), None)

    def accept(self, headers: Mapping[str, str], body: Mapping[str, Any]) -> Job:
        """Queue one request; the same id sent twice runs twice."""
        self._numbers += 1
        sequence = self._new_sequence(headers, body)
        job = Job(
            sequence=sequence,
            digest=answer.digest8(body),
            model=str(body.get("model", "")),
            resumable=headers.get("X-Resumable") == "1",
        )
        self.runs.append(sequence)
        self._runs_by_id[sequence.request_id].append(sequence)
        self._job_by_number[sequence.number] = job
        self._number_by_id[sequence.request_id] = sequence.number
        self.batch.add(sequence)
        self.schedule_step()
        return job

    def find_job(self, request_id: str) -> Job | None:
        """Return the newest job kept under an id."""
        return self._job_by_number.get(self._number_by_id.get(request_id, 0))

    def cancel(self, request_id: str) -> str:
        """Cancel every run of an id and say what became of it."""
        runs = self._runs_by_id.get(request_id, [])
        if not runs and asyncio.get_running_loop().time() < self.unknown_until_s:
            return "unknown"
        for sequence in runs:
            self._cancel_sequence(sequence)
        states = {sequence.state for sequence in runs}
        outcome = next(
            (state for state in (RunState.FINISHED, RunState.CANCELLED) if state in states),
            RunState.NOT_RUN,
        )
        if outcome is RunState.NOT_RUN:
            self.never_start.add(request_id)
        return outcome.value

    def release(self, job: Job) -> None:
        """Drop a job that nobody reads any more, or keep it a while for one who resumes."""
        if job.has_readers:
            return
        loop = asyncio.get_running_loop()
        job.keep_until_s = loop.time() + (KEEP_S if job.resumable else 0.0)
        loop.call_at(job.keep_until_s, self._drop_if_unread, job)
        self._drop_if_unread(job)

    def set_frozen(self, frozen: bool) -> None:
        """Stop stepping and answering, or go on."""
        self.gate.set_frozen(frozen)
        self.schedule_step()

    def schedule_step(self) -> None:
        """Run the next step when its time comes, unless there is nothing to do."""
        if self._is_stepping or self.batch.idle or not self.gate.opened.is_set():
            return
        loop = asyncio.get_running_loop()
        # A step that came late delays the ones after it; it isn't made up for in a burst.
        self._next_step_s = max(self._next_step_s + self.step_s, loop.time())
        loop.call_at(self._next_step_s, self._step)
        self._is_stepping = True

    def _step(self) -> None:
        self._is_stepping = False
        if self.gate.opened.is_set():
            for sequence in self.batch.step(time.time()):
                self._wake(sequence)
        self.schedule_step()

    def _wake(self, sequence: Sequence) -> None:
        if job := self._job_by_number.get(sequence.number):
            job.wake_readers()

    def _cancel_sequence(self, sequence: Sequence) -> None:
        self.batch.cancel(sequence, time.time())
        self._wake(sequence)

    def _drop_if_unread(self, job: Job) -> None:
        if job.has_readers or asyncio.get_running_loop().time() < job.keep_until_s:
            return
        self._cancel_sequence(job.sequence)
        self._job_by_number.pop(job.sequence.number, None)

    def _new_sequence(self, headers: Mapping[str, str], body: Mapping[str, Any]) -> Sequence:
        text = prompt.prompt_bytes(body)
        metadata = body.get("metadata") or {}
        return Sequence(
            request_id=headers.get("X-Request-Id") or f"unnamed-{self._numbers}",
            attempt=header_int(headers, "X-Attempt"),
            marker=str(metadata.get("marker", "")),
            class_name=headers.get("Pomelobarrow-Class") or str(metadata.get("class", "")),
            priority=header_int(headers, "X-Priority"),
            prompt_tokens=prompt.count_tokens(text),
            number=self._numbers,
            max_tokens=answer.max_tokens(body),
            blocks=prompt.block_hashes(text),
        )
