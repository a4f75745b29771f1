"""Find out whether a backend server ended when it closed a connection without an answer."""

import asyncio
from collections.abc import Callable, Mapping

from attrs import define, field, frozen

from pomelobarrow.decision.fingerprint import format_fingerprint
from pomelobarrow.decision.work import BackendServer

# A process that ends may close its connections before its listening socket.
CHECKS_AFTER_S = (0.0, 0.2)
CONNECT_TIMEOUT_S = 0.3
# A refused connection shows within a round trip; a request that could go on elsewhere waits no
# longer than this for the finding.
FINDING_WITHIN_S = 0.1
MAX_LOGGED_FINGERPRINTS = 8


@frozen(kw_only=True)
class ServerEnded:
    """Report that a backend server ended while requests of this VM were on it."""

    server: str
    pool: str
    requests: int
    # Of some of these requests, as `relay ended` shows them.
    fingerprints: tuple[str, ...]


@define(kw_only=True)
class _Check:
    task: "asyncio.Task[None]"
    fingerprints: list[int] = field(factory=list)


@define(kw_only=True)
class ServerWatch:
    """Hold the checks that are under way, one for each server.

    A closed connection says little: a server that lives closes some, and so do devices on the way.
    A server that ended takes no new connection either, and its address refuses it at once. A
    server that is cut off or has lost power stays silent instead, which proves nothing.
    """

    dial: Mapping[str, str] = field(factory=dict)
    # Whether a server is listed and has not said that it leaves.
    is_staying: Callable[[BackendServer], bool] = lambda server: True
    on_ended: Callable[[BackendServer, tuple[int, ...]], None] = lambda server, fingerprints: None
    observe: Callable[[object], None] = lambda event: None
    _checks: dict[str, _Check] = field(factory=dict)

    async def note_closed(self, server: BackendServer, fingerprint: int) -> None:
        """Take in that a connection with a request on it was closed; return once that is judged.

        A check that takes longer goes on by itself.
        """
        if not self.is_staying(server):
            return
        check = self._checks.get(server.incarnation)
        if check is None:
            task = asyncio.create_task(self._run(server))
            check = self._checks[server.incarnation] = _Check(task=task)
        check.fingerprints.append(fingerprint)
        await asyncio.wait({check.task}, timeout=FINDING_WITHIN_S)

    async def _run(self, server: BackendServer) -> None:
        has_ended = await self._has_ended(server)
        check = self._checks.pop(server.incarnation)
        if has_ended:
            self._report(server, tuple(dict.fromkeys(check.fingerprints)))

    async def _has_ended(self, server: BackendServer) -> bool:
        host, _, port = self.dial.get(server.address, server.address).rpartition(":")
        for pause_s in CHECKS_AFTER_S:
            await asyncio.sleep(pause_s)
            if await _is_refused(host, int(port)):
                return True
        return False

    def _report(self, server: BackendServer, fingerprints: tuple[int, ...]) -> None:
        self.on_ended(server, fingerprints)
        self.observe(
            ServerEnded(
                server=server.name,
                pool=server.pool,
                requests=len(fingerprints),
                fingerprints=tuple(map(format_fingerprint, fingerprints[:MAX_LOGGED_FINGERPRINTS])),
            )
        )


async def _is_refused(host: str, port: int) -> bool:
    """Say whether nobody listens at an address."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
