"""Note which backend servers answer this VM, and probe pools that it may not reach."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from random import Random

import aiohttp
from attrs import define, field

from pomelobarrow.backends.end_check import Probe, check_server
from pomelobarrow.backends.engine import CONNECTION_ERRORS
from pomelobarrow.backends.sessions import BackendSessions, describe_error
from pomelobarrow.decision.requests.short_key import short_key
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.process_state import ProcessState
from pomelobarrow.decision.servers.reachability import ServerReachability
from pomelobarrow.dispatch.events import PoolReachable, PoolUnreachable
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.loop_delay import LoopDelay, observed_loop_delay

# Clients get the answers of peers meanwhile, so that a later end of the probes costs them one hop.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 0.5
PAUSE_JITTER = 0.2
# Connecting inside a region takes one or two milliseconds. The limit allows for one retransmission;
# after it, a server counts as unreachable.
SERVER_CONNECT_TIMEOUT_S = 0.35
# A server that is busy reads a request late.
ANSWER_TIMEOUT_S = 1.0
# A process that runs later than this may be too slow to open a connection itself.
MAX_LOOP_DELAY_S = 0.1
PROBE_TIMEOUT = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S, sock_connect=SERVER_CONNECT_TIMEOUT_S)


@define(kw_only=True)
class ReachMonitor:
    """Record answers, and probe a pool that may be unreachable until a server of it answers."""

    reachability: ServerReachability
    sessions: BackendSessions
    # What a probe requests; any answer shows that the server is reached.
    probe_path: str
    probe_headers: Mapping[str, str]
    # Returns a probe that identifies the server that answers it.
    naming_probe: Callable[[BackendServer], Probe]
    # Returns whether no later start of a server is listed.
    is_current: Callable[[BackendServer], bool] = lambda server: True
    # Drops the failures of servers that this VM can't reach.
    forgive: Callable[[Iterable[BackendServer]], None]
    observe: Callable[[object], None]
    rng: Random = field(factory=Random)
    _probes: dict[str, "asyncio.Task[None]"] = field(factory=dict, init=False)
    # By pool: the probes that are in progress.
    _rounds: dict[str, "asyncio.Future[None]"] = field(factory=dict, init=False)

    def note_answer(self, server: BackendServer, connected_unix_s: float) -> None:
        """Record the head of an answer on a connection that was opened at the given time."""
        unreachable_s = self.reachability.note_answer(server, connected_unix_s, now_unix_s())
        if unreachable_s is not None:
            self.observe(
                PoolReachable(pool=server.pool, server=server.name, unreachable_s=unreachable_s)
            )

    def note_silence(self, server: BackendServer) -> None:
        """Probe the pool of a server that gave no answer, unless another one has just answered.

        This counts as no failure itself. A busy server may leave a request unanswered, several may
        have crashed together, and a busy process may be too slow to open a connection.
        """
        if self.reachability.needs_probe(server.pool, now_unix_s()):
            self._start_probes(server.pool)

    async def probe_unless_answered(self, pool: str, since_unix_s: float) -> None:
        """Probe a pool and wait for the end, unless a connection opened since was answered."""
        if self.reachability.is_answered_since(pool, since_unix_s):
            return
        self._start_probes(pool)
        # The task of the probes begins in the next iteration of the loop.
        await asyncio.sleep(0)
        if pool in self._rounds:
            await asyncio.wait({self._rounds[pool]})

    async def is_running(self, server: BackendServer) -> bool:
        """Return whether the process of a server is known to run."""
        return await self.check_server(server) is ProcessState.RUNNING

    async def check_server(self, server: BackendServer) -> ProcessState:
        """Return what a probe shows of the process of a server."""
        state = await check_server(self.sessions, server, self.naming_probe(server))
        # The list may show the next start of a server that didn't answer.
        return state if self.is_current(server) else ProcessState.ENDED

    def _start_probes(self, pool: str) -> None:
        if pool not in self._probes:
            self._probes[pool] = asyncio.create_task(self._probe(pool))

    def note_peer_statement(self, pool_keys: Collection[int]) -> None:
        """Probe pools that a VM of this region has found unreachable, before requests are lost."""
        for pool in self.reachability.answered_pools:
            servers = self.reachability.pool_servers(pool)
            if short_key(pool) in pool_keys and servers:
                self.note_silence(servers[0])

    async def close(self) -> None:
        """Stop all probes."""
        probes = tuple(self._probes.values())
        for each in probes:
            each.cancel()
        await asyncio.gather(*probes, return_exceptions=True)

    def _report_unreachable(self, pool: str, detail: str) -> None:
        servers = self.reachability.pool_servers(pool)
        self.forgive(servers)
        self.observe(
            PoolUnreachable(
                pool=pool,
                servers_failed=len(self.reachability.failed_servers(pool)),
                servers_listed=len(servers),
                detail=detail,
            )
        )

    async def _probe(self, pool: str) -> None:
        """Probe servers of a pool until one answers or none is listed."""
        pause_s = FIRST_PAUSE_S
        try:
            while servers := self.reachability.servers_to_probe(pool, self.rng):
                self._rounds[pool] = asyncio.ensure_future(self._probe_all(servers))
                await self._rounds[pool]
                if self.reachability.is_reachable(pool):
                    return
                await asyncio.sleep(pause_s * self.rng.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER))
                pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)
            self.reachability.forget(pool)
        finally:
            del self._probes[pool]
            self._rounds.pop(pool, None)

    async def _probe_all(self, servers: Iterable[BackendServer]) -> None:
        with observed_loop_delay() as delay:
            await asyncio.gather(*(self._probe_server(server, delay) for server in servers))

    async def _probe_server(self, server: BackendServer, delay: LoopDelay) -> None:
        started_unix_s = now_unix_s()
        url = self.sessions.url(server.address, self.probe_path)
        try:
            async with self.sessions.fresh.get(
                url, headers=self.probe_headers, timeout=PROBE_TIMEOUT, allow_redirects=False
            ):
                self.note_answer(server, started_unix_s)
        except CONNECTION_ERRORS as error:
            is_late = isinstance(error, TimeoutError) and delay.longest_s > MAX_LOOP_DELAY_S
            if not is_late:
                self._note_failure(server, started_unix_s, describe_error(error))

    def _note_failure(self, server: BackendServer, started_unix_s: float, detail: str) -> None:
        if self.reachability.note_failure(server, started_unix_s, now_unix_s()):
            self._report_unreachable(server.pool, detail)
