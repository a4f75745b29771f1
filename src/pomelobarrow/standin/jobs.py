"""Hold an engine's requests while someone may still read their answers."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

from pomelobarrow.standin import answer
from pomelobarrow.standin.batch import Sequence
from pomelobarrow.standin.run_log import RunState


@define(kw_only=True, eq=False)
class Job:
    """Hold one request's sequence, what its tokens are and who reads them."""

    sequence: Sequence
    digest: str
    model: str
    resumable: bool
    keep_until_s: float = 0.0
    _readers: set[asyncio.Event] = field(factory=set)

    @property
    def has_readers(self) -> bool:
        """Say whether anyone reads the answer now."""
        return bool(self._readers)

    @property
    def started(self) -> bool:
        """Say whether the sequence left the queue."""
        return self.sequence.state is not RunState.WAITING

    def wake_readers(self) -> None:
        """Tell every reader that something changed."""
        for reader in self._readers:
            reader.set()

    @contextmanager
    def reading(self) -> Iterator[asyncio.Event]:
        """Count as a reader and get the event that is set on each change."""
        reader = asyncio.Event()
        self._readers.add(reader)
        try:
            yield reader
        finally:
            self._readers.discard(reader)

    def usage(self) -> dict[str, object]:
        """Count the tokens so far."""
        sequence = self.sequence
        return answer.usage(sequence.prompt_tokens, sequence.cached_tokens, sequence.output_tokens)

    def event(self, index: int) -> bytes:
        """Frame the event of one token."""
        is_last = index == self.sequence.max_tokens - 1
        return answer.token_event(
            self.sequence.request_id,
            self.model,
            answer.token(self.digest, index),
            self.usage() if is_last else None,
        )

    def whole(self) -> dict[str, object]:
        """Build the whole answer of a finished sequence."""
        sequence = self.sequence
        text = "".join(answer.token(self.digest, index) for index in range(sequence.output_tokens))
        return answer.whole_answer(sequence.request_id, self.model, text, self.usage())


async def wait_until_started(job: Job, reader: asyncio.Event) -> None:
    """Wait until the sequence starts or is cancelled."""
    while not job.started:
        await reader.wait()
        reader.clear()


async def wait_until_ended(job: Job, reader: asyncio.Event) -> None:
    """Wait until the sequence finished or was cancelled."""
    while not job.sequence.ended:
        await reader.wait()
        reader.clear()
