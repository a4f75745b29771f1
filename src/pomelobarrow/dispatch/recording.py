"""Record an answer for repeats of the request while sending it to the caller."""

from collections.abc import Coroutine

from pomelobarrow.decision.common.errors import Refusal
from pomelobarrow.decision.requests.request_ids import MAX_BODY_BYTES, Outcome
from pomelobarrow.dispatch.answers import AnswerHead, AnswerSink, CallerGoneError


class RecordingSink:
    """Forward an answer, record it up to a size limit and continue if the caller disconnects."""

    def __init__(self, sink: AnswerSink) -> None:
        self._sink: AnswerSink | None = sink
        self._head: AnswerHead | None = None
        self._parts: list[bytes] = []
        self._size_bytes = 0

    def detach(self) -> None:
        """Stop forwarding the answer because its caller has left."""
        self._sink = None

    def outcome(self) -> Outcome:
        """Return the recorded outcome for a repeat."""
        head = self._head or AnswerHead(502)
        is_kept = self._size_bytes <= MAX_BODY_BYTES
        body = b"".join(self._parts) if is_kept else None
        return Outcome(status=head.status, headers=head.headers, body=body)

    async def head(self, head: AnswerHead) -> None:
        """Record and forward the head."""
        self._head = head
        if self._sink is not None:
            await self._forward(self._sink.head(head))

    async def chunk(self, data: bytes) -> None:
        """Record the bytes up to the size limit and forward them."""
        self._record(data)
        if self._sink is not None:
            await self._forward(self._sink.chunk(data))

    async def end(self, last: bytes = b"") -> None:
        """Record the last bytes and forward them with the end of the answer."""
        self._record(last)
        if self._sink is not None:
            await self._forward(self._sink.end(last))

    async def abort(self, refusal: Refusal) -> None:
        """Forward the abort."""
        if self._sink is not None:
            await self._forward(self._sink.abort(refusal))

    def _record(self, data: bytes) -> None:
        self._size_bytes += len(data)
        if self._size_bytes <= MAX_BODY_BYTES:
            self._parts.append(data)
        else:
            self._parts.clear()

    async def _forward(self, step: Coroutine[None, None, None]) -> None:
        try:
            await step
        except CallerGoneError:
            self.detach()
