"""Detect whether a backend server that closed a connection without an answer has ended."""

import asyncio
import enum
import random
from collections.abc import Callable, Mapping, Sequence

from attrs import define, field, frozen

from pomelobarrow.decision.requests.fingerprint import format_fingerprint
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.crash_suspects import RunningRequest

# The second check is needed because an exiting process may close its connections before its
# listening socket.
CHECK_DELAYS_S = (0.0, 0.2)
CONNECT_TIMEOUT_S = 0.3
# A refusal arrives within one round trip. A request that could be retried on another server waits
# at most this long for the result.
CHECK_TIMEOUT_S = 0.1
MAX_LOGGED_FINGERPRINTS = 8
# One that accepts a connection is enough, and several servers may have crashed together.
MAX_OTHERS_ASKED = 4


class Connection(enum.Enum):
    """How an attempt to connect ended."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    FAILED = "failed"


@frozen(kw_only=True)
class ServerEnded:
    """Report that a backend server ended while it processed requests of this VM."""

    server: str
    pool: str
    requests: int
    # The fingerprints of at most MAX_LOGGED_FINGERPRINTS of these requests, formatted as in the log
    # line `relay ended`.
    fingerprints: tuple[str, ...]


@define(kw_only=True)
class _Check:
    task: "asyncio.Task[None]"
    requests: list[RunningRequest] = field(factory=list)


@define(kw_only=True)
class ServerWatch:
    """Check servers that closed a connection, with at most one check per server at a time.

    A closed connection alone is no evidence, as running servers and network devices close
    connections too. The address of a server that ended refuses new connections at once. A server
    that is unreachable or has lost power doesn't respond at all, which proves nothing. Nor does a
    refusal where no other server accepts a connection either: this VM has lost its own links then.
    """

    dial: Mapping[str, str] = field(factory=dict)
    # Returns whether a server is listed and has not announced that it leaves.
    is_in_service: Callable[[BackendServer], bool] = lambda server: True
    # Returns the other servers of this region.
    other_servers: Callable[[BackendServer], Sequence[BackendServer]] = lambda server: ()
    on_ended: Callable[[BackendServer, tuple[RunningRequest, ...]], None] = (
        lambda server, requests: None
    )
    observe: Callable[[object], None] = lambda event: None
    _checks: dict[str, _Check] = field(factory=dict)

    async def note_closed(self, server: BackendServer, request: RunningRequest) -> None:
        """Check a server that closed a connection with a request on it, and wait for the result.

        A check that takes longer than CHECK_TIMEOUT_S continues in the background.
        """
        if not self.is_in_service(server):
            return
        check = self._checks.get(server.incarnation)
        if check is None:
            task = asyncio.create_task(self._run(server))
            check = self._checks[server.incarnation] = _Check(task=task)
        check.requests.append(request)
        await asyncio.wait({check.task}, timeout=CHECK_TIMEOUT_S)

    async def _run(self, server: BackendServer) -> None:
        has_ended = await self._has_ended(server)
        check = self._checks.pop(server.incarnation)
        if has_ended:
            self._report(server, tuple(dict.fromkeys(check.requests)))

    async def _has_ended(self, server: BackendServer) -> bool:
        for delay_s in CHECK_DELAYS_S:
            await asyncio.sleep(delay_s)
            if await self._connect(server) is Connection.REFUSED:
                return await self._reaches_others(server)
        return False

    async def _reaches_others(self, server: BackendServer) -> bool:
        """Return whether another server accepts a connection, or there is none to ask."""
        others = self.other_servers(server)
        if not others:
            return True
        asked = random.sample(others, min(len(others), MAX_OTHERS_ASKED))
        found = await asyncio.gather(*(self._connect(each) for each in asked))
        return Connection.ACCEPTED in found

    async def _connect(self, server: BackendServer) -> Connection:
        host, _, port = self.dial.get(server.address, server.address).rpartition(":")
        return await _try_connection(host, int(port))

    def _report(self, server: BackendServer, requests: tuple[RunningRequest, ...]) -> None:
        self.on_ended(server, requests)
        fingerprints = tuple(dict.fromkeys(request.fingerprint for request in requests))
        self.observe(
            ServerEnded(
                server=server.name,
                pool=server.pool,
                requests=len(fingerprints),
                fingerprints=tuple(map(format_fingerprint, fingerprints[:MAX_LOGGED_FINGERPRINTS])),
            )
        )


async def _try_connection(host: str, port: int) -> Connection:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return Connection.REFUSED
    except (OSError, TimeoutError):
        return Connection.FAILED
    writer.close()
    return Connection.ACCEPTED
