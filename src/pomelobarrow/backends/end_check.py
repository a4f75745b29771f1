"""Find out whether the process of a backend server has ended, and its answer with it."""

import asyncio
import enum
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
# Sent for a request that names another server than the one that listens.
MISDIRECTED = 421

EndCheck = Callable[[BackendServer], Awaitable[bool]]


class ServerState(enum.Enum):
    """Enumerate what a probe shows of a server's process."""

    RUNNING = "running"
    ENDED = "ended"
    # It has too many connections or is busy, or has ended behind a proxy that accepts them.
    UNKNOWN = "unknown"


async def check_server(
    sessions: BackendSessions,
    server: BackendServer,
    path: str,
    headers: Mapping[str, str],
    is_named: bool = False,
) -> ServerState:
    """Probe a server: an answer shows that it is running, a refused connection that it isn't.

    If the headers name the server, another process that listens at its address rejects the probe,
    so that it isn't taken for the one that has ended.
    """
    url = sessions.url(server.address, path)
    for delay_s in CHECK_DELAYS_S:
        await asyncio.sleep(delay_s)
        try:
            async with sessions.fresh.get(
                url, headers=headers, timeout=CHECK_TIMEOUT, allow_redirects=False
            ) as answer:
                is_other = is_named and answer.status == MISDIRECTED
                return ServerState.ENDED if is_other else ServerState.RUNNING
        except TimeoutError:
            return ServerState.UNKNOWN
        except (aiohttp.ClientError, OSError) as error:
            if is_connection_refused(error):
                return ServerState.ENDED
    return ServerState.UNKNOWN


async def has_ended(
    sessions: BackendSessions, server: BackendServer, path: str, headers: Mapping[str, str]
) -> bool:
    """Return whether a server is known to have ended."""
    return await check_server(sessions, server, path, headers) is ServerState.ENDED


async def is_cut_by_its_end(
    response: aiohttp.ClientResponse, server: BackendServer, check: EndCheck
) -> bool:
    """Return whether an answer may be incomplete: its end has no mark and its server has ended."""
    mark = body_end(response.method, response.status, response.headers)
    return mark is BodyEnd.CONNECTION and await check(server)
