"""Schedule the sequences of an engine with continuous batching."""

import heapq
from collections.abc import Callable

from attrs import define, field

from pomelobarrow.standin.run_log import Run, RunState


@define(kw_only=True, eq=False)
class Sequence(Run):
    """Request that is running in the batch or waiting in its queue."""

    number: int
    max_tokens: int
    blocks: tuple[int, ...] = ()
    prefill_left_tokens: int = 0

    @property
    def kv_tokens(self) -> int:
        """Return the number of tokens whose keys and values are in memory."""
        return self.prompt_tokens - self.prefill_left_tokens + self.output_tokens

    @property
    def reserved_tokens(self) -> int:
        """Return the number of tokens in memory if the sequence reaches its maximum length."""
        return self.prompt_tokens + self.max_tokens


@define(kw_only=True)
class Batch:
    """Running sequences and the priority queue of those that have not started."""

    slots: int
    prefill_tokens_per_step: int
    kv_capacity_tokens: int
    # Returns the number of prompt tokens that are cached; called when a sequence starts.
    count_cached_tokens: Callable[[Sequence], int]
    # Stores the prompt in the prefix cache; called when the prefill is complete.
    store_cached: Callable[[Sequence], None]
    running: list[Sequence] = field(factory=list)
    _queue: list[tuple[int, int, Sequence]] = field(factory=list)

    @property
    def waiting(self) -> list[Sequence]:
        """Return the queued sequences, in heap order."""
        return [entry[2] for entry in self._queue]

    @property
    def idle(self) -> bool:
        """Return whether there are neither running nor queued sequences."""
        return not self.running and not self._queue

    @property
    def kv_tokens_used(self) -> int:
        """Return the number of tokens in memory for the running sequences."""
        return sum(sequence.kv_tokens for sequence in self.running)

    @property
    def queued_prefill_tokens(self) -> int:
        """Return the number of prompt tokens that are still to be computed."""
        queued = sum(sequence.prompt_tokens for sequence in self.waiting)
        return queued + sum(sequence.prefill_left_tokens for sequence in self.running)

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence by priority, then by order of arrival."""
        heapq.heappush(self._queue, (sequence.priority, sequence.number, sequence))

    def cancel(self, sequence: Sequence, now_unix_s: float) -> None:
        """End a sequence; remove it from the queue if it has not started."""
        if sequence.state is RunState.WAITING:
            self._queue = [entry for entry in self._queue if entry[2] is not sequence]
            heapq.heapify(self._queue)
            sequence.end(RunState.NOT_RUN, now_unix_s)
        elif sequence.state is RunState.RUNNING:
            self.running.remove(sequence)
            sequence.end(RunState.CANCELLED, now_unix_s)

    def step(self, now_unix_s: float) -> list[Sequence]:
        """Run one step and return the sequences that started or produced a token."""
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
            sequence.cached_tokens = min(self.count_cached_tokens(sequence), sequence.prompt_tokens)
            sequence.prefill_left_tokens = sequence.prompt_tokens - sequence.cached_tokens
            self.running.append(sequence)
            started.append(sequence)
        return started

    def _fits(self, sequence: Sequence) -> bool:
        reserved_tokens = sum(other.reserved_tokens for other in self.running)
        fits_kv = reserved_tokens + sequence.reserved_tokens <= self.kv_capacity_tokens
        # A sequence larger than the KV capacity runs alone; otherwise it would block the queue.
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
