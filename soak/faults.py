"""Draw faults from a seed and bring them about, one after the other and overlapping."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from random import Random

from attrs import define, field, frozen

from soak.fleet import Daemon, SoakFleet

CONNECTION_FAULTS = ("silent", "close", "cut", "cut_to_client", "cut_to_target", "refuse")
STORE_FAULTS = ("silent", "refuse", "cut")
STOP_WITHIN_S = 8.0
DRAINING = "draining"


@frozen
class Span:
    """Hold when something was wrong, by the steady clock, and where."""

    what: str
    where: str
    from_s: float
    until_s: float


@define(kw_only=True, slots=False)
class Faults:
    """Hold what was brought about so far."""

    fleet: SoakFleet
    random: Random
    spans: list[Span] = field(factory=list)
    # Servers that were told to drain, and when.
    draining_since_s: dict[str, float] = field(factory=dict)
    down: set[str] = field(factory=set)

    async def run(self, for_s: float) -> None:
        """Bring about faults for a time; return once all are over."""
        until_s = time.monotonic() + for_s
        running: set[asyncio.Task[None]] = set()
        kinds: tuple[Callable[[], Awaitable[None]], ...] = (
            self._cut_server,
            self._cut_store,
            self._pause,
            self._kill,
            self._terminate,
            self._reload,
            self._drain_server,
            self._configure,
        )
        while time.monotonic() < until_s:
            running.add(asyncio.create_task(self._one(self.random.choice(kinds))))
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*running)

    async def _one(self, kind: Callable[[], Awaitable[None]]) -> None:
        await kind()

    def _note(self, what: str, where: str, from_s: float) -> None:
        self.spans.append(Span(what, where, from_s, time.monotonic()))

    def _up(self) -> Daemon | None:
        """Return a daemon that runs, where at least one other does."""
        up = [each for each in self.fleet.daemons if each.vm not in self.down]
        return self.random.choice(up) if len(up) > 1 else None

    async def _cut_server(self) -> None:
        started_s = time.monotonic()
        name = self.random.choice(sorted(self.fleet.servers))
        await self.fleet.fault(name, self.random.choice(CONNECTION_FAULTS))
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await self.fleet.fault(name, "pass")
        self._note("server", name, started_s)

    async def _cut_store(self) -> None:
        started_s = time.monotonic()
        await self.fleet.fault("store", self.random.choice(STORE_FAULTS))
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        await self.fleet.fault("store", "pass")
        self._note("store", "store", started_s)

    async def _pause(self) -> None:
        daemon, started_s = self._up(), time.monotonic()
        if daemon is None:
            return
        self.down.add(daemon.vm)
        self.fleet.processes.signal(daemon.vm, signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 3.0))
        self.fleet.processes.signal(daemon.vm, signal.SIGCONT)
        self.down.discard(daemon.vm)
        self._note("daemon", daemon.vm, started_s)

    async def _kill(self) -> None:
        daemon, started_s = self._up(), time.monotonic()
        if daemon is None:
            return
        self.down.add(daemon.vm)
        self.fleet.processes.kill(daemon.vm)
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        self.fleet.start_daemon(daemon)
        await asyncio.sleep(2.0)
        self.down.discard(daemon.vm)
        self._note("daemon", daemon.vm, started_s)

    async def _terminate(self) -> None:
        daemon, started_s = self._up(), time.monotonic()
        if daemon is None:
            return
        self.down.add(daemon.vm)
        self.fleet.processes.signal(daemon.vm, signal.SIGTERM)
        await asyncio.to_thread(self.fleet.processes.wait, daemon.vm, STOP_WITHIN_S)
        self._note("planned stop", daemon.vm, started_s)
        self.fleet.start_daemon(daemon)
        await asyncio.sleep(2.0)
        self.down.discard(daemon.vm)

    async def _reload(self) -> None:
        daemon = self._up()
        if daemon is not None:
            self.fleet.processes.signal(daemon.vm, signal.SIGHUP)

    async def _drain_server(self) -> None:
        name = self.random.choice(sorted(self.fleet.servers))
        if name in self.draining_since_s:
            return
        started_s = self.draining_since_s[name] = time.monotonic()
        self.fleet.list_server(name, "draining")
        await asyncio.sleep(5.0)
        del self.draining_since_s[name]
        self._note(DRAINING, name, started_s)
        self.fleet.list_server(name)

    async def _configure(self) -> None:
        self.fleet.publish_configuration()
