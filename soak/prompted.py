"""Backend servers that crash when they begin to answer prompts with a certain part."""

import asyncio
import itertools
import time
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field

from soak.crashing import CrashingServers
from soak.fleet import PROMPTED, REGIONS, SoakFleet
from soak.servers import REQUEST_ID, events_after

SERVERS_PER_REGION = 3
PROMPT_PARTS = "Pomelobarrow-Prompt-Prefix"
# All prompts have the first part; sound ones have one of the others, and some are rare.
FIRST_PART, CRASHING_PART = "5c1e07a2", "bad0bad0"
SOUND_PARTS = [f"{number:08x}" for number in range(1, 13)]
CRASHING_SHARE = 0.07
# Until a server begins to answer, and between its events.
READ_S, EVENT_S = (0.02, 0.1), 0.02
# Servers also crash by themselves.
CRASH_EVERY_S = 4.0
# Published bounds: on requests that arrive a while after the fifth crash under the part.
CRASHES_ALLOWED = 5
BLOCKED_WITHIN_S = 5.0
MAX_ARRIVALS = 3


@define(kw_only=True, slots=False)
class PromptedServers:
    """Three servers per region, with the crashes under the part and the outcomes of the others."""

    fleet: SoakFleet
    random: Random
    # Between two requests.
    pause_s: tuple[float, float] = (0.02, 0.06)
    # How long only sound prompts are sent at first.
    crashing_after_s: float = 0.0
    # Arrivals of requests with the part, and the crashes under them.
    arrivals_s: list[float] = field(factory=list)
    crashes_s: list[float] = field(factory=list)
    # When each sound request was sent, and its status.
    sound_outcomes: list[tuple[float, int | None]] = field(factory=list)
    _servers: CrashingServers = field(init=False)
    _regions: dict[str, str] = field(factory=dict)
    _crashing_from_s: float = 0.0
    _serial: "itertools.count[int]" = field(factory=itertools.count)
    _tasks: set["asyncio.Task[None]"] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._servers = CrashingServers(fleet=self.fleet, pool=PROMPTED)

    async def start(self) -> None:
        """Start and list all servers."""
        for region in REGIONS:
            for _ in range(SERVERS_PER_REGION):
                await self._start_one(region)

    async def stop(self) -> None:
        """Stop the servers and cancel pending restarts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._servers.stop()

    async def send_until(self, until_s: float, has_crashing_part: bool = True) -> None:
        """Send sound prompts, and some with the crashing part, no two alike, at random daemons."""
        calls: set[asyncio.Task[None]] = set()
        self._crashing_from_s = self._crashing_from_s or time.monotonic() + self.crashing_after_s
        crashing = asyncio.create_task(self._crash_until(until_s))
        timeout = aiohttp.ClientTimeout(total=10, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                is_begun = has_crashing_part and time.monotonic() >= self._crashing_from_s
                is_crashing = self.random.random() < CRASHING_SHARE and is_begun
                calls.add(asyncio.create_task(self._send(session, is_crashing)))
                await asyncio.sleep(self.random.uniform(*self.pause_s))
            await asyncio.gather(*calls)
        await crashing

    def late_arrivals(self) -> int:
        """Return how many requests with the part arrived after they had to be blocked."""
        if len(self.crashes_s) < CRASHES_ALLOWED:
            return 0
        blocked_s = sorted(self.crashes_s)[CRASHES_ALLOWED - 1] + BLOCKED_WITHIN_S
        return sum(at_s > blocked_s for at_s in self.arrivals_s)

    def find_violations(self) -> list[str]:
        """Return a line if requests with the part reached servers after they had to be blocked."""
        late = self.late_arrivals()
        if late <= MAX_ARRIVALS:
            return []
        crashes = len(self.crashes_s)
        return [f"late requests with a part that crashes servers: {late} ({crashes} crashes)"]

    def served_share(self, since_s: float) -> float:
        """Return the share of the sound requests sent since a time that succeeded."""
        statuses = [status for sent_s, status in self.sound_outcomes if sent_s >= since_s]
        return statuses.count(200) / len(statuses) if statuses else 1.0

    async def _send(self, session: aiohttp.ClientSession, is_crashing: bool) -> None:
        daemon, sent_s, id_ = self.random.choice(self.fleet.daemons), time.monotonic(), self._id()
        middle = CRASHING_PART if is_crashing else self.random.choice(SOUND_PARTS)
        headers = {
            PROMPT_PARTS: f"{FIRST_PART}:80,{middle}:40,{id_}:8",
            "Pomelobarrow-Token-Count": "128,16",
        }
        status = await self.fleet.send(session, daemon, PROMPTED, id_, id_.encode(), headers)
        if not is_crashing:
            self.sound_outcomes.append((sent_s, status))

    def _id(self) -> str:
        return f"p{next(self._serial)}"

    async def _crash_until(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(CRASH_EVERY_S)
            if self._regions:
                await self._crash(self.random.choice(sorted(self._regions)))

    async def _start_one(self, region: str, port: int = 0) -> None:
        name = f"prompted-{region}-{next(self._serial)}"

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.headers.get("Pomelobarrow-Target-Instance") != name:
                return web.Response(status=421)
            await request.read()
            return await self._answer(request, name)

        await self._servers.start(name, region, answer, port)
        self._regions[name] = region

    async def _answer(self, request: web.BaseRequest, name: str) -> web.StreamResponse:
        is_crashing = CRASHING_PART in request.headers[PROMPT_PARTS]
        if is_crashing:
            self.arrivals_s.append(time.monotonic())
        await asyncio.sleep(self.random.uniform(*READ_S))
        if is_crashing:
            if await self._crash(name):
                self.crashes_s.append(time.monotonic())
            return web.Response(status=500)
        id_ = request.headers[REQUEST_ID]
        response = web.StreamResponse(headers={REQUEST_ID: id_, "Pomelobarrow-Response-Seal": name})
        try:
            await response.prepare(request)
            for event in events_after(id_, int(request.headers.get("Last-Event-Id", "0"))):
                await response.write(event)
                await asyncio.sleep(EVENT_S)
        except ConnectionError:
            # The daemon cancelled the request, as it should when its client disconnects.
            return web.Response(status=500)
        return response

    async def _crash(self, name: str) -> bool:
        """End a server, which starts again later; return whether it was running."""
        region = self._regions.pop(name, None)
        port = await self._servers.crash(name)
        if region is None or port is None:
            return False
        self._tasks.add(asyncio.create_task(self._restart(name, region, port)))
        return True

    async def _restart(self, name: str, region: str, port: int) -> None:
        await self._servers.wait_until_unlisted(name)
        await self._start_one(region, port)
