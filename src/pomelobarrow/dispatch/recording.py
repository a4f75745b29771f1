"""Keep an answer for a repeat while passing it on."""

from collections.abc import Coroutine

from pomelobarrow.decision.errors import Refusal
from pomelobarrow.decision.request_ids import MAX_BODY_BYTES, Outcome
from pomelobarrow.dispatch.answers import AnswerHead, AnswerSink, CallerGoneError


class RecordingSink:
    """Pass an answer on, keep it up to a bound, and go on when the caller leaves."""

    def __init__(self, sink: AnswerSink) -> None:
        self._sink: AnswerSink | None = sink
        self._head: AnswerHead | None = None
        self._parts: list[bytes] = []
        self._size_bytes = 0

    def detach(self) -> None:
        """Stop passing the answer on; nobody waits for it."""
        self._sink = None

    def outcome(self) -> Outcome:
        """Return what a repeat is to get."""
        head = self._head or AnswerHead(502)
        is_kept = self._size_bytes <= MAX_BODY_BYTES
        body = b"".join(self._parts) if is_kept else None
        return Outcome(status=head.status, headers=head.headers, body=body)

    async def head(self, head: AnswerHead) -> None:
        """Keep and pass on."""
        self._head = head
        if self._sink is not None:
            await self._passing(self._sink.head(head))

    async def chunk(self, data: bytes) -> None:
        """Keep while there is room, and pass on."""
        self._size_bytes += len(data)
        if self._size_bytes <= MAX_BODY_BYTES:
            self._parts.append(data)
        else:
            self._parts.clear()
        if self._sink is not None:
            await self._passing(self._sink.chunk(data))

    async def end(self) -> None:
        """Pass on."""
        if self._sink is not None:
            await self._passing(self._sink.end())

    async def abort(self, refusal: Refusal) -> None:
        """Pass on."""
        if self._sink is not None:
            await self._passing(self._sink.abort(refusal))

    async def _passing(self, step: Coroutine[None, None, None]) -> None:
        try:
            await step
        except CallerGoneError:
            self.detach()
