"""Faults that the scenarios inject."""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import evolve

from bench.scenarios import Bench, FaultStarter
from bench.traffic import Arrival
from harness.fleet import Fleet

# Faults begin after about a third of the time, once the load has reached its level.
FAULT_AFTER_SHARE = 0.3
FAULT_LASTS_SHARE = 0.4
Fault = Callable[[Bench, float], Awaitable[None]]


def planned(fault: Fault, bench: Bench, duration_s: float) -> FaultStarter:
    """Return the fault, to start once the load has reached its level."""

    async def run() -> None:
        await asyncio.sleep(duration_s * FAULT_AFTER_SHARE)
        await fault(bench, duration_s * FAULT_LASTS_SHARE)

    return run


async def kill_engine(bench: Bench, lasts_s: float) -> None:
    """Kill an engine of the largest region and start it again, cold."""
    name = bench.engines()[0]
    bench.fleet.processes.kill(name)
    await asyncio.sleep(lasts_s)
    await asyncio.to_thread(bench.fleet.start_server, name)


async def kill_daemon(bench: Bench, lasts_s: float) -> None:
    """Kill an entry VM's daemon and start it again."""
    vm = next(iter(bench.fleet.entries))
    bench.fleet.processes.kill(vm)
    await asyncio.sleep(lasts_s)
    bench.fleet.start_entry(vm)


async def stale_platform(bench: Bench, lasts_s: float) -> None:
    """Let the platform keep returning its earlier state for a time."""
    await bench.fleet.platform_mode("stale")
    await asyncio.sleep(lasts_s)
    await bench.fleet.platform_mode("up")


SINGLE_FAULTS: dict[str, Fault] = {
    "engine killed": kill_engine,
    "daemon killed": kill_daemon,
    "platform stale": stale_platform,
}


def region_lost(fleet: Fleet, lost: str, lost_at_s: float, healed_at_s: float) -> FaultStarter:
    """Return a fault that cuts a region off from callers, peers and platform, and reconnects it."""

    async def run() -> None:
        await asyncio.sleep(lost_at_s)
        for other in fleet.deployment.regions:
            if other != lost:
                await fleet.fault(f"peer/{other}/{lost}-*", "cut")
                await fleet.fault(f"peer/{lost}/{other}-*", "cut")
        await fleet.fault(f"platform/{lost}", "cut")
        await fleet.fault(f"caller/{lost}-*", "refuse")
        await asyncio.sleep(healed_at_s - lost_at_s)
        await fleet.fault("*", "pass")

    return run


def delayed(arrival: Arrival, by_s: float) -> Arrival:
    """Return the request shifted to a later time."""
    return evolve(arrival, at_s=arrival.at_s + by_s)
