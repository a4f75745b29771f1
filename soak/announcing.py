"""Backend servers that state with their answers that they leave, or ask for pauses."""

import asyncio
import itertools
import time
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field, frozen

from soak.faults import Faults
from soak.fleet import ANNOUNCING, REGIONS, ROOT_HOST, Daemon, SoakFleet
from soak.servers import REQUEST_ID, whole_body

SERVERS_PER_REGION = 3
REQUESTS_AT_ONCE = 4
# Published bounds: on requests sent after a departure was passed on, and in a pause.
DEPARTURE_BOUND_S = 3.0
PAUSE_FROM_S = 0.5
MAX_IN_PAUSE = 2
# A fault on a daemon excuses it for this long.
RECOVERY_S = 3.0
DAEMON_FAULTS = ("daemon", "planned stop")


@frozen(kw_only=True)
class Arrival:
    """A request at a server, with what the answer stated."""

    server: str
    daemon: str
    sent_s: float
    at_s: float
    is_leaving: bool
    pause_s: float


@define(kw_only=True)
class _Server:
    name: str
    region: str
    address: str = ""
    is_leaving: bool = False
    rejects_until_s: float = 0.0


@define(kw_only=True, slots=False)
class AnnouncingServers:
    """Three servers per region; one at a time leaves, restarts or rejects everything."""

    fleet: SoakFleet
    random: Random
    arrivals: list[Arrival] = field(factory=list)
    statuses: list[tuple[float, int | None]] = field(factory=list)
    # The daemon that a client sent a request to, and when.
    _sent: dict[str, tuple[Daemon, float]] = field(factory=dict)
    _servers: list[_Server] = field(factory=list)
    _serial: "itertools.count[int]" = field(factory=itertools.count)
    _runners: list[web.ServerRunner] = field(factory=list)

    async def start(self) -> None:
        """Start and list all servers."""
        for region in REGIONS:
            for number in range(SERVERS_PER_REGION):
                await self._start_one(_Server(name=f"announcing-{region}-{number}", region=region))

    async def stop(self) -> None:
        """Stop the servers."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))

    async def announce_until(self, until_s: float) -> None:
        """Let servers of both regions leave or reject, one at a time in each region."""
        await asyncio.gather(*(self._announce_in(region, until_s) for region in REGIONS))

    async def send_until(self, until_s: float) -> None:
        """Send requests at random daemons."""
        timeout = aiohttp.ClientTimeout(total=10)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                await asyncio.gather(*(self._send(session) for _ in range(REQUESTS_AT_ONCE)))
                await asyncio.sleep(self.random.uniform(0.02, 0.1))

    def find_violations(self, faults: Faults) -> list[str]:
        """Return a line for each request after a departure, and for each pause not kept to."""
        found = []
        by_pair: dict[tuple[str, str], list[Arrival]] = {}
        for arrival in self.arrivals:
            by_pair.setdefault((arrival.server, arrival.daemon), []).append(arrival)
        for (server, daemon), arrivals in by_pair.items():
            found += self._after_departure(server, daemon, arrivals, faults)
            found += self._in_pauses(server, daemon, arrivals, faults)
        return found

    def served_share(self, since_s: float) -> float:
        """Return the share of the requests sent since a time that succeeded."""
        statuses = [status for sent_s, status in self.statuses if sent_s >= since_s]
        return statuses.count(200) / len(statuses) if statuses else 1.0

    def _after_departure(
        self, server: str, daemon: str, arrivals: list[Arrival], faults: Faults
    ) -> list[str]:
        left_s = min((each.at_s for each in arrivals if each.is_leaving), default=None)
        if left_s is None:
            return []
        late = [each for each in arrivals if each.sent_s > left_s + DEPARTURE_BOUND_S]
        return [
            f"{server} got a request from {daemon} {each.at_s - left_s:.1f} s after its departure"
            for each in late
            if not _is_excused(faults, daemon, left_s, each.at_s)
        ]

    def _in_pauses(
        self, server: str, daemon: str, arrivals: list[Arrival], faults: Faults
    ) -> list[str]:
        found = []
        for rejected in (each for each in arrivals if each.pause_s):
            from_s, until_s = rejected.at_s + PAUSE_FROM_S, rejected.at_s + rejected.pause_s
            count = sum(from_s < each.at_s < until_s for each in arrivals)
            if count > MAX_IN_PAUSE and not _is_excused(faults, daemon, rejected.at_s, until_s):
                found.append(f"{server} got {count} requests from {daemon} in its pause")
        return found

    async def _announce_in(self, region: str, until_s: float) -> None:
        servers = [each for each in self._servers if each.region == region]
        while time.monotonic() < until_s:
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
            server = self.random.choice(servers)
            if self.random.random() < 0.5:
                await self._leave_and_restart(server)
            else:
                duration_s = self.random.uniform(1.0, 4.0)
                server.rejects_until_s = time.monotonic() + duration_s
                await asyncio.sleep(duration_s)

    async def _leave_and_restart(self, server: _Server) -> None:
        """State the departure in answers only, then vanish from the list and start again."""
        server.is_leaving = True
        await asyncio.sleep(self.random.uniform(4.0, 6.0))
        self.fleet.store.put(f"servers/{server.name}", None)
        await asyncio.sleep(self.random.uniform(0.2, 1.0))
        self.fleet.starts[server.name] += 1
        server.is_leaving = False
        self._list(server)

    async def _send(self, session: aiohttp.ClientSession) -> None:
        daemon, sent_s = self.random.choice(self.fleet.daemons), time.monotonic()
        id_ = f"a{next(self._serial)}"
        self._sent[id_] = (daemon, sent_s)
        status = await self.fleet.send(session, daemon, ANNOUNCING, id_, b"x")
        self.statuses.append((sent_s, status))

    def _answer(self, server: _Server, request: web.BaseRequest) -> web.Response:
        request_id, now_s = request.headers.get(REQUEST_ID, ""), time.monotonic()
        headers = {REQUEST_ID: request_id, "Pomelobarrow-Response-Seal": server.name}
        headers |= {"Server-Leaving": "1"} if server.is_leaving else {}
        pause_s = 0.0
        if now_s < server.rejects_until_s:
            pause_s = round(self.random.uniform(0.6, 2.5), 2)
            headers |= {"Retry-After": str(pause_s), "Pomelobarrow-Not-Executed": "1"}
        daemon, sent_s = self._sent[request_id]
        # A request from another region was sent on by a VM that the server doesn't know.
        if daemon.region == server.region:
            self.arrivals.append(
                Arrival(
                    server=f"{server.name}@{self.fleet.starts[server.name]}",
                    daemon=daemon.vm,
                    sent_s=sent_s,
                    at_s=now_s,
                    is_leaving=server.is_leaving,
                    pause_s=pause_s,
                )
            )
        if pause_s:
            return web.Response(status=503, headers=headers)
        return web.Response(body=whole_body(request_id), headers=headers)

    async def _start_one(self, server: _Server) -> None:
        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.headers.get("Pomelobarrow-Target-Instance") != server.name:
                return web.Response(status=421)
            await request.read()
            return self._answer(server, request)

        runner = web.ServerRunner(web.Server(answer))
        self._runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, ROOT_HOST, 0).start()
        server.address = f"{ROOT_HOST}:{runner.addresses[0][1]}"
        self._servers.append(server)
        self._list(server)

    def _list(self, server: _Server) -> None:
        self.fleet.list_address(server.name, server.region, server.address, ANNOUNCING)


def _is_excused(faults: Faults, daemon: str, from_s: float, until_s: float) -> bool:
    """Return whether a fault of the daemon itself overlaps a time."""
    return any(
        span.kind in DAEMON_FAULTS
        and span.target == daemon
        and span.from_s < until_s
        and span.until_s + RECOVERY_S > from_s
        for span in faults.spans
    )
