"""Backend servers that fall over when they reject too much, or fall silent for a moment."""

import asyncio
import itertools
import time
from collections import deque
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field

from soak.faults import PARTITION, Faults
from soak.fleet import BRITTLE, REGIONS, ROOT_HOST, SoakFleet
from soak.servers import REQUEST_ID, whole_body

SERVERS_PER_REGION = 2
SLOTS = 3
WORK_S = 0.3
# More than the servers of both regions can run.
CALLS_PER_S = 1.3 * len(REGIONS) * SERVERS_PER_REGION * SLOTS / WORK_S
MAX_REJECTED_PER_S = 5
# How many requests may wait at a server, at first and later.
WAITING_AT_FIRST, WAITING_LATER = 3, 0
STABLE_S = 5.0
DOWN_S = 1.5
SILENT_S = 1.0
MAX_FALLS = 2 + len(REGIONS) * SERVERS_PER_REGION // 10
# The servers can't run more than a share of the calls; the rest is refused.
MIN_SERVED_SHARE = 0.5
DAEMON_FAULTS = ("daemon", "planned stop", PARTITION)
RECOVERY_S = 5.0


@define(kw_only=True)
class _Server:
    name: str
    region: str
    port: int = 0
    running: int = 0
    # When a request was rejected, and the daemon that had sent it.
    rejections: "deque[tuple[float, str]]" = field(factory=deque)
    is_awake: asyncio.Event = field(factory=asyncio.Event)
    runner: web.ServerRunner | None = None


@define(kw_only=True, slots=False)
class BrittleServers:
    """Two servers per region, with their falls and the outcomes of the calls."""

    fleet: SoakFleet
    random: Random
    # When a server fell over, and the daemons whose requests it had rejected.
    falls: list[tuple[float, list[str]]] = field(factory=list)
    statuses: list[tuple[float, int | None]] = field(factory=list)
    _daemon_of: dict[str, str] = field(factory=dict)
    _servers: list[_Server] = field(factory=list)
    _started_s: float = 0.0
    _serial: "itertools.count[int]" = field(factory=itertools.count)
    _restarts: set["asyncio.Task[None]"] = field(factory=set)

    async def start(self) -> None:
        """Start and list all servers."""
        self._started_s = time.monotonic()
        for region in REGIONS:
            for number in range(SERVERS_PER_REGION):
                server = _Server(name=f"brittle-{region}-{number}", region=region)
                server.is_awake.set()
                self._servers.append(server)
                await self._listen(server)

    async def stop(self) -> None:
        """Stop the servers."""
        for restart in tuple(self._restarts):
            restart.cancel()
        runners = [server.runner for server in self._servers if server.runner]
        await asyncio.gather(*(runner.cleanup() for runner in runners))

    async def send_until(self, until_s: float) -> None:
        """Send more calls than the servers can run; let servers fall silent at times."""
        calls: set[asyncio.Task[None]] = set()
        timeout = aiohttp.ClientTimeout(total=10)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                calls.add(asyncio.create_task(self._send(session)))
                if self.random.random() < 0.01:
                    calls.add(asyncio.create_task(self._fall_silent()))
                await asyncio.sleep(self.random.expovariate(CALLS_PER_S))
            await asyncio.gather(*calls)

    def find_violations(self, faults: Faults) -> list[str]:
        """Return a line if the servers fell over too often."""
        counted = [at_s for at_s, daemons in self.falls if self._counts(at_s, daemons, faults)]
        if len(counted) <= MAX_FALLS:
            return []
        return [f"brittle servers fell over {len(counted)} times, allowed are {MAX_FALLS}"]

    def find_unserved(self, since_s: float) -> list[str]:
        """Return a line if too few of the calls sent since a time succeeded."""
        statuses = [status for sent_s, status in self.statuses if sent_s >= since_s]
        # On a busy machine the calls may end before the faults do.
        share = statuses.count(200) / len(statuses) if statuses else 1.0
        if share >= MIN_SERVED_SHARE:
            return []
        return [f"brittle servers ran only {share:.0%} of their calls"]

    def _counts(self, fell_s: float, daemons: list[str], faults: Faults) -> bool:
        """Return whether most rejections before a fall were of daemons without a fault."""
        if fell_s < self._started_s + STABLE_S:
            return False
        faulty = {
            span.target
            for span in faults.spans
            if span.kind in DAEMON_FAULTS
            and span.from_s < fell_s
            and span.until_s > fell_s - RECOVERY_S
        }
        return sum(vm not in faulty for vm in daemons) > len(daemons) / 2

    async def _send(self, session: aiohttp.ClientSession) -> None:
        daemon, sent_s = self.random.choice(self.fleet.daemons), time.monotonic()
        id_ = f"b{next(self._serial)}"
        self._daemon_of[id_] = daemon.vm
        status = await self.fleet.send(session, daemon, BRITTLE, id_, id_.encode())
        self.statuses.append((sent_s, status))

    async def _fall_silent(self) -> None:
        server = self.random.choice(self._servers)
        server.is_awake.clear()
        await asyncio.sleep(SILENT_S)
        server.is_awake.set()

    async def _listen(self, server: _Server) -> None:
        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            return await self._answer(server, request)

        server.running = 0
        server.rejections.clear()
        server.runner = web.ServerRunner(web.Server(answer))
        await server.runner.setup()
        await web.TCPSite(server.runner, ROOT_HOST, server.port).start()
        server.port = server.runner.addresses[0][1]
        self.fleet.starts[server.name] += 1
        address = f"{ROOT_HOST}:{server.port}"
        self.fleet.list_address(server.name, server.region, address, BRITTLE, slots=SLOTS)

    async def _answer(self, server: _Server, request: web.BaseRequest) -> web.StreamResponse:
        await server.is_awake.wait()
        headers = {"Server-Brittle": str(MAX_REJECTED_PER_S)}
        if request.headers.get("Pomelobarrow-Target-Instance") != server.name:
            return web.Response(status=421, headers=headers)
        id_ = request.headers.get(REQUEST_ID, "")
        is_stable = time.monotonic() > self._started_s + STABLE_S
        waiting = WAITING_LATER if is_stable else WAITING_AT_FIRST
        if server.running >= SLOTS + waiting:
            self._reject(server, self._daemon_of.get(id_, ""))
            return web.Response(status=503, headers=headers | {"Pomelobarrow-Not-Executed": "1"})
        server.running += 1
        try:
            ahead = max(0, server.running - SLOTS)
            await asyncio.sleep(WORK_S * (1 + ahead / SLOTS))
        finally:
            server.running -= 1
        headers |= {REQUEST_ID: id_, "Pomelobarrow-Response-Seal": server.name}
        return web.Response(body=whole_body(id_), headers=headers)

    def _reject(self, server: _Server, daemon: str) -> None:
        now_s = time.monotonic()
        server.rejections.append((now_s, daemon))
        while server.rejections[0][0] < now_s - 1.0:
            server.rejections.popleft()
        runner = server.runner
        if runner is not None and len(server.rejections) > MAX_REJECTED_PER_S:
            self.falls.append((now_s, [vm for _, vm in server.rejections]))
            server.rejections.clear()
            restart = asyncio.create_task(self._restart(server, runner))
            server.runner = None
            self._restarts.add(restart)
            restart.add_done_callback(self._restarts.discard)

    async def _restart(self, server: _Server, runner: web.ServerRunner) -> None:
        await runner.cleanup()
        await asyncio.sleep(DOWN_S)
        await self._listen(server)
