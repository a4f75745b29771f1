"""Find out whether the process of a backend server has ended, and its answer with it."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import aiohttp

from pomelobarrow.backends.sessions import BackendSessions, is_connection_refused
from pomelobarrow.backends.single_use import BodyEnd, body_end
from pomelobarrow.decision.requests.work import BackendServer

# An ended process refuses or resets connections within one round trip. An answer that may be
# complete waits for the result.
CHECK_TIMEOUT = aiohttp.ClientTimeout(total=0.3)
# A process that ends closes its listening socket last, and resets what connected meanwhile.
CHECK_DELAYS_S = (0.0, 0.05)

EndCheck = Callable[[BackendServer], Awaitable[bool]]


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


async def is_cut_by_its_end(
    response: aiohttp.ClientResponse, server: BackendServer, check: EndCheck
) -> bool:
    """Return whether an answer may be incomplete: its end has no mark and its server has ended."""
    mark = body_end(response.method, response.status, response.headers)
    return mark is BodyEnd.CONNECTION and await check(server)
