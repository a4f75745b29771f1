"""Run an engine's batch and store its requests, cache, orders and run log."""

import asyncio
import time
from collections import defaultdict, deque
from collections.abc import Mapping
from typing import Any

from attrs import define, field

from pomelobarrow.standin import answer, prompt
from pomelobarrow.standin.batch import Batch, Sequence
from pomelobarrow.standin.jobs import Job
from pomelobarrow.standin.orders import EngineOrders
from pomelobarrow.standin.prefix_cache import PrefixCache
from pomelobarrow.standin.room import Room
from pomelobarrow.standin.run_log import MAX_LOGGED_RUNS, RunState, header_int
from pomelobarrow.standin.runtime import Announcements, RequestGate

RESUMABLE_RETENTION_S = 30.0


@define(kw_only=True)
class Engine:
    """Simulated engine: batch, prefix cache, orders, run log and fault settings."""

    name: str
    step_s: float
    unknown_until_s: float
    batch: Batch
    cache: PrefixCache
    orders: EngineOrders
    room: Room
    gate: RequestGate = field(factory=RequestGate)
    leaving: bool = False
    refuse: bool = False
    # A request whose body contains this text ends the process, as a crash would.
    crash_on: str = ""
    announcements: Announcements = field(factory=Announcements)
    runs: deque[Sequence] = field(factory=lambda: deque(maxlen=MAX_LOGGED_RUNS))
    cancelled_before_start_ids: set[str] = field(factory=set)
    _runs_by_id: dict[str, list[Sequence]] = field(factory=lambda: defaultdict(list))
    _job_by_number: dict[int, Job] = field(factory=dict)
    _number_by_id: dict[str, int] = field(factory=dict)
    _last_number: int = 0
    _next_step_s: float = 0.0
    _is_stepping: bool = False
    _started_s: float = field(factory=time.monotonic)

    def uptime_s(self) -> float:
        """Return the time since the start of the process, by the monotonic clock."""
        return time.monotonic() - self._started_s

    def measure(self) -> dict[str, Any]:
        """Return a load report for the current moment."""
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
        """Return why a new request is refused, or None if it is accepted."""
        reasons = {
            "leaving": self.leaving,
            "refused": self.refuse,
            "cancelled_before_start": request_id in self.cancelled_before_start_ids,
        }
        return next((reason for reason, applies in reasons.items() if applies), None)

    def has_no_room(self) -> bool:
        """Return whether a new request is rejected because too many wait."""
        return self.room.rejects(len(self.batch.running) + len(self.batch.waiting))

    def accept(self, headers: Mapping[str, str], body: Mapping[str, Any]) -> Job:
        """Queue one request; requests are not deduplicated by id."""
        self._last_number += 1
        sequence = self._new_sequence(headers, body)
        job = Job(
            sequence=sequence,
            digest=answer.body_digest(body),
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
        """Return the newest job stored under an id."""
        return self._job_by_number.get(self._number_by_id.get(request_id, 0))

    def cancel(self, request_id: str) -> str:
        """Cancel every run of an id and return the outcome."""
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
            self.cancelled_before_start_ids.add(request_id)
        return outcome.value

    def release(self, job: Job) -> None:
        """Drop a job without readers; keep a resumable one for the retention period."""
        if job.has_readers:
            return
        loop = asyncio.get_running_loop()
        job.retained_until_s = loop.time() + (RESUMABLE_RETENTION_S if job.resumable else 0.0)
        loop.call_at(job.retained_until_s, self._drop_if_unread, job)
        self._drop_if_unread(job)

    def set_frozen(self, frozen: bool) -> None:
        """Stop or continue stepping and answering."""
        self.gate.set_frozen(frozen)
        self.schedule_step()

    def fall_silent(self, silent_s: float) -> None:
        """Stop stepping and answering for a time."""
        self.set_frozen(True)
        asyncio.get_running_loop().call_later(silent_s, self.set_frozen, False)

    def schedule_step(self) -> None:
        """Schedule the next step, unless the engine is idle or frozen."""
        if self._is_stepping or self.batch.idle or not self.gate.opened.is_set():
            return
        loop = asyncio.get_running_loop()
        # A late step delays the following ones, so that no burst of steps makes up for it.
        self._next_step_s = max(self._next_step_s + self.step_s, loop.time())
        loop.call_at(self._next_step_s, self._step)
        self._is_stepping = True

    def _step(self) -> None:
        self._is_stepping = False
        if self.gate.opened.is_set():
            for sequence in self.batch.step(time.time()):
                self._notify_readers(sequence)
        self.schedule_step()

    def _notify_readers(self, sequence: Sequence) -> None:
        if job := self._job_by_number.get(sequence.number):
            job.notify_readers()

    def _cancel_sequence(self, sequence: Sequence) -> None:
        self.batch.cancel(sequence, time.time())
        self._notify_readers(sequence)

    def _drop_if_unread(self, job: Job) -> None:
        if job.has_readers or asyncio.get_running_loop().time() < job.retained_until_s:
            return
        self._cancel_sequence(job.sequence)
        self._job_by_number.pop(job.sequence.number, None)

    def _new_sequence(self, headers: Mapping[str, str], body: Mapping[str, Any]) -> Sequence:
        text = prompt.prompt_bytes(body)
        metadata = body.get("metadata") or {}
        return Sequence(
            request_id=headers.get("X-Request-Id") or f"unnamed-{self._last_number}",
            attempt=header_int(headers, "X-Attempt"),
            marker=str(metadata.get("marker", "")),
            class_name=headers.get("Pomelobarrow-Class") or str(metadata.get("class", "")),
            priority=header_int(headers, "X-Priority"),
            prompt_tokens=prompt.count_tokens(text),
            number=self._last_number,
            max_tokens=answer.max_tokens(body),
            blocks=prompt.block_hashes(text),
        )
