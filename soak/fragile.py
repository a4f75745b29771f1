"""Backend servers that crash on a certain request and restart, and the clients that send it."""

import asyncio
import itertools
import time
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field

from soak.crashing import CrashingServers
from soak.fleet import FRAGILE, REGIONS, SoakFleet
from soak.servers import SoakServer

CRASHING_BODY = b"ends the server that runs it"
SERVERS_PER_REGION = 2
CRASH_DELAY_S = 0.05
# Once a request has crashed three servers, daemons must block it within this time; no more than
# MAX_ARRIVALS may arrive later.
CRASHES_TO_BLOCK = 3
BLOCKED_WITHIN_S = 5.0
MAX_ARRIVALS = 3


@define(kw_only=True, slots=False)
class FragileServers:
    """Crashing servers, with the times of arrivals and crashes."""

    fleet: SoakFleet
    random: Random
    arrivals_s: list[float] = field(factory=list)
    crashes_s: list[float] = field(factory=list)
    # Time sent and status of each request that causes no crash.
    harmless_outcomes: list[tuple[float, int | None]] = field(factory=list)
    _serial: "itertools.count[int]" = field(factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(factory=set)
    _servers: CrashingServers = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._servers = CrashingServers(fleet=self.fleet, pool=FRAGILE)

    async def start(self) -> None:
        """Start and list all servers."""
        for region in REGIONS:
            for _ in range(SERVERS_PER_REGION):
                await self._start_one(region, 0)

    async def stop(self) -> None:
        """Stop the servers and cancel pending restarts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._servers.stop()

    async def send_until(self, until_s: float) -> None:
        """Alternate the crashing request with harmless ones, at random daemons."""
        timeout = aiohttp.ClientTimeout(total=10)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                await self._send(session, CRASHING_BODY)
                sent_s = time.monotonic()
                self.harmless_outcomes.append((sent_s, await self._send(session, b"harmless")))
                await asyncio.sleep(self.random.uniform(0.05, 0.4))

    def find_violations(self) -> list[str]:
        """Return a line if the crashing request reached servers after it had to be blocked."""
        if len(self.crashes_s) < CRASHES_TO_BLOCK:
            return []
        blocked_s = sorted(self.crashes_s)[CRASHES_TO_BLOCK - 1] + BLOCKED_WITHIN_S
        late = [at_s for at_s in self.arrivals_s if at_s > blocked_s]
        if len(late) <= MAX_ARRIVALS:
            return []
        return [f"late crashing requests: {len(late)} ({len(self.crashes_s)} crashes)"]

    def served_share(self, since_s: float) -> float:
        """Return the share of the harmless requests sent since a time that succeeded."""
        statuses = [status for sent_s, status in self.harmless_outcomes if sent_s >= since_s]
        return statuses.count(200) / len(statuses) if statuses else 1.0

    async def _send(self, session: aiohttp.ClientSession, body: bytes) -> int | None:
        daemon = self.random.choice(self.fleet.daemons)
        return await self.fleet.send(session, daemon, FRAGILE, f"f{next(self._serial)}", body)

    async def _start_one(self, region: str, port: int) -> None:
        name = f"fragile-{region}-{next(self._serial)}"
        server = SoakServer(
            name=name, region=region, runs=self.fleet.runs, random=Random(self.random.random())
        )

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            is_addressed_here = request.headers.get("Pomelobarrow-Target-Instance") == name
            if not is_addressed_here or await request.read() != CRASHING_BODY:
                return await server.answer(request)
            self.arrivals_s.append(time.monotonic())
            await asyncio.sleep(CRASH_DELAY_S)
            await self._crash(name, region)
            return web.Response(status=500)

        await self._servers.start(name, region, answer, port)

    async def _crash(self, name: str, region: str) -> None:
        at_s = time.monotonic()
        port = await self._servers.crash(name)
        if port is not None:
            self.crashes_s.append(at_s)
            self._tasks.add(asyncio.create_task(self._restart(name, region, port)))

    async def _restart(self, name: str, region: str, port: int) -> None:
        await self._servers.wait_until_unlisted(name)
        await self._start_one(region, port)
