"""Streams that begin at some VMs during a release and are taken up at one that is out of step.

By hand, from the root: `PYTHONPATH=. python tests/cut_off_vm.py --way incoming --change drained`.
"""

import argparse
import asyncio
import signal
import sys
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Collection
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from random import Random

import aiohttp
from attrs import define, field, frozen
from restarted_fleet import (
    REFUSED_FOR_GOOD,
    REQUEST_ERRORS,
    ChangingServers,
    Stream,
    move_route,
    read_events,
    request_headers,
)

from soak.__main__ import wait_ready
from soak.fleet import STREAMED, VERSIONED, Daemon, SoakFleet
from soak.partitions import Partition

OLD, NEW = "v1", "v2"
SERVERS_PER_REGION = 4
STREAMS = 80
# The old version alone is listed for this long before a VM is cut off.
ALONE_S = 6.0
# From the beginning of a cut until the release begins, and from there until streams begin.
CHANGE_AFTER_S, LISTED_AFTER_S = 0.2, 0.1
# The last streams begin this long before the end of a cut, so that they are taken up during it.
LAST_BEFORE_END_S = 0.4
BREAKS_OFF_AFTER = (2, 4)
# Events that show where a stream went on.
READ_AFTERWARDS = 3

Disruption = Callable[[SoakFleet, Collection[Daemon]], AbstractAsyncContextManager[None]]
Change = Callable[[ChangingServers], Awaitable[None]]


@frozen
class TakeUp:
    """A stream that was taken up, and the status of the answer; None without an answer."""

    stream: Stream
    status: int | None


@define
class Outcomes:
    """What became of the streams of one play."""

    take_ups: list[TakeUp] = field(factory=list)
    not_begun: int = 0

    @property
    def joined(self) -> list[Stream]:
        """Return the streams with events of several versions or services."""
        return [each.stream for each in self.take_ups if each.stream.is_joined]

    @property
    def went_on(self) -> int:
        """Return how many streams brought another event."""
        return sum(each.stream.went_on for each in self.take_ups)

    def __str__(self) -> str:
        refused = sum(each.stream.is_refused for each in self.take_ups)
        statuses = Counter(each.status for each in self.take_ups if not each.stream.went_on)
        return (
            f"{len(self.joined)} joined of {len(self.take_ups)} taken up, {self.went_on} went on, "
            f"{refused} refused for good; others by status {dict(statuses)}; "
            f"{self.not_begun} not begun"
        )


def cut_off(**options: bool) -> Disruption:
    """Return a disruption that cuts VMs off from all others and the store."""

    @asynccontextmanager
    async def disrupt(fleet: SoakFleet, daemons: Collection[Daemon]) -> AsyncIterator[None]:
        partition = Partition(vms=[daemon.vm for daemon in daemons], **options)
        fleet.begin_partition(partition)
        try:
            yield
        finally:
            fleet.end_partition(partition)

    return disrupt


@asynccontextmanager
async def stand_still(fleet: SoakFleet, daemons: Collection[Daemon]) -> AsyncIterator[None]:
    """Suspend the daemons of VMs."""
    for daemon in daemons:
        fleet.processes.signal(daemon.vm, signal.SIGSTOP)
    try:
        yield
    finally:
        for daemon in daemons:
            fleet.processes.signal(daemon.vm, signal.SIGCONT)


async def list_beside(servers: ChangingServers) -> None:
    """List servers of the new version beside those of the old one."""
    await servers.start(VERSIONED, NEW, SERVERS_PER_REGION)


async def list_and_drain(servers: ChangingServers) -> None:
    """List servers of the new version and let those of the old one drain."""
    await servers.start(VERSIONED, NEW, SERVERS_PER_REGION)
    servers.drain(VERSIONED, OLD)


async def move_to_other_service(servers: ChangingServers) -> None:
    """Let the route name another service."""
    move_route(servers.fleet, STREAMED)


async def change_nothing(servers: ChangingServers) -> None:
    """Leave the old version alone."""


@asynccontextmanager
async def released_fleet(daemons_per_region: int = 3) -> AsyncIterator[ChangingServers]:
    """Run VMs that have started for the first time and servers of the old version."""
    fleet = SoakFleet(
        random=Random(1),
        daemons_per_region=daemons_per_region,
        servers_per_region=0,
        is_first_start=True,
        is_cuttable=True,
    )
    async with fleet:
        await wait_ready(fleet)
        servers = ChangingServers(fleet=fleet, random=Random(2))
        await servers.start(VERSIONED, OLD, SERVERS_PER_REGION)
        await servers.start(STREAMED, OLD, SERVERS_PER_REGION)
        await asyncio.sleep(ALONE_S)
        yield servers
        await servers.stop()
        assert fleet.ended_daemons() == []


async def take_up_during(
    servers: ChangingServers,
    disrupt: Disruption,
    change: Change,
    cut_s: float,
    cut_vms: int = 1,
) -> Outcomes:
    """Begin streams at other VMs during a release, and take them up at VMs out of step."""
    fleet, outcomes = servers.fleet, Outcomes()
    cut = fleet.daemons[:cut_vms]
    others = fleet.daemons[cut_vms:]
    async with aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=10.0)) as session:
        async with disrupt(fleet, cut):
            ends = asyncio.create_task(asyncio.sleep(cut_s))
            await asyncio.sleep(CHANGE_AFTER_S)
            await change(servers)
            await asyncio.sleep(LISTED_AFTER_S)
            sending_s = cut_s - CHANGE_AFTER_S - LISTED_AFTER_S - LAST_BEFORE_END_S
            calls = set()
            for number in range(STREAMS):
                calls.add(
                    asyncio.create_task(
                        _receive(session, servers, f"c{number}", others, cut, outcomes)
                    )
                )
                await asyncio.sleep(sending_s / STREAMS)
            await ends
        await asyncio.gather(*calls)
    return outcomes


async def _receive(
    session: aiohttp.ClientSession,
    servers: ChangingServers,
    id_: str,
    others: list[Daemon],
    cut: list[Daemon],
    outcomes: Outcomes,
) -> None:
    """Receive the beginning of a stream at one VM, and take it up at one that is cut off."""
    rng, stream = servers.random, Stream(id=id_, sent_s=0.0)
    first, second = rng.choice(others), rng.choice(cut)
    leaves_after = rng.randint(*BREAKS_OFF_AFTER)
    await _attempt(session, servers.fleet, first, stream, id_, leaves_after)
    if not stream.events:
        outcomes.not_begun += 1
        return
    stream.broke_off_after = len(stream.events)
    leaves_after = stream.broke_off_after + READ_AFTERWARDS
    status = await _attempt(session, servers.fleet, second, stream, f"{id_}-again", leaves_after)
    outcomes.take_ups.append(TakeUp(stream, status))


async def _attempt(
    session: aiohttp.ClientSession,
    fleet: SoakFleet,
    daemon: Daemon,
    stream: Stream,
    id_: str,
    leaves_after: int,
) -> int | None:
    url, status = f"http://{fleet.front(daemon)}/{VERSIONED}/x", None
    try:
        async with session.post(url, headers=request_headers(stream, id_), data=b"x") as response:
            status = response.status
            if status == 200:
                await read_events(response, stream, id_, leaves_after)
                response.close()
            else:
                stream.is_refused = REFUSED_FOR_GOOD in await response.read()
    except REQUEST_ERRORS:
        pass
    return status


WAYS: dict[str, Disruption] = {
    "both": cut_off(),
    "incoming": cut_off(cuts_outgoing=False),
    "outgoing": cut_off(cuts_incoming=False),
    "stopped": stand_still,
}
CHANGES: dict[str, Change] = {
    "beside": list_beside,
    "drained": list_and_drain,
    "route": move_to_other_service,
    "none": change_nothing,
}


async def _play(options: argparse.Namespace) -> Outcomes:
    async with released_fleet(options.daemons) as servers:
        print(f"logs are in {servers.fleet.processes.folder}", flush=True)
        way, change = WAYS[options.way], CHANGES[options.change]
        return await take_up_during(servers, way, change, options.seconds, options.vms)


def main() -> int:
    """Play one combination and print what became of its streams."""
    parser = argparse.ArgumentParser(prog="cut_off_vm")
    parser.add_argument("--way", choices=WAYS, default="both", help="how VMs are out of step")
    parser.add_argument("--change", choices=CHANGES, default="beside", help="what changes then")
    parser.add_argument("--seconds", type=float, default=3.2, help="for how long")
    parser.add_argument("--vms", type=int, default=1, help="how many VMs together")
    parser.add_argument("--daemons", type=int, default=3, help="VMs a region")
    options = parser.parse_args()
    outcomes = asyncio.run(_play(options))
    print(outcomes, flush=True)
    return 1 if outcomes.joined else 0


if __name__ == "__main__":
    sys.exit(main())
