"""Client connections that are closed after a number of received bytes."""

import asyncio
from functools import partial
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler


class AnswerTooLongError(aiohttp.ClientError):
    """Raised when an answer exceeds the bytes that are read of it."""


class _BoundedHandler(ResponseHandler):
    """Count everything that a connection receives.

    aiohttp bounds single header lines only; interim answers, chunk extensions and bodies have no
    limit there.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_bytes: int) -> None:
        super().__init__(loop)
        self._left_bytes = max_bytes

    def data_received(self, data: bytes) -> None:
        self._left_bytes -= len(data)
        if self._left_bytes >= 0:
            super().data_received(data)
            return
        error = AnswerTooLongError("the answer is longer than what is read of it")
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Open a connection for each request, which receives a bounded number of bytes."""

    def __init__(self, max_bytes: int, **options: Any) -> None:
        super().__init__(force_close=True, **options)
        factory = partial(_BoundedHandler, loop=self._loop, max_bytes=max_bytes)
        # aiohttp has no public way to set the protocol of its connections.
        self._factory = cast(partial[ResponseHandler], factory)


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return a body; raise AnswerTooLongError if it is longer, uncompressed, than may be read."""
    body = bytearray()
    async for block in response.content.iter_any():
        body += block
        if len(body) > max_bytes:
            response.close()
            raise AnswerTooLongError("the answer's body is longer than what is read of it")
    return bytes(body)
