"""Write the answer to one relayed request to its client."""

import asyncio
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from pomelobarrow.callers.client_connection import has_queued_requests
from pomelobarrow.callers.sinks import LateHeadResponse, begin_answer, close_incomplete, end_answer
from pomelobarrow.dispatch.answers import CallerGoneError
from pomelobarrow.relay.messages import Headers, WholeAnswer

# A larger body is sent in parts, each once the client has read most of the one before.
MAX_JOINED_BYTES = 64 << 10
# An answer may be sent after its deadline. Its memory is free for other answers again after this.
MAX_SENDING_S = 30.0
# A client that reads nothing for this long has stalled.
STALLED_S = 1.0
CALLER_GONE = "the client closed its connection"
CALLER_SLOW = "the client has not read its answer"


class ClientAnswer:
    """Write one answer to the client; no other attempt is possible once it is started."""

    def __init__(self, incoming: web.BaseRequest, closes: Callable[[], bool]) -> None:
        self.status = 0
        self._incoming = incoming
        # Returns whether the connection is closed after this answer.
        self._closes = closes
        self.response: web.StreamResponse | None = None

    @property
    def is_started(self) -> bool:
        """Return whether any part of the answer has been sent."""
        return self.response is not None

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer."""
        response = web.Response(status=status, headers=CIMultiDict(headers), body=body)
        await self._prepare(response)
        await self._checked(response.write_eof())

    async def pass_on(
        self, answer: WholeAnswer, is_memory_short: Callable[[], bool] = lambda: False
    ) -> None:
        """Send a backend server's complete answer.

        A large one is broken off if its client reads nothing while others wait for its memory.
        """
        head, parts, size_bytes = answer.head, answer.body_parts, answer.size_bytes
        if size_bytes <= MAX_JOINED_BYTES:
            await self.send_complete(head.status, head.headers, b"".join(parts))
        else:
            await self._send_parts(head.status, head.headers, parts, size_bytes, is_memory_short)

    async def _send_parts(
        self,
        status: int,
        headers: Headers,
        parts: tuple[bytes, ...],
        size_bytes: int,
        is_memory_short: Callable[[], bool],
    ) -> None:
        loop, sent_parts = asyncio.get_running_loop(), 0
        timer = loop.call_later(STALLED_S, lambda: end_if_stalled(0))

        def end_if_stalled(sent_before: int) -> None:
            nonlocal timer
            if sent_parts == sent_before and is_memory_short():
                scope.reschedule(loop.time())
            else:
                timer = loop.call_later(STALLED_S, end_if_stalled, sent_parts)

        # The transport copies what the client has not read yet.
        response = LateHeadResponse(status=status, headers=CIMultiDict(headers))
        response.content_length = size_bytes
        try:
            async with asyncio.timeout(MAX_SENDING_S) as scope:
                await self._prepare(response)
                for part in parts:
                    await self.send(part)
                    sent_parts += 1
                await self.finish()
        except TimeoutError as error:
            self.break_off()
            raise CallerGoneError(CALLER_SLOW) from error
        finally:
            timer.cancel()

    async def open(self, status: int, headers: Headers) -> None:
        """Begin a stream; its head is sent together with the first events."""
        await self._prepare(LateHeadResponse(status=status, headers=CIMultiDict(headers)))

    async def send(self, data: bytes) -> None:
        """Send the next bytes of a stream."""
        assert self.response is not None
        try:
            await self.response.write(data)
        except (ConnectionError, RuntimeError) as error:
            raise CallerGoneError(CALLER_GONE) from error

    async def finish(self, rest: bytes = b"") -> None:
        """End a complete stream with the bytes after its last event."""
        assert self.response is not None
        await self._checked(self.response.write_eof(rest))
        await end_answer(self._incoming, self.response)

    def break_off(self) -> None:
        """Close the connection so that the answer is visibly incomplete."""
        close_incomplete(self._incoming)

    async def _prepare(self, response: web.StreamResponse) -> None:
        self.status = response.status
        # What the client sent ahead on this connection is answered too.
        if self._closes() and not has_queued_requests(self._incoming):
            response.force_close()
        self.response = response
        begin_answer(self._incoming, response)
        await self._checked(response.prepare(self._incoming))

    async def _checked(self, step) -> None:  # type: ignore[no-untyped-def]
        try:
            await step
        except (ConnectionError, RuntimeError) as error:
            raise CallerGoneError(CALLER_GONE) from error
