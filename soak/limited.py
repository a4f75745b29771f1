"""Backend servers that announce a request rate limit, and clients that exceed it."""

import asyncio
import itertools
import time
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field

from soak.fleet import LIMITED, REGIONS, ROOT_HOST, SoakFleet
from soak.servers import SoakServer

LIMIT_PER_S = 0.5
REQUESTS_AT_ONCE = 4
# From this long after the first request, no window may hold more than MAX_IN_WINDOW requests.
ENFORCED_AFTER_S = 5.0
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * WINDOW_S * LIMIT_PER_S + 5


@define(kw_only=True, slots=False)
class LimitedServers:
    """Two servers per region, one of which announces a limit, with its request times."""

    fleet: SoakFleet
    random: Random
    arrivals_s: dict[str, list[float]] = field(factory=dict)
    statuses: list[tuple[float, int | None]] = field(factory=list)
    _serial: "itertools.count[int]" = field(factory=itertools.count)
    _runners: list[web.ServerRunner] = field(factory=list)

    async def start(self) -> None:
        """Start and list all servers."""
        for region in REGIONS:
            await self._start_one(region, "free")
            await self._start_one(region, "limited", {"Server-Limit": str(LIMIT_PER_S)})

    async def stop(self) -> None:
        """Stop the servers."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def send_until(self, until_s: float) -> None:
        """Send more requests than the limit allows, at random daemons."""
        timeout = aiohttp.ClientTimeout(total=10)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                await asyncio.gather(*(self._send(session) for _ in range(REQUESTS_AT_ONCE)))
                await asyncio.sleep(self.random.uniform(0.05, 0.3))

    def find_violations(self) -> list[str]:
        """Return a line for each server that received more requests than it announced."""
        found = []
        for name, arrivals_s in self.arrivals_s.items():
            enforced_from_s = arrivals_s[0] + ENFORCED_AFTER_S if arrivals_s else 0.0
            late = [at_s for at_s in arrivals_s if at_s >= enforced_from_s]
            most = max((sum(t <= at < t + WINDOW_S for at in late) for t in late), default=0)
            if most > MAX_IN_WINDOW:
                found.append(f"{name} allows {LIMIT_PER_S}/s but received {most} in {WINDOW_S} s")
        return found

    def served_share(self, since_s: float) -> float:
        """Return the share of the requests sent since a time that succeeded."""
        statuses = [status for sent_s, status in self.statuses if sent_s >= since_s]
        return statuses.count(200) / len(statuses) if statuses else 1.0

    async def _send(self, session: aiohttp.ClientSession) -> None:
        daemon, sent_s = self.random.choice(self.fleet.daemons), time.monotonic()
        id_ = f"l{next(self._serial)}"
        status = await self.fleet.send(session, daemon, LIMITED, id_, id_.encode())
        self.statuses.append((sent_s, status))

    async def _start_one(
        self, region: str, kind: str, headers: dict[str, str] | None = None
    ) -> None:
        name = f"{kind}-{region}"
        server = SoakServer(
            name=name, region=region, runs=self.fleet.runs, random=Random(self.random.random())
        )

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if headers:
                self.arrivals_s.setdefault(name, []).append(time.monotonic())
            response = await server.answer(request)
            response.headers.update(headers or {})
            return response

        runner = web.ServerRunner(web.Server(answer))
        self._runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, ROOT_HOST, 0).start()
        self.fleet.list_address(name, region, f"{ROOT_HOST}:{runner.addresses[0][1]}", LIMITED)
