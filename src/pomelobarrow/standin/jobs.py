"""Store an engine's requests while their answers may still be read."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

from pomelobarrow.standin import answer
from pomelobarrow.standin.batch import Sequence
from pomelobarrow.standin.run_log import RunState


@define(kw_only=True, eq=False)
class Job:
    """Request of an engine with its sequence and the readers of its answer."""

    sequence: Sequence
    digest: str
    model: str
    resumable: bool
    retained_until_s: float = 0.0
    _readers: set[asyncio.Event] = field(factory=set)

    @property
    def has_readers(self) -> bool:
        """Return whether the answer is being read."""
        return bool(self._readers)

    @property
    def started(self) -> bool:
        """Return whether the sequence has left the queue."""
        return self.sequence.state is not RunState.WAITING

    def notify_readers(self) -> None:
        """Notify every reader of a change."""
        for reader in self._readers:
            reader.set()

    @contextmanager
    def reading(self) -> Iterator[asyncio.Event]:
        """Register a reader and yield the event that is set on each change."""
        reader = asyncio.Event()
        self._readers.add(reader)
        try:
            yield reader
        finally:
            self._readers.discard(reader)

    def usage(self) -> dict[str, object]:
        """Build the usage object for the tokens so far."""
        sequence = self.sequence
        return answer.usage(sequence.prompt_tokens, sequence.cached_tokens, sequence.output_tokens)

    def event(self, index: int) -> bytes:
        """Encode the event of one token."""
        is_last = index == self.sequence.max_tokens - 1
        return answer.token_event(
            self.sequence.request_id,
            self.model,
            answer.token(self.digest, index),
            self.usage() if is_last else None,
        )

    def completion(self) -> dict[str, object]:
        """Build the response body of a finished sequence."""
        sequence = self.sequence
        text = "".join(answer.token(self.digest, index) for index in range(sequence.output_tokens))
        return answer.completion(sequence.request_id, self.model, text, self.usage())


async def wait_until_started(job: Job, reader: asyncio.Event) -> None:
    """Wait until the sequence starts or is cancelled."""
    while not job.started:
        await reader.wait()
        reader.clear()


async def wait_until_ended(job: Job, reader: asyncio.Event) -> None:
    """Wait until the sequence is finished or cancelled."""
    while not job.sequence.ended:
        await reader.wait()
        reader.clear()
