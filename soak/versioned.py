"""Backend servers of several software versions, and clients that take up streams again."""

import asyncio
import itertools
import time
from random import Random

import aiohttp
from aiohttp import web
from attrs import define, field

from pomelobarrow.decision.streams.server_sent_events import EventSplitter, event_data, event_id
from soak.crashing import CrashingServers
from soak.fleet import HOST, REGIONS, TIMEOUT_MS, VERSIONED, Daemon, SoakFleet
from soak.servers import REQUEST_ID

VERSIONS = ("v1", "v2")
SERVERS_PER_VERSION = 2
EVENTS = 8
PACE_S = 0.06
# How often clients leave a stream that goes on, and how often they take one up.
LEAVE_SHARE = 0.3
MAX_RESUMES = 3
# How often streams are taken up at VMs that are cut off, while there are any.
AT_CUT_OFF_SHARE = 0.5
# How often servers crash, or leave to come back with the next version.
CRASH_EVERY_S = 1.2
UPGRADE_SHARE = 0.3
DRAIN_S = 2.0
# Some answers have neither a length nor chunks and end with their connection.
UNFRAMED_SHARE = 0.2
# Published bounds: on streams of two versions, and on resumed streams that don't go on.
MAX_MIXED = 2
MIN_RESUMED = 12
MIN_RESUMED_SHARE = 0.5
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@define(kw_only=True)
class Stream:
    """A stream as its client has received it, over all its attempts."""

    id: str
    # The number and the version of each event.
    events: list[tuple[int, str]] = field(factory=list)
    # The attempt that brought the first event.
    first_attempt: str = ""
    # When each attempt to take it up was sent, the version, and whether it brought an event.
    resumes: list[tuple[float, str, bool]] = field(factory=list)

    @property
    def is_complete(self) -> bool:
        """Return whether the last event has arrived."""
        return bool(self.events) and self.events[-1][0] == EVENTS


@define(kw_only=True, slots=False)
class VersionedServers:
    """Servers of two versions per region that crash or are upgraded, and their streams."""

    fleet: SoakFleet
    random: Random
    pool: str = VERSIONED
    # The versions at first; without an upgrade share the others come with a release.
    versions: tuple[str, ...] = VERSIONS
    upgrade_share: float = UPGRADE_SHARE
    max_mixed: int = MAX_MIXED
    # Chooses VMs that are cut off for streams that are taken up.
    take_up_random: Random = field(factory=lambda: Random(0))
    # Between two new streams.
    pause_s: tuple[float, float] = (0.01, 0.05)
    # When each stream was first sent, and its record.
    streams: list[tuple[float, Stream]] = field(factory=list)
    _servers: CrashingServers = field(init=False)
    # The region and the version of the servers that run.
    _running: dict[str, tuple[str, str]] = field(factory=dict)
    _serial: "itertools.count[int]" = field(factory=itertools.count)
    _tasks: set["asyncio.Task[None]"] = field(factory=set)
    _upgrades: int = 0

    def __attrs_post_init__(self) -> None:
        self._servers = CrashingServers(fleet=self.fleet, pool=self.pool)

    async def start(self) -> None:
        """Start and list all servers."""
        for region in REGIONS:
            for version in self.versions * SERVERS_PER_VERSION:
                await self._start_one(region, version)

    async def release(self) -> None:
        """Start servers of the next version beside those of the present one."""
        present = self.versions
        self.versions, self.upgrade_share = VERSIONS, UPGRADE_SHARE
        for region in REGIONS:
            for version in set(VERSIONS).difference(present):
                for _ in range(SERVERS_PER_VERSION):
                    await self._start_one(region, version)

    async def stop(self) -> None:
        """Stop the servers and cancel pending restarts."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._servers.stop()

    async def send_until(self, until_s: float) -> None:
        """Send streams at random daemons while servers crash and are upgraded."""
        calls: set[asyncio.Task[None]] = set()
        crashing = asyncio.create_task(self._crash_until(until_s))
        timeout = aiohttp.ClientTimeout(total=10, sock_connect=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while time.monotonic() < until_s:
                calls.add(asyncio.create_task(self._receive(session)))
                await asyncio.sleep(self.random.uniform(*self.pause_s))
            await asyncio.gather(*calls)
        await crashing

    def mixed_streams(self) -> list[Stream]:
        """Return the streams that hold events of several versions."""
        streams = (stream for _, stream in self.streams)
        return [each for each in streams if len({version for _, version in each.events}) > 1]

    def find_violations(self) -> list[str]:
        """Return a line for each guarantee about the content of streams that was violated."""
        found = [
            f"stream {stream.id} has events {[number for number, _ in stream.events]}"
            for _, stream in self.streams
            if [n for n, _ in stream.events] != list(range(1, len(stream.events) + 1))
        ]
        mixed = self.mixed_streams()
        if len(mixed) > self.max_mixed:
            found.append(
                f"{self.pool}: {len(mixed)} of {len(self.streams)} streams hold events of two "
                f"versions, such as {mixed[0].id}: {mixed[0].events}"
            )
        return found

    def shares(self, since_s: float) -> tuple[int, float, float]:
        """Return how many streams were taken up, and the shares that went on and that began."""
        began = [bool(s.events) for sent_s, s in self.streams if sent_s >= since_s]
        resumes = [each for _, s in self.streams for each in s.resumes if each[0] >= since_s]
        went_on = [is_continued for _, _, is_continued in resumes]
        return len(went_on), _share(went_on), _share(began)

    def find_lost(self, since_s: float) -> list[str]:
        """Return a line if too few of the streams taken up since a time went on."""
        resumes, went_on, began = self.shares(since_s)
        if resumes < MIN_RESUMED or went_on >= MIN_RESUMED_SHARE * began:
            return []
        return [
            f"{went_on:.0%} of {resumes} resumed streams went on, {began:.0%} of new ones began"
        ]

    async def replace_version(self) -> None:
        """Let all servers of one version come back at once with the other one."""
        versions = sorted({version for _, version in self._running.values()})
        if not versions:
            return
        old = self.random.choice(versions)
        new = next(version for version in VERSIONS if version != old)
        leaving = [(name, region) for name, (region, v) in self._running.items() if v == old]
        for name, _ in leaving:
            del self._running[name]
        for name, region in leaving:
            port = await self._servers.crash(name)
            self.fleet.store.put(f"servers/{name}", None)
            await self._start_one(region, new, port or 0)

    async def _receive(self, session: aiohttp.ClientSession) -> None:
        """Send a stream's request, and take the stream up again where it ends early."""
        stream = Stream(id=f"v{next(self._serial)}")
        self.streams.append((time.monotonic(), stream))
        await self._attempt(session, stream, stream.id)
        for number in range(MAX_RESUMES):
            if stream.is_complete or not stream.events:
                return
            await self.fleet.has_daemons.wait()
            sent_s, received, version = time.monotonic(), len(stream.events), stream.events[0][1]
            had_servers = self._serving(version) >= 2
            await self._attempt(session, stream, f"{stream.id}-{number}")
            if had_servers and self._serving(version) >= 2:
                stream.resumes.append((sent_s, version, len(stream.events) > received))

    async def _attempt(self, session: aiohttp.ClientSession, stream: Stream, id_: str) -> None:
        daemon = self._choose_daemon(is_resumed=bool(stream.events))
        leaves_after = EVENTS
        if self.random.random() < LEAVE_SHARE:
            leaves_after = len(stream.events) + self.random.randint(1, 3)
        try:
            async with session.post(
                self._url(daemon), headers=_headers(stream, id_), data=b"x"
            ) as response:
                if response.status != 200:
                    return
                await _read_events(response, stream, leaves_after)
        except REQUEST_ERRORS:
            pass
        finally:
            if stream.events and not stream.first_attempt:
                stream.first_attempt = id_

    def _choose_daemon(self, is_resumed: bool) -> Daemon:
        daemon, rng = self.random.choice(self.fleet.daemons), self.take_up_random
        cut = {vm for each in self.fleet.partitions for vm in each.vms}
        cut_off = [each for each in self.fleet.daemons if each.vm in cut]
        is_moved = is_resumed and cut_off and rng.random() < AT_CUT_OFF_SHARE
        return rng.choice(cut_off) if is_moved else daemon

    def _url(self, daemon: Daemon) -> str:
        return f"http://{self.fleet.front(daemon)}/{self.pool}/x"

    def _serving(self, version: str) -> int:
        return sum(each == version for _, each in self._running.values())

    async def _crash_until(self, until_s: float) -> None:
        while time.monotonic() < until_s:
            await asyncio.sleep(CRASH_EVERY_S)
            if not self._running:
                continue
            name = self.random.choice(sorted(self._running))
            is_upgrade = self.random.random() < self.upgrade_share
            replace = self._upgrade if is_upgrade else self._crash
            self._tasks.add(asyncio.create_task(replace(name)))

    async def _crash(self, name: str) -> None:
        region, version = self._running.pop(name)
        port = await self._servers.crash(name)
        await self._servers.wait_until_unlisted(name)
        await self._start_one(region, version, port or 0)

    async def _upgrade(self, name: str) -> None:
        """Let a server leave and come back; the versions of such servers take turns."""
        region, version = self._running.pop(name)
        address = self._servers.address(name)
        self.fleet.list_address(name, region, address, self.pool, "draining", version=version)
        await asyncio.sleep(DRAIN_S)
        port = await self._servers.crash(name)
        await self._servers.wait_until_unlisted(name)
        self._upgrades += 1
        next_version = VERSIONS[self._upgrades % len(VERSIONS)]
        await self._start_one(region, next_version, port or 0)

    async def _start_one(self, region: str, version: str, port: int = 0) -> None:
        name = f"{self.pool}-{region}-{next(self._serial)}"

        async def answer(request: web.BaseRequest) -> web.StreamResponse:
            if request.headers.get("Pomelobarrow-Target-Instance") != name:
                return web.Response(status=421)
            if REQUEST_ID not in request.headers:
                return web.Response(status=400)
            await request.read()
            return await self._stream(request, name, version)

        await self._servers.start(name, region, answer, port, version)
        self._running[name] = (region, version)

    async def _stream(
        self, request: web.BaseRequest, name: str, version: str
    ) -> web.StreamResponse:
        headers = {
            REQUEST_ID: request.headers.get(REQUEST_ID, ""),
            "Pomelobarrow-Response-Seal": name,
            "Content-Type": "text/event-stream",
        }
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        events = [f"id: {n}\ndata: {version}\n\n".encode() for n in range(first, EVENTS + 1)]
        if self.random.random() < UNFRAMED_SHARE:
            return await _write_unframed(request, headers, events)
        response = web.StreamResponse(headers=headers)
        try:
            await response.prepare(request)
            for event in events:
                await asyncio.sleep(self.random.uniform(0.5, 1.5) * PACE_S)
                await response.write(event)
        except ConnectionError:
            # The daemon cancelled the request, as it should when its client disconnects.
            return web.Response(status=500)
        return response


async def _write_unframed(
    request: web.BaseRequest, headers: dict[str, str], events: list[bytes]
) -> web.StreamResponse:
    """Write an answer without length and chunks that ends with its connection."""
    transport = request.transport
    if transport is None:
        # The daemon cancelled the request before the answer began.
        return web.Response(status=500)
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    transport.write(f"HTTP/1.1 200 OK\r\n{fields}Connection: close\r\n\r\n".encode())
    for event in events:
        await asyncio.sleep(PACE_S)
        if transport.is_closing():
            break
        transport.write(event)
    transport.close()
    return web.Response()


async def _read_events(response: aiohttp.ClientResponse, stream: Stream, leaves_after: int) -> None:
    """Record events until the stream ends or has as many as the client wants."""
    splitter = EventSplitter()
    async for data in response.content.iter_any():
        # Those without data are comments.
        events = [event for event in splitter.feed(data) if event_data(event) is not None]
        stream.events += [_parse(event) for event in events]
        if len(stream.events) >= leaves_after:
            return


def _parse(event: bytes) -> tuple[int, str]:
    return int(event_id(event) or b""), (event_data(event) or b"").decode()


def _headers(stream: Stream, id_: str) -> dict[str, str]:
    headers = {
        "Host": HOST,
        REQUEST_ID: id_,
        "Pomelobarrow-Request-Deadline": str(TIMEOUT_MS),
    }
    if stream.events:
        headers |= {"Last-Event-Id": str(stream.events[-1][0]), "Resumes": stream.first_attempt}
    return headers


def _share(outcomes: list[bool]) -> float:
    return sum(outcomes) / len(outcomes) if outcomes else 1.0
