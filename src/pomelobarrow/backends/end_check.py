"""Find out whether the process of a backend server has ended."""

import asyncio
from collections.abc import Mapping

import aiohttp

from pomelobarrow.backends.sessions import BackendSessions, is_connection_refused
from pomelobarrow.decision.requests.work import BackendServer

# An ended process refuses or resets connections within one round trip. An answer that may be
# complete waits for the result.
CHECK_TIMEOUT = aiohttp.ClientTimeout(total=0.3)
# A process that ends closes its listening socket last, and resets what connected meanwhile.
CHECK_DELAYS_S = (0.0, 0.05)


async def has_ended(
    sessions: BackendSessions, server: BackendServer, path: str, headers: Mapping[str, str]
) -> bool:
    """Return whether a server refuses connections; any answer shows that it is running.

    A server that resets them, and doesn't refuse them soon, may have too many.
    """
    url = sessions.url(server.address, path)
    for delay_s in CHECK_DELAYS_S:
        await asyncio.sleep(delay_s)
        try:
            async with sessions.fresh.get(
                url, headers=headers, timeout=CHECK_TIMEOUT, allow_redirects=False
            ):
                return False
        except TimeoutError:
            return False
        except (aiohttp.ClientError, OSError) as error:
            if is_connection_refused(error):
                return True
    return False
