"""Start calls on a connection that may already be gone."""

import asyncio
from typing import Any

from grpclib.client import Stream
from grpclib.exceptions import GRPCError, StreamTerminatedError

CONNECT_TIMEOUT_S = 1.5
LOST = (OSError, TimeoutError, GRPCError, StreamTerminatedError)


async def start_call(stream: Stream[Any, Any]) -> None:
    """Connect and send the call's headers; raise one of LOST where that fails."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await stream.send_request()
    except AttributeError as error:
        # grpclib forgets its transport when the other end closes between accepting and the first
        # frame, and trips over that; nothing was sent.
        raise ConnectionResetError("closed while connecting") from error
