"""Backend servers that end under a certain request and come back, and the clients that send it."""

import asyncio
import itertools
import time
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field

from soak.fleet import FRAGILE, REGIONS, ROOT_HOST, SoakFleet
from soak.servers import SoakServer

CRASHING_BODY = b"ends the server that runs it"
SERVERS_PER_REGION = 2
BEGINS_AFTER_S = 0.05
# A server that ended is off the list three heartbeats later, and back under another name.
UNLISTED_AFTER_S = 1.0
BACK_AFTER_S = 2.0
# The rule: from so long after the third end on, so many more arrivals.
CRASHES_TO_KNOW = 3
KNOWN_WITHIN_S = 5.0
MOST_ARRIVALS = 3


@define(kw_only=True, slots=False)
class FragileServers:
    """Hold the servers and when the crashing request reached and ended them."""

    fleet: SoakFleet
    random: Random
    arrivals_s: list[float] = field(factory=list)
    ends_s: list[float] = field(factory=list)
    # Of the other requests: when each was sent and what it got.
    others: list[tuple[float, int | None]] = field(factory=list)
    _serial: "itertools.count[int]" = field(factory=itertools.count)
    _tasks: set[asyncio.Task[None]] = field(factory=set)
    _runners: dict[str, web.ServerRunner] = field(factory=dict)

    async def start(self) -> None:
        """Start and list all servers; no proxy stands before them, so that an end shows."""
        for region in REGIONS:
            for _ in range(SERVERS_PER_REGION):
                await self._start_one(region, 0)

    async def stop(self) -> None:
        """Stop the servers and what would bring them back."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(*(runner.cleanup() for runner in self._runners.values()))

    async def send_until(self, until_s: float) -> None:
        """Send the crashing request at any daemon, and others beside it."""
        timeout = aiohttp.ClientTimeout(total=10)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                await self._send(session, CRASHING_BODY)
                sent_s = time.monotonic()
                self.others.append((sent_s, await self._send(session, b"harmless")))
                await asyncio.sleep(self.random.uniform(0.05, 0.4))

    def broken_promises(self) -> list[str]:
        """Return what shows that the crashing request went on to reach servers."""
        if len(self.ends_s) < CRASHES_TO_KNOW:
            return []
        known_s = sorted(self.ends_s)[CRASHES_TO_KNOW - 1] + KNOWN_WITHIN_S
        late = [at_s for at_s in self.arrivals_s if at_s > known_s]
        if len(late) <= MOST_ARRIVALS:
            return []
        return [f"a crashing request reached {len(late)} servers more; {len(self.ends_s)} ended"]

    def served_share(self, since_s: float) -> float:
        """Return the share of the other requests since a time that were answered."""
        statuses = [status for sent_s, status in self.others if sent_s >= since_s]
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
            is_own = request.headers.get("Pomelobarrow-Target-Instance") == name
            if not is_own or await request.read() != CRASHING_BODY:
                return await server.answer(request)
            self.arrivals_s.append(time.monotonic())
            await asyncio.sleep(BEGINS_AFTER_S)
            await self._end(name, region)
            return web.Response(status=500)

        runner = self._runners[name] = web.ServerRunner(web.Server(answer))
        await runner.setup()
        await web.TCPSite(runner, ROOT_HOST, port, reuse_address=True).start()
        self.fleet.list_address(name, region, f"{ROOT_HOST}:{runner.addresses[0][1]}", FRAGILE)

    async def _end(self, name: str, region: str) -> None:
        """Close the listening socket and all connections, as the end of a process does."""
        runner = self._runners.pop(name, None)
        if runner is None:
            return
        self.ends_s.append(time.monotonic())
        port = runner.addresses[0][1]
        for site in list(runner.sites):
            await site.stop()
        assert runner.server is not None
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        self._tasks.add(asyncio.create_task(self._come_back(name, region, port)))

    async def _come_back(self, name: str, region: str, port: int) -> None:
        await asyncio.sleep(UNLISTED_AFTER_S)
        self.fleet.store.put(f"servers/{name}", None)
        await asyncio.sleep(BACK_AFTER_S - UNLISTED_AFTER_S)
        await self._start_one(region, port)
