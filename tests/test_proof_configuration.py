"""Prove that an accepted configuration is soon in force in every region and never reverts."""

import asyncio
import time
from typing import Any

import pytest
from attrs import evolve
from callers import wait_until
from proof_report import Figure
from regions import (
    cut_region,
    heal,
    keyspaces,
    restart,
    revision_log,
    wait_converged,
    wait_in_force,
)

from harness.deployments import RONDINELLA
from harness.fleet import Fleet

pytestmark = pytest.mark.proof

CHANGES = 20
IDLE_READS = 24
INVALID_CLASS = {"pool": "no-such-pool"}


def draft(finish_target_s: float) -> dict[str, Any]:
    return {"classes/draft": {**RONDINELLA.classes["draft"], "finish_target_s": finish_target_s}}


async def publish_class(fleet: Fleet, **more: Any) -> int:
    value = {**RONDINELLA.classes["draft"], **more}
    return await fleet.publish("config", {"classes/draft": value})


async def publish_draft(fleet: Fleet, finish_target_s: float) -> int:
    return await fleet.publish("config", draft(finish_target_s))


async def reads(fleet: Fleet) -> int:
    return int((await fleet.get(fleet.platform, "/admin/counters"))["reads"])


async def test_change_is_soon_in_force_everywhere(rondinella: Fleet, figure: Figure) -> None:
    # Operators publish changes one after the other, each once the previous one is in force on every
    # VM. Calls to the platform are counted during the changes and while idle.
    before, started_s = await reads(rondinella), time.monotonic()
    spreads_s = []
    for number in range(CHANGES):
        revision = await publish_draft(rondinella, 100.0 + number)
        spreads_s.append(await wait_in_force(rondinella, revision))
    elapsed_s = time.monotonic() - started_s
    figure("median spread s", sorted(spreads_s)[CHANGES // 2])
    figure("longest spread s", max(spreads_s))
    figure("platform reads a change", (await reads(rondinella) - before) / CHANGES)
    figure("changes a second", CHANGES / elapsed_s)
    before, started_s = await reads(rondinella), time.monotonic()
    await wait_until(lambda: _has_read(rondinella, before + IDLE_READS), timeout_s=60.0)
    figure("idle platform reads a second", IDLE_READS / (time.monotonic() - started_s))


async def _has_read(fleet: Fleet, count: int) -> bool:
    return await reads(fleet) >= count


@pytest.mark.parametrize("mode", ["down", "stale", "revert"])
async def test_platform_fault_never_reverts_it(
    rondinella: Fleet, figure: Figure, mode: str
) -> None:
    # The platform is down, serves an old revision or loses the newer ones. VMs replaced meanwhile
    # start without a configuration and must get it from their peers before they serve. Otherwise
    # they would apply outdated limits and classes.
    accepted = 0
    for number in range(4):
        accepted = await publish_draft(rondinella, 100.0 + number)
    await wait_in_force(rondinella, accepted)
    async with revision_log(rondinella) as log:
        await rondinella.platform_mode(mode, revision=1)
        started_s = time.monotonic()
        for region in rondinella.deployment.regions:
            await restart(rondinella, rondinella.in_region(region)[0])
        figure("replacement ready s", (time.monotonic() - started_s) / 3)
        await restart(rondinella, rondinella.in_region("milan")[1])
        assert {copy["revision"] for copy in (await keyspaces(rondinella)).values()} == {accepted}
        await rondinella.platform_mode("up")
        later = 0
        while later <= accepted:
            later = await publish_draft(rondinella, 200.0 + later)
        figure("spread after the fault s", await wait_in_force(rondinella, later))
        await wait_converged(rondinella)
    assert log.reverted() == {}


async def test_silent_platform_connections_delay_it_by_seconds(
    rondinella: Fleet, figure: Figure
) -> None:
    # The connections of all watches are lost on the way between the VMs and the platform: they
    # deliver neither data nor an end, while new connections work.
    await rondinella.fault("platform/*", "silent")
    revision = await publish_draft(rondinella, 101.0)
    figure("spread s", await wait_in_force(rondinella, revision))


async def test_region_without_platform_gets_it_from_peers(figure: Figure) -> None:
    # One region can't reach the platform, the others can. With three VMs per region, not every VM
    # watches the platform and not every watcher relays to other regions, so changes take several
    # hops.
    async with Fleet(evolve(RONDINELLA, vms_per_region=3)) as fleet:
        await fleet.fault("platform/milan", "cut")
        spreads_s = []
        for number in range(CHANGES // 2):
            revision = await publish_draft(fleet, 100.0 + number)
            spreads_s.append(await wait_in_force(fleet, revision))
        figure("median spread s", sorted(spreads_s)[CHANGES // 4])
        figure("longest spread s", max(spreads_s))


async def test_cut_region_keeps_it_and_catches_up(rondinella: Fleet, figure: Figure) -> None:
    # Milan can reach neither the platform nor peers of other regions, and one of its VMs is
    # replaced. The new daemon gets the configuration from the other VM in Milan. Changes published
    # meanwhile come into force in the other regions, and in Milan after the partition ends.
    first = await publish_draft(rondinella, 100.0)
    await wait_in_force(rondinella, first)
    milan = rondinella.in_region("milan")
    async with revision_log(rondinella) as log:
        await cut_region(rondinella, "milan")
        await rondinella.fault("platform/milan", "cut")
        second = await publish_draft(rondinella, 101.0)
        await wait_in_force(rondinella, second, set(rondinella.entries) - set(milan))
        await restart(rondinella, milan[0])
        copies = await keyspaces(rondinella)
        assert {copies[vm]["revision"] for vm in milan} == {first}
        await heal(rondinella)
        figure("spread after healing s", await wait_in_force(rondinella, second))
        await wait_converged(rondinella)
    assert log.reverted() == {}


async def test_invalid_revision_is_refused_and_the_last_good_one_stays(
    rondinella: Fleet, figure: Figure
) -> None:
    # An operator publishes a class whose pool doesn't exist. Every VM must refuse the revision with
    # a reason and keep the last valid one. So must a VM that is replaced meanwhile, although the
    # platform no longer serves the valid value. A corrected revision must come into force.
    good = await publish_draft(rondinella, 100.0)
    await wait_in_force(rondinella, good)
    async with revision_log(rondinella) as log:
        invalid = await rondinella.publish("config", {"classes/draft": INVALID_CLASS})
        await wait_until(lambda: _all_refuse(rondinella, invalid))
        started_s = time.monotonic()
        await restart(rondinella, *rondinella.in_region("turin"))
        figure("replacement ready s", time.monotonic() - started_s)
        await wait_until(lambda: _all_refuse(rondinella, invalid))
        copies = await keyspaces(rondinella)
        assert {copy["revision"] for copy in copies.values()} == {good}
        assert all("no-such-pool" in str(copy["refused"]) for copy in copies.values())
        assert await _home_bound(rondinella) == {True}
        valid = await publish_class(rondinella, home_bound=False)
        figure("corrected spread s", await wait_in_force(rondinella, valid))
        assert await _home_bound(rondinella) == {False}
    assert log.reverted() == {}


async def _all_refuse(fleet: Fleet, revision: int) -> bool:
    copies = (await keyspaces(fleet)).values()
    return all(copy["observed_revision"] == revision and copy["refused"] for copy in copies)


async def _home_bound(fleet: Fleet) -> set[bool]:
    path = "/v1/explain?class=draft&account=paying-milan"
    answers = await asyncio.gather(*(fleet.get(fleet.direct(vm), path) for vm in fleet.entries))
    return {answer["home_bound"] for answer in answers}


async def test_racing_operators_end_the_same_everywhere(rondinella: Fleet, figure: Figure) -> None:
    # Two operators change the same class, and each a class of its own, at the same time. The
    # platform orders the revisions; every VM must end with the last value of each key, however
    # the changes were routed and batched.
    async def operate(name: str) -> list[int]:
        own = {f"classes/of-{name}": RONDINELLA.classes["status-check"]}
        return [
            await rondinella.publish("config", draft(100.0 + number) | own)
            for number in range(CHANGES)
        ]

    async with revision_log(rondinella) as log:
        revisions = await asyncio.gather(operate("first"), operate("second"))
        last = max(revisions[0] + revisions[1])
        figure("spread after the last s", await wait_in_force(rondinella, last))
        await wait_converged(rondinella)
    assert last == 1 + 2 * CHANGES
    assert log.reverted() == {}
