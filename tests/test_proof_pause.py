"""Prove that a VM does not rely on its outdated view after a pause (real processes)."""

import pytest
from callers import wait_until

FROZEN, OBSERVER = "milan-1", "milan-2"


async def suspects(fleet, vm):
    peers = (await fleet.status(vm))["peers"]
    return {name for name, each in peers.items() if each["suspect"]}


async def entries_listed_by(fleet, vm):
    headers = fleet.headers("paying-milan", "status-check")
    answer = await fleet.get(fleet.direct(vm), "/v1/entries?class=status-check", headers=headers)
    return {each["vm"] for each in answer["entries"]}


@pytest.mark.proof
async def test_vm_that_wakes_declares_nobody_dead(rondinella, figure):
    """A VM that has just resumed still lists the other entry VMs for its callers.

    The VM is frozen, and its peers' messages are delayed until after it resumes. The peers suspect
    it, and it has received nothing from them for as long. By the clock alone it would suspect all
    of them, although it was the one that paused.
    """
    fleet = rondinella
    others = set(fleet.entries) - {FROZEN}

    async def is_suspected():
        return FROZEN in await suspects(fleet, OBSERVER)

    async def is_trusted_again():
        return FROZEN not in await suspects(fleet, OBSERVER)

    async def lists_all():
        return await entries_listed_by(fleet, FROZEN) >= others

    await wait_until(lists_all)
    fleet.freeze(FROZEN)
    for routes in (f"peer/*/{FROZEN}", "peer/milan/*"):
        await fleet.fault(routes, "cut")
    await wait_until(is_suspected)
    fleet.thaw(FROZEN)
    suspected, listed = await suspects(fleet, FROZEN), await entries_listed_by(fleet, FROZEN)
    assert suspected == set()
    assert listed >= others
    await fleet.fault("*", "pass")
    await wait_until(is_trusted_again)
    figure("entries listed right after waking", len(listed))
