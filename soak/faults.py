"""Choose faults from a seed and inject them; several may overlap."""

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from attrs import define, field, frozen

from soak.fleet import Daemon, SoakFleet, link_route
from soak.partitions import DURATION_S, draw_partition

CONNECTION_FAULTS = ("silent", "close", "cut", "cut_to_client", "cut_to_target", "refuse")
# Connections are accepted and stay silent, or are reset.
LINK_CUTS = ("cut", "refuse")
STORE_FAULTS = ("silent", "refuse", "cut")
STOP_TIMEOUT_S = 8.0
# A daemon that is ready has received what its peers know after this time.
JOIN_S = 2.0
# How often something changes while all daemons are down.
CHANGE_SHARE = 0.7
DRAINING = "draining"
PARTITION = "partition"


@frozen
class Span:
    """Time span of one fault, by the monotonic clock, and its target."""

    kind: str
    target: str
    from_s: float
    until_s: float


@define(kw_only=True, slots=False)
class Faults:
    """Injector of random faults that records their spans."""

    fleet: SoakFleet
    random: Random
    spans: list[Span] = field(factory=list)
    # Servers listed as draining, and since when.
    draining_since_s: dict[str, float] = field(factory=dict)
    # How the links of a VM to all servers are cut now.
    cut_links: dict[str, str] = field(factory=dict)
    # VMs whose daemon is paused, killed or stopping.
    down: set[str] = field(factory=set)

    async def run(self, duration_s: float) -> None:
        """Inject faults for a duration; return once all have ended."""
        await self._inject(
            duration_s,
            self._fault_server,
            self._fault_store,
            self._pause,
            self._kill,
            self._terminate,
            self._reload,
            self._drain_server,
            self._publish,
        )

    async def disrupt_daemons(self, duration_s: float) -> None:
        """Pause, kill, stop and reload daemons for a duration; return once all are up again."""
        await self._inject(duration_s, self._pause, self._kill, self._terminate, self._reload)

    async def _inject(self, duration_s: float, *kinds: Callable[[], Awaitable[None]]) -> None:
        until_s = time.monotonic() + duration_s
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < until_s:
            running.add(asyncio.create_task(self._run_fault(self.random.choice(kinds))))
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*running)

    async def _run_fault(self, kind: Callable[[], Awaitable[None]]) -> None:
        await kind()

    def _record(self, kind: str, target: str, from_s: float) -> None:
        self.spans.append(Span(kind, target, from_s, time.monotonic()))

    def _choose_running(self) -> Daemon | None:
        """Choose a running daemon, or None if that would leave no other running."""
        up = [each for each in self.fleet.daemons if each.vm not in self.down]
        return self.random.choice(up) if len(up) > 1 else None

    async def _fault_server(self) -> None:
        started_s = time.monotonic()
        name = self.random.choice(sorted(self.fleet.servers))
        routes = link_route("*", name)
        await self.fleet.fault(routes, self.random.choice(CONNECTION_FAULTS))
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        await self.fleet.fault(routes, "pass")
        await self.cut_again()
        self._record("server", name, started_s)

    async def _fault_store(self) -> None:
        started_s = time.monotonic()
        await self.fleet.fault("store", self.random.choice(STORE_FAULTS))
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        await self.fleet.fault("store", "pass")
        self._record("store", "store", started_s)

    async def _pause(self) -> None:
        daemon, started_s = self._choose_running(), time.monotonic()
        if daemon is None:
            return
        self.down.add(daemon.vm)
        self.fleet.processes.signal(daemon.vm, signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 3.0))
        self.fleet.processes.signal(daemon.vm, signal.SIGCONT)
        self.down.discard(daemon.vm)
        self._record("daemon", daemon.vm, started_s)

    async def _kill(self) -> None:
        daemon, started_s = self._choose_running(), time.monotonic()
        if daemon is None:
            return
        self.down.add(daemon.vm)
        self.fleet.processes.kill(daemon.vm)
        await asyncio.sleep(self.random.uniform(0.1, 1.0))
        self.fleet.start_daemon(daemon)
        await self._wait_until_up(daemon)
        self._record("daemon", daemon.vm, started_s)

    async def _wait_until_up(self, daemon: Daemon) -> None:
        """Wait until a started daemon has joined the others, so that one of them always runs."""
        await self.fleet.wait_ready(daemon)
        await asyncio.sleep(JOIN_S)
        self.down.discard(daemon.vm)

    async def _terminate(self) -> None:
        daemon, started_s = self._choose_running(), time.monotonic()
        if daemon is None:
            return
        self.down.add(daemon.vm)
        self.fleet.processes.signal(daemon.vm, signal.SIGTERM)
        await asyncio.to_thread(self.fleet.processes.wait, daemon.vm, STOP_TIMEOUT_S)
        self._record("planned stop", daemon.vm, started_s)
        self.fleet.start_daemon(daemon)
        await self._wait_until_up(daemon)

    async def _reload(self) -> None:
        daemon = self._choose_running()
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
        self._record(DRAINING, name, started_s)
        self.fleet.starts[name] += 1
        self.fleet.list_server(name)

    async def return_store(self, duration_s: float, random: Random) -> None:
        """Let the store come back from older copies; what it lost is written again soon.

        Has random choices of its own, so that those of the other faults depend on the seed alone.
        """
        store, until_s = self.fleet.store, time.monotonic() + duration_s
        while time.monotonic() < until_s:
            await asyncio.sleep(random.uniform(0.2, 3.0))
            copy = store.copy()
            await asyncio.sleep(random.uniform(0.2, 3.0))
            started_s = time.monotonic()
            await self.fleet.fault("store", "refuse")
            await asyncio.sleep(random.uniform(0.1, 1.5))
            lost, era = store.come_back(copy), store.era
            # From when the store is reachable, or a busy machine would stretch the time.
            await asyncio.gather(
                self.fleet.fault("store", "pass"),
                self._write_again(lost, era, random.uniform(0.0, 1.2)),
            )
            self._record("store", "store", started_s)

    async def _write_again(self, lost: dict[str, Any], era: int, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.fleet.store.write_again(lost, era)

    async def cut_links_at_times(self, duration_s: float, random: Random) -> None:
        """Cut all links between some VM and its servers, again and again.

        Has random choices of its own, so that those of the other faults depend on the seed alone.
        """
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            await asyncio.sleep(random.uniform(0.2, 2.0))
            daemon, started_s = random.choice(self.fleet.daemons), time.monotonic()
            await self.cut(daemon, random.choice(LINK_CUTS))
            await asyncio.sleep(random.uniform(0.5, 5.0))
            await self.restore(daemon)
            self._record("links", daemon.vm, started_s)

    async def cut(self, daemon: Daemon, mode: str) -> None:
        """Cut all links between a VM and its servers."""
        self.cut_links[daemon.vm] = mode
        await self.fleet.fault(link_route(daemon.vm, "*"), mode)

    async def restore(self, daemon: Daemon) -> None:
        """End the cut of a VM's links."""
        del self.cut_links[daemon.vm]
        await self.fleet.fault(link_route(daemon.vm, "*"), "pass")

    async def cut_again(self) -> None:
        """Renew the cuts that the end of another fault may have ended."""
        for vm, mode in tuple(self.cut_links.items()):
            await self.fleet.fault(link_route(vm, "*"), mode)

    async def partition_at_times(
        self, duration_s: float, random: Random, release: Callable[[], Awaitable[None]]
    ) -> None:
        """Cut VMs off from the others and mostly from the store; several cuts may overlap.

        Servers of other software often start just after that. Has random choices of its own, so
        that those of the other faults depend on the seed alone.
        """
        until_s = time.monotonic() + duration_s
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < until_s:
            await asyncio.sleep(random.uniform(0.2, 2.0))
            cut = {vm for each in self.fleet.partitions for vm in each.vms}
            free = [daemon.vm for daemon in self.fleet.daemons if daemon.vm not in cut]
            # A VM that isn't cut off begins the streams.
            if len(free) > 1:
                vms = random.sample(free, 1 if len(free) == 2 else random.choice((1, 1, 2)))
                running.add(asyncio.create_task(self._partition(vms, Random(random.random()))))
                await asyncio.sleep(random.uniform(0.0, 0.5))
                if random.random() < CHANGE_SHARE:
                    await release()
        await asyncio.gather(*running)

    async def _partition(self, vms: list[str], random: Random) -> None:
        started_s, partition = time.monotonic(), draw_partition(vms, random)
        self.fleet.begin_partition(partition)
        await asyncio.sleep(random.uniform(*DURATION_S))
        self.fleet.end_partition(partition)
        for vm in vms:
            self._record(PARTITION, vm, started_s)

    async def restart_all_at_times(
        self, duration_s: float, random: Random, change: Callable[[], Awaitable[None]]
    ) -> None:
        """Kill all daemons at once, again and again; mostly something changes before they start.

        Has random choices of its own, so that those of the other faults depend on the seed alone.
        """
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            await asyncio.sleep(random.uniform(0.5, 2.0))
            started_s = time.monotonic()
            self.fleet.kill_all_daemons()
            if random.random() < CHANGE_SHARE:
                await change()
            await asyncio.sleep(random.uniform(0.0, 1.0))
            await self.fleet.start_all_daemons()
            for daemon in self.fleet.daemons:
                self._record("daemon", daemon.vm, started_s)

    async def _publish(self) -> None:
        self.fleet.publish_configuration()
