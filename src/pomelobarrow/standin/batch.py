"""Decide which sequences run in each step of a continuously batching engine."""

import heapq
from collections.abc import Callable

from attrs import define, field

from pomelobarrow.standin.run_log import Run, RunState


@define(kw_only=True, eq=False)
class Sequence(Run):
    """Hold one request in the batch or its queue."""

    number: int
    max_tokens: int
    blocks: tuple[int, ...] = ()
    prefill_left_tokens: int = 0

    @property
    def kv_tokens(self) -> int:
        """Count the tokens whose keys and values are held."""
        return self.prompt_tokens - self.prefill_left_tokens + self.output_tokens

    @property
    def reserved_tokens(self) -> int:
        """Count the tokens that the sequence may come to hold."""
        return self.prompt_tokens + self.max_tokens


@define(kw_only=True)
class Batch:
    """Hold the running batch and the queue before it."""

    slots: int
    prefill_tokens_per_step: int
    kv_capacity_tokens: int
    # Counts a starting sequence's cached tokens; called again when its prefill is done.
    find_cached: Callable[[Sequence], int]
    store_cached: Callable[[Sequence], None]
    running: list[Sequence] = field(factory=list)
    _queue: list[tuple[int, int, Sequence]] = field(factory=list)

    @property
    def waiting(self) -> list[Sequence]:
        """Return the sequences that haven't started."""
        return [entry[2] for entry in self._queue]

    @property
    def idle(self) -> bool:
        """Say whether a step would do nothing."""
        return not self.running and not self._queue

    @property
    def kv_tokens_used(self) -> int:
        """Count the tokens held by the running sequences."""
        return sum(sequence.kv_tokens for sequence in self.running)

    @property
    def queued_prefill_tokens(self) -> int:
        """Count the prompt tokens still to be computed."""
        queued = sum(sequence.prompt_tokens for sequence in self.waiting)
        return queued + sum(sequence.prefill_left_tokens for sequence in self.running)

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence by priority, then arrival."""
        heapq.heappush(self._queue, (sequence.priority, sequence.number, sequence))

    def cancel(self, sequence: Sequence, now_unix_s: float) -> None:
        """End a sequence; one that hasn't started never will."""
        if sequence.state is RunState.WAITING:
            self._queue = [entry for entry in self._queue if entry[2] is not sequence]
            heapq.heapify(self._queue)
            sequence.end(RunState.NOT_RUN, now_unix_s)
        elif sequence.state is RunState.RUNNING:
            self.running.remove(sequence)
            sequence.end(RunState.CANCELLED, now_unix_s)

    def step(self, now_unix_s: float) -> list[Sequence]:
        """Run one step and return the sequences that started or got a token."""
        changed = self._start_waiting(now_unix_s)
        prefill_budget = self.prefill_tokens_per_step
        for sequence in self.running:
            if sequence.prefill_left_tokens:
                prefill_budget -= self._prefill(sequence, prefill_budget)
            if not sequence.prefill_left_tokens:
                sequence.output_tokens += 1
                changed.append(sequence)
        self._remove_finished(now_unix_s)
        return changed

    def _start_waiting(self, now_unix_s: float) -> list[Sequence]:
        started: list[Sequence] = []
        while self._queue and self._fits(self._queue[0][2]):
            sequence = heapq.heappop(self._queue)[2]
            sequence.start(now_unix_s)
            sequence.cached_tokens = min(self.find_cached(sequence), sequence.prompt_tokens)
            sequence.prefill_left_tokens = sequence.prompt_tokens - sequence.cached_tokens
            self.running.append(sequence)
            started.append(sequence)
        return started

    def _fits(self, sequence: Sequence) -> bool:
        reserved_tokens = sum(other.reserved_tokens for other in self.running)
        fits_kv = reserved_tokens + sequence.reserved_tokens <= self.kv_capacity_tokens
        # One that is larger than the whole capacity runs alone, so that it can't block the queue.
        return len(self.running) < self.slots and (fits_kv or not self.running)

    def _prefill(self, sequence: Sequence, budget_tokens: int) -> int:
        spent_tokens = min(sequence.prefill_left_tokens, budget_tokens)
        sequence.prefill_left_tokens -= spent_tokens
        if not sequence.prefill_left_tokens:
            self.store_cached(sequence)
        return spent_tokens

    def _remove_finished(self, now_unix_s: float) -> None:
        for sequence in self.running:
            if sequence.output_tokens >= sequence.max_tokens:
                sequence.end(RunState.FINISHED, now_unix_s)
        self.running = [sequence for sequence in self.running if not sequence.ended]
