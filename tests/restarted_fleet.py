"""Servers whose software changes while daemons are down, and clients of their streams."""

import asyncio
import itertools
import time
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field

from pomelobarrow.decision.streams.server_sent_events import EventSplitter, event_data, event_id
from soak.crashing import CrashingServers
from soak.fleet import HOST, REGIONS, STREAMED, TIMEOUT_MS, VERSIONED, Daemon, SoakFleet
from soak.servers import REQUEST_ID

EVENTS, PACE_S = 24, 0.06
PAUSE_S = (0.02, 0.05)
# Between two attempts to take up a stream.
RETRY_PAUSE_S = (0.01, 0.05)
GIVE_UP_AFTER_S = 10.0
SERVERS_PER_REGION = 2
REFUSED_FOR_GOOD = b'"kind":"not_resumable"'
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


def move_route(fleet: SoakFleet, service: str) -> None:
    """Publish a configuration whose route names a service."""
    _, config = fleet.store.items["op/config"]
    routes = [
        route | {"Service": service} if route["Name"] == VERSIONED else route
        for route in config["Routes"]
    ]
    fleet.version += 1
    fleet.store.put("op/config", config | {"Version": fleet.version, "Routes": routes})


@define(kw_only=True)
class Stream:
    """A stream as its client has received it, over all its attempts."""

    id: str
    sent_s: float
    # The number of each event and the service and version of its server.
    events: list[tuple[int, str]] = field(factory=list)
    # The attempt that brought the first event.
    first_attempt: str = ""
    # How many events the client had when the stream broke off; 0 if it didn't.
    broke_off_after: int = 0
    is_refused: bool = False
    looks_complete: bool = False

    @property
    def went_on(self) -> bool:
        """Return whether a stream that broke off brought another event."""
        return len(self.events) > self.broke_off_after

    @property
    def is_joined(self) -> bool:
        """Return whether events came from servers of several services or versions."""
        return len({software for _, software in self.events}) > 1

    @property
    def has_ended(self) -> bool:
        """Return whether no other attempt can bring an event."""
        is_whole = bool(self.events) and self.events[-1][0] == EVENTS
        return is_whole or self.looks_complete or self.is_refused


@define(kw_only=True, slots=False)
class ChangingServers:
    """Servers of a route whose software changes, and clients that take their streams up."""

    fleet: SoakFleet
    random: Random
    streams: list[Stream] = field(factory=list)
    # Where clients take their streams up; anywhere without.
    take_up_at: Daemon | None = None
    _servers: dict[str, CrashingServers] = field(init=False)
    # The names of the servers of each service and version.
    _names: dict[tuple[str, str], list[str]] = field(factory=dict)
    _serial: "itertools.count[int]" = field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        pools = (VERSIONED, STREAMED)
        self._servers = {pool: CrashingServers(fleet=self.fleet, pool=pool) for pool in pools}

    async def start(self, pool: str, version: str, per_region: int = SERVERS_PER_REGION) -> None:
        """Start and list servers in each region."""
        names = self._names[pool, version] = []
        for region in REGIONS * per_region:
            name = f"{pool}-{version}-{region}-{next(self._serial)}"
            await self._start_one(name, region, pool, version)
            names.append(name)

    def drain(self, pool: str, version: str) -> None:
        """List servers as draining."""
        servers = self._servers[pool]
        for name in self._names[pool, version]:
            region = name.split("-")[2]
            self.fleet.list_address(
                name, region, servers.address(name), pool, "draining", version=version
            )

    def unlist(self, pool: str, version: str) -> None:
        """Delete the entries of servers, whose running streams go on."""
        for name in self._names[pool, version]:
            self.fleet.store.put(f"servers/{name}", None)

    async def crash(self, pool: str, version: str) -> None:
        """End servers and delete their entries."""
        self.unlist(pool, version)
        for name in self._names.pop((pool, version)):
            await self._servers[pool].crash(name)

    async def stop(self) -> None:
        """Stop all servers."""
        await asyncio.gather(*(each.stop() for each in self._servers.values()))

    async def send_while(self, disrupting: "asyncio.Task[None]") -> None:
        """Send streams at random daemons until a task has ended, and receive them all."""
        receiving: set[asyncio.Task[None]] = set()
        timeout = aiohttp.ClientTimeout(total=10.0, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while not disrupting.done():
                receiving.add(asyncio.create_task(self._receive(session)))
                await asyncio.sleep(self.random.uniform(*PAUSE_S))
            await asyncio.gather(disrupting, *receiving)

    def joined(self) -> list[Stream]:
        """Return the streams that hold events of several services or versions."""
        return [stream for stream in self.streams if stream.is_joined]

    def find_violations(self) -> list[str]:
        """Return a line for each stream that isn't a part of one run's events."""
        expected = [list(range(1, len(stream.events) + 1)) for stream in self.streams]
        return [
            f"stream {stream.id}, complete {stream.looks_complete}: {stream.events}"
            for stream, numbers in zip(self.streams, expected, strict=True)
            if stream.is_joined
            or [number for number, _ in stream.events] != numbers
            or (stream.looks_complete and numbers[-1:] != [EVENTS])
        ]

    def begun(self, from_s: float, until_s: float) -> list[bool]:
        """Return for each stream that was sent in a time whether it brought an event."""
        sent = (stream for stream in self.streams if from_s <= stream.sent_s < until_s)
        return [bool(stream.events) for stream in sent]

    def resumed(self, from_s: float, until_s: float) -> list[bool]:
        """Return for each stream that was sent in a time and broke off whether it went on."""
        sent = (stream for stream in self.streams if from_s <= stream.sent_s < until_s)
        return [stream.went_on for stream in sent if stream.broke_off_after]

    async def _receive(self, session: aiohttp.ClientSession) -> None:
        """Send a stream's request, and take the stream up at any daemon where it breaks off."""
        started_s = time.monotonic()
        stream = Stream(id=f"s{next(self._serial)}", sent_s=started_s)
        self.streams.append(stream)
        await self._attempt(session, stream, stream.id)
        stream.broke_off_after = 0 if stream.has_ended else len(stream.events)
        give_up_s = time.monotonic() + GIVE_UP_AFTER_S
        for number in itertools.count():
            if not stream.events or stream.has_ended or time.monotonic() > give_up_s:
                return
            await asyncio.sleep(self.random.uniform(*RETRY_PAUSE_S))
            await self._attempt(session, stream, f"{stream.id}-{number}")

    async def _attempt(self, session: aiohttp.ClientSession, stream: Stream, id_: str) -> None:
        daemon = self.random.choice(self.fleet.daemons)
        if stream.events:
            daemon = self.take_up_at or daemon
        url = f"http://{self.fleet.front(daemon)}/{VERSIONED}/x"
        try:
            async with session.post(
                url, headers=request_headers(stream, id_), data=b"x"
            ) as response:
                if response.status == 200:
                    await read_events(response, stream, id_)
                else:
                    stream.is_refused = REFUSED_FOR_GOOD in await response.read()
        except REQUEST_ERRORS:
            pass

    async def _start_one(self, name: str, region: str, pool: str, version: str) -> None:
        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.headers.get("Pomelobarrow-Target-Instance") != name:
                return web.Response(status=421)
            await request.read()
            return await self._stream(request, name, f"{pool} {version}")

        await self._servers[pool].start(name, region, answer, version=version)

    async def _stream(
        self, request: web.BaseRequest, name: str, software: str
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                REQUEST_ID: request.headers.get(REQUEST_ID, ""),
                "Pomelobarrow-Response-Seal": name,
                "Content-Type": "text/event-stream",
            }
        )
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        try:
            await response.prepare(request)
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(self.random.uniform(0.5, 1.5) * PACE_S)
                await response.write(f"id: {number}\ndata: {software}\n\n".encode())
        except ConnectionError:
            # The daemon was killed, or has cancelled the request.
            return web.Response(status=500)
        return response


async def read_events(
    response: aiohttp.ClientResponse, stream: Stream, id_: str, leaves_after: int = EVENTS
) -> None:
    """Record the events of an answer until it ends or there are as many as the client wants."""
    splitter = EventSplitter()
    async for data in response.content.iter_any():
        for event in splitter.feed(data):
            software = event_data(event)
            # Those without data are comments.
            if software is not None:
                stream.first_attempt = stream.first_attempt or id_
                stream.events.append((int(event_id(event) or b""), software.decode()))
        if leaves_after <= len(stream.events) < EVENTS:
            return
    stream.looks_complete = True


def request_headers(stream: Stream, id_: str) -> dict[str, str]:
    """Return the headers with which a client begins a stream or takes it up."""
    headers = {
        "Host": HOST,
        REQUEST_ID: id_,
        "Pomelobarrow-Request-Deadline": str(TIMEOUT_MS),
    }
    if stream.events:
        headers |= {"Last-Event-Id": str(stream.events[-1][0]), "Resumes": stream.first_attempt}
    return headers
