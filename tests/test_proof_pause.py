"""Prove that a VM that stood still distrusts its own view (real processes)."""

import pytest
from callers import wait_until

FROZEN, WITNESS = "milan-1", "milan-2"


async def suspects(fleet, vm):
    peers = (await fleet.status(vm))["peers"]
    return {name for name, each in peers.items() if each["suspect"]}


async def entries_listed_by(fleet, vm):
    headers = fleet.headers("paying-milan", "status-check")
    answer = await fleet.get(fleet.direct(vm), "/v1/entries?class=status-check", headers=headers)
    return {each["vm"] for each in answer["entries"]}


@pytest.mark.proof
async def test_vm_that_wakes_declares_nobody_dead(rondinella, figure):
    """A caller that asks a VM just woken still learns of the other entry VMs.

    The VM freezes, and what its peers send is held up on the way until after it wakes. They suspect
    it; it has heard nobody for as long. Judged by the clock alone all of them would look dead to
    it, although it was the one that stood still.
    """
    fleet = rondinella
    others = set(fleet.entries) - {FROZEN}

    async def is_suspected():
        return FROZEN in await suspects(fleet, WITNESS)

    async def is_trusted_again():
        return FROZEN not in await suspects(fleet, WITNESS)

    async def knows_all():
        return await entries_listed_by(fleet, FROZEN) >= others

    await wait_until(knows_all)
    fleet.freeze(FROZEN)
    for routes in (f"peer/*/{FROZEN}", "peer/milan/*"):
        await fleet.fault(routes, "cut")
    await wait_until(is_suspected)
    fleet.thaw(FROZEN)
    declared, listed = await suspects(fleet, FROZEN), await entries_listed_by(fleet, FROZEN)
    assert declared == set()
    assert listed >= others
    await fleet.fault("*", "pass")
    await wait_until(is_trusted_again)
    figure("entries listed right after waking", len(listed))
