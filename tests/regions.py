"""Partition regions, and observe which revisions the entry VMs of all regions have in force."""

import asyncio
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from attrs import define, field
from callers import POLL_S, wait_until

from harness.fleet import Fleet

STARTING_ERRORS = (aiohttp.ClientError, OSError)


async def cut_region(fleet: Fleet, region: str) -> None:
    """Block all traffic between the entry VMs of a region and those of the others."""
    for vm, plan in fleet.entries.items():
        pattern = f"peer/{region}/{vm}" if plan.region != region else f"peer/*/{vm}"
        await fleet.fault(pattern, "cut")
    for vm in fleet.in_region(region):
        await fleet.fault(f"peer/{region}/{vm}", "pass")


async def cut_outgoing(fleet: Fleet, region: str) -> None:
    """Block what a region's entry VMs send to the others; they still receive."""
    await _cut_one_way(fleet, region, "cut_to_target", "cut_to_client")


async def cut_incoming(fleet: Fleet, region: str) -> None:
    """Block what the others send to a region's entry VMs; they can still send."""
    await _cut_one_way(fleet, region, "cut_to_client", "cut_to_target")


async def _cut_one_way(fleet: Fleet, region: str, opened_inside: str, opened_outside: str) -> None:
    for vm, plan in fleet.entries.items():
        if plan.region != region:
            await fleet.fault(f"peer/{region}/{vm}", opened_inside)
            continue
        for other in set(fleet.deployment.regions) - {region}:
            await fleet.fault(f"peer/{other}/{vm}", opened_outside)


async def heal(fleet: Fleet) -> None:
    """Remove all faults."""
    await fleet.fault("*", "pass")


async def restart(fleet: Fleet, *vms: str) -> None:
    """Kill and restart the daemons of entry VMs; return once they are ready."""
    for vm in vms:
        fleet.processes.kill(vm)
    for vm in vms:
        fleet.start_entry(vm)
    await fleet.wait_ready(*vms)


async def keyspaces(fleet: Fleet, name: str = "config") -> dict[str, dict[str, Any]]:
    """Return the state of a keyspace on each entry VM, as its status reports it."""
    statuses = await asyncio.gather(*(fleet.status(vm) for vm in fleet.entries))
    return {each["vm"]: each["keyspaces"][name] for each in statuses}


async def wait_in_force(fleet: Fleet, revision: int, vms: Iterable[str] = ()) -> float:
    """Return the seconds until a revision is in force on these entry VMs, or on all."""
    names, started_s = set(vms) or set(fleet.entries), time.monotonic()

    async def is_in_force() -> bool:
        copies = await keyspaces(fleet)
        return all(copies[vm]["revision"] >= revision for vm in names)

    await wait_until(is_in_force)
    return time.monotonic() - started_s


async def wait_converged(fleet: Fleet) -> float:
    """Return the seconds until all entry VMs hold the same revisions and are connected."""
    started_s = time.monotonic()

    async def is_converged() -> bool:
        statuses = await asyncio.gather(*(fleet.status(vm) for vm in fleet.entries))
        held = {str(each["keyspaces"]) for each in statuses}
        return len(held) == 1 and await fleet.is_connected()

    await wait_until(is_converged)
    return time.monotonic() - started_s


@define
class RevisionLog:
    """Record the revisions that each entry VM served, across all its restarts."""

    served: dict[str, list[int]] = field(factory=lambda: defaultdict(list))

    def reverted(self) -> dict[str, list[int]]:
        """Return the VMs that reverted to a lower revision, with the revisions they served."""
        return {vm: seen for vm, seen in self.served.items() if seen != sorted(seen)}

    async def follow(self, fleet: Fleet, vm: str) -> None:
        """Record each change of the revision in force on a VM while the VM is ready."""
        while True:
            revision = await _served_revision(fleet, vm)
            seen = self.served[vm]
            if revision is not None and seen[-1:] != [revision]:
                seen.append(revision)
            await asyncio.sleep(POLL_S)


@asynccontextmanager
async def revision_log(fleet: Fleet) -> AsyncIterator[RevisionLog]:
    """Record the served revisions of all entry VMs during the block."""
    log = RevisionLog()
    tasks = [asyncio.create_task(log.follow(fleet, vm)) for vm in fleet.entries]
    try:
        yield log
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _served_revision(fleet: Fleet, vm: str) -> int | None:
    try:
        status = await fleet.status(vm)
    except STARTING_ERRORS:
        return None
    is_serving = status["not_ready_reason"] is None
    return int(status["keyspaces"]["config"]["revision"]) if is_serving else None
