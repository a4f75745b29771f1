"""Find out whether the process of a backend server has ended, and its answer with it."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import orjson
from attrs import field, frozen

from pomelobarrow.backends.answer_buffers import read_limited
from pomelobarrow.backends.answer_limits import AnswerTooLargeError
from pomelobarrow.backends.sessions import BackendSessions, is_connection_refused
from pomelobarrow.backends.single_use import BodyEnd, body_end
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.process_state import ProbeAnswer, ProcessState, process_state

# An ended process refuses or resets connections within one round trip, and a busy one reads a
# request late. An answer that may be complete waits for the result.
PROBE_TIMEOUT_S = 0.6
CHECK_TIMEOUT_S = 1.2
# A process that ends closes its listening socket last, and resets what connected meanwhile. One
# that has too many connections resets them, too.
CHECK_DELAYS_S = (0.0, 0.05, 0.1, 0.2, 0.4)
# Sent for a request that names another server than the one that listens.
MISDIRECTED = 421

RunningCheck = Callable[[BackendServer], Awaitable[bool]]
AnswerReader = Callable[[aiohttp.ClientResponse], Awaitable[ProbeAnswer]]


@frozen(kw_only=True)
class Probe:
    """A request that any server answers without running anything."""

    path: str
    headers: Mapping[str, str] = field(factory=dict)
    read_answer: AnswerReader


async def check_server(
    sessions: BackendSessions, server: BackendServer, probe: Probe
) -> ProcessState:
    """Probe a server: its answer shows which process runs, a refused connection that none does."""
    url = sessions.url(server.address, probe.path)
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + CHECK_TIMEOUT_S
    for delay_s in CHECK_DELAYS_S:
        await asyncio.sleep(delay_s)
        if (left_s := give_up_at - loop.time()) <= 0.0:
            break
        timeout = aiohttp.ClientTimeout(total=min(PROBE_TIMEOUT_S, left_s))
        try:
            async with sessions.fresh.get(
                url, headers=probe.headers, timeout=timeout, allow_redirects=False
            ) as answer:
                return process_state(server, await probe.read_answer(answer))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if is_connection_refused(error):
                return ProcessState.ENDED
    return ProcessState.UNKNOWN


def answer_by_name(read_born: Callable[[Mapping[str, object]], int | None]) -> AnswerReader:
    """Return a reader of the answers to requests that other servers than the named one reject."""

    async def read_answer(answer: aiohttp.ClientResponse) -> ProbeAnswer:
        if answer.status == MISDIRECTED:
            return ProbeAnswer(is_other=True)
        return ProbeAnswer(born_unix_ms=read_born(await read_statement(answer)))

    return read_answer


async def read_statement(answer: aiohttp.ClientResponse) -> Mapping[str, object]:
    """Return the fields that a server states of itself; none if its answer is no JSON object."""
    try:
        body = orjson.loads(await read_limited(answer.content))
    except (AnswerTooLargeError, ValueError):
        return {}
    return body if isinstance(body, dict) else {}


def is_load_of_other(body: Mapping[str, object], name: str) -> bool:
    """Return whether a stated load names another server."""
    return body.get("server", name) != name


async def is_maybe_cut(
    response: aiohttp.ClientResponse, server: BackendServer, is_running: RunningCheck
) -> bool:
    """Return whether an answer may be cut: its end has no mark, and its server may be gone."""
    mark = body_end(response.method, response.status, response.headers)
    return mark is BodyEnd.CONNECTION and not await is_running(server)
