"""Find out whether the process of a backend server has ended, and its answer with it."""

import asyncio
import enum
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import orjson
from attrs import field, frozen

from pomelobarrow.backends.answer_buffers import read_limited
from pomelobarrow.backends.answer_limits import AnswerTooLargeError
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


@frozen(kw_only=True)
class Probe:
    """A request that any server answers without running anything."""

    path: str
    headers: Mapping[str, str] = field(factory=dict)
    # Returns whether an answer is of another server than the probed one, which then has ended.
    is_of_other: Callable[[aiohttp.ClientResponse], Awaitable[bool]]


async def check_server(
    sessions: BackendSessions, server: BackendServer, probe: Probe
) -> ServerState:
    """Probe a server: its answer shows that it is running, a refused connection that it isn't."""
    url = sessions.url(server.address, probe.path)
    for delay_s in CHECK_DELAYS_S:
        await asyncio.sleep(delay_s)
        try:
            async with sessions.fresh.get(
                url, headers=probe.headers, timeout=CHECK_TIMEOUT, allow_redirects=False
            ) as answer:
                is_of_other = await probe.is_of_other(answer)
                return ServerState.ENDED if is_of_other else ServerState.RUNNING
        except TimeoutError:
            return ServerState.UNKNOWN
        except (aiohttp.ClientError, OSError) as error:
            if is_connection_refused(error):
                return ServerState.ENDED
    return ServerState.UNKNOWN


async def is_misdirected(answer: aiohttp.ClientResponse) -> bool:
    """Return whether a process rejects a request since it names another one."""
    return answer.status == MISDIRECTED


def states_other_name(name: str) -> Callable[[aiohttp.ClientResponse], Awaitable[bool]]:
    """Return a function that checks whether the body of an answer names another server."""

    async def is_of_other(answer: aiohttp.ClientResponse) -> bool:
        try:
            body = orjson.loads(await read_limited(answer.content))
        except (AnswerTooLargeError, ValueError):
            return False
        return isinstance(body, dict) and is_load_of_other(body, name)

    return is_of_other


def is_load_of_other(body: Mapping[str, object], name: str) -> bool:
    """Return whether a stated load names another server."""
    return body.get("server", name) != name


async def is_cut_by_its_end(
    response: aiohttp.ClientResponse, server: BackendServer, check: EndCheck
) -> bool:
    """Return whether an answer may be incomplete: its end has no mark and its server has ended."""
    mark = body_end(response.method, response.status, response.headers)
    return mark is BodyEnd.CONNECTION and await check(server)
