"""Start calls on a connection that may already be lost."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from grpclib.client import Stream
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.protocol import H2Protocol

from pomelobarrow.peers.message_size import BoundedChannel

CONNECT_TIMEOUT_S = 1.5
CONNECTION_ERRORS = (OSError, TimeoutError, GRPCError, StreamTerminatedError)


class SingleConnection(BoundedChannel):
    """Connect once; a call on a connection that was lost or closed fails.

    grpclib would reconnect instead. The heartbeats monitor the first connection only, so that a
    call on a second one that stops responding would wait until its deadline.
    """

    _is_closed_for_good = False

    async def __connect__(self) -> H2Protocol:
        """Return the connection, which the first call opens."""
        is_lost = self._protocol is not None and not self._connected
        if self._is_closed_for_good or is_lost:
            raise ConnectionResetError("the connection to the peer was lost or closed")
        return await super().__connect__()

    def close(self) -> None:
        """Close the connection for good."""
        self._is_closed_for_good = True
        super().close()


async def start_call(stream: Stream[Any, Any]) -> None:
    """Connect and send the call's headers; raise one of CONNECTION_ERRORS on failure."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.send_request()
    except AttributeError as error:
        # grpclib drops its transport when the other end closes between the accept and the first
        # frame, and then raises AttributeError. Nothing has been sent at that point.
        raise ConnectionResetError("the peer closed the connection during set-up") from error


@contextmanager
def undo_grpclib_cancellations() -> Iterator[None]:
    """Undo the cancellations by which grpclib wakes a call whose connection was lost.

    grpclib cancels the waiting task, raises its own error and leaves the task's cancellation count
    raised. An enclosing asyncio.timeout then takes its own expiry for an external cancellation and
    lets CancelledError through, which closes the caller's connection without an answer.
    """
    task = asyncio.current_task()
    assert task is not None
    cancels_before = task.cancelling()
    try:
        yield
    except CONNECTION_ERRORS:
        while task.cancelling() > cancels_before:
            task.uncancel()
        raise
