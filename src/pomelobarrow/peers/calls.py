"""Start calls on a connection that may already be gone."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from grpclib.client import Channel, Stream
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.protocol import H2Protocol

CONNECT_TIMEOUT_S = 1.5
LOST = (OSError, TimeoutError, GRPCError, StreamTerminatedError)


class SingleConnection(Channel):
    """Connect once; a call on a connection that was lost or closed fails.

    grpclib connects anew instead, unseen by the heartbeats that watch the first connection: a call
    on one that falls silent would wait until its deadline.
    """

    _is_used_up = False

    async def __connect__(self) -> H2Protocol:
        """Return the connection, made at the first call."""
        is_lost = self._protocol is not None and not self._connected
        if self._is_used_up or is_lost:
            raise ConnectionResetError("the connection to the peer was lost or closed")
        return await super().__connect__()

    def close(self) -> None:
        """Close the connection for good."""
        self._is_used_up = True
        super().close()


async def start_call(stream: Stream[Any, Any]) -> None:
    """Connect and send the call's headers; raise one of LOST where that fails."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.send_request()
    except AttributeError as error:
        # grpclib forgets its transport when the other end closes between accepting and the first
        # frame, and trips over that; nothing was sent.
        raise ConnectionResetError("closed while connecting") from error


@contextmanager
def take_back_cancels() -> Iterator[None]:
    """Undo the cancellations by which grpclib wakes a call whose connection was lost.

    grpclib cancels the waiting task, raises its own error instead and never takes the
    cancellation back. A timeout around it then mistakes its own end for a foreign cancellation,
    lets CancelledError through, and the caller's connection closes without any answer.
    """
    task = asyncio.current_task()
    assert task is not None
    cancels_before = task.cancelling()
    try:
        yield
    except LOST:
        while task.cancelling() > cancels_before:
            task.uncancel()
        raise
