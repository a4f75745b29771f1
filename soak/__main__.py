"""Run seeds: `python -m soak --seeds 50 --seconds 12`; exit code 1 if a guarantee was violated.

With `--partitions`, VMs are also cut off from the others beside releases.
"""

import argparse
import asyncio
import random
import sys
import time

from attrs import frozen

from soak.announcing import AnnouncingServers
from soak.brittle import BrittleServers
from soak.checks import (
    Clients,
    CutVms,
    find_unserved_at_cut_vms,
    find_violations,
    served_share,
)
from soak.faults import LINK_CUTS, Faults
from soak.fleet import DAEMONS_PER_REGION, REGIONS, RELEASED, SoakFleet
from soak.fragile import FragileServers
from soak.keyed import KeyedServers
from soak.limited import LimitedServers
from soak.prompted import PromptedServers
from soak.versioned import VERSIONS, VersionedServers

SETTLE_S = 8.0
CALM_RUN_S = 3.0
CUT_RUN_S = 5.0
RESTARTS_RUN_S, RESTARTED_RUN_S = 8.0, 4.0
# The published bound on crashing prompts holds for VMs that have run for this long.
STABLE_S = 5.0
# Eight pools get requests at once, and four daemons share the machine with their clients.
PAUSE_BESIDE_OTHERS_S = (0.04, 0.12)
PAUSE_ALONE_S = (0.01, 0.05)
PAUSE_RELEASED_S = (0.05, 0.2)
# Servers of the soak always fail, refuse or truncate a part of their answers, so that not all
# requests can be served.
MIN_SERVED_SHARE = 0.8


@frozen(kw_only=True)
class Result:
    """Requests, faults and violations of one seed's run."""

    seed: int
    requests: int
    faults: int
    served_share: float
    violations: list[str]


async def run_seed(
    seed: int,
    duration_s: float,
    daemons_per_region: int = DAEMONS_PER_REGION,
    has_partitions: bool = False,
) -> Result:
    """Run one seed: a period with faults, then one without."""
    rng = random.Random(seed)
    fleet_random = random.Random(rng.random())
    async with SoakFleet(
        random=fleet_random,
        daemons_per_region=daemons_per_region,
        is_first_start=has_partitions,
        is_cuttable=has_partitions,
    ) as fleet:
        await wait_ready(fleet)
        faults = Faults(fleet=fleet, random=random.Random(rng.random()))
        clients = Clients(fleet=fleet, random=random.Random(rng.random()))
        fragile = FragileServers(fleet=fleet, random=random.Random(rng.random()))
        limited = LimitedServers(fleet=fleet, random=random.Random(rng.random()))
        keyed = KeyedServers(fleet=fleet, random=random.Random(rng.random()))
        announcing = AnnouncingServers(fleet=fleet, random=random.Random(rng.random()))
        returns_random = random.Random(rng.random())
        links_random = random.Random(rng.random())
        brittle = BrittleServers(fleet=fleet, random=random.Random(rng.random()))
        versioned = VersionedServers(
            fleet=fleet, random=random.Random(rng.random()), pause_s=PAUSE_BESIDE_OTHERS_S
        )
        prompted = PromptedServers(
            fleet=fleet,
            random=random.Random(rng.random()),
            pause_s=PAUSE_BESIDE_OTHERS_S,
            crashing_after_s=STABLE_S,
        )
        restarts_random = random.Random(rng.random())
        partitions_random = random.Random(rng.random())
        released = _released_servers(fleet, rng) if has_partitions else ()
        pools = (fragile, limited, keyed, announcing, brittle, versioned, prompted, *released)
        await asyncio.gather(*(each.start() for each in pools))
        sending = asyncio.create_task(clients.run(time.monotonic() + duration_s))
        until_s = time.monotonic() + duration_s + SETTLE_S
        sending_more = asyncio.gather(*(each.send_until(until_s) for each in pools))
        announced = asyncio.create_task(announcing.announce_until(time.monotonic() + duration_s))
        await asyncio.gather(
            faults.run(duration_s),
            faults.return_store(duration_s, returns_random),
            faults.cut_links_at_times(duration_s, links_random),
            _run_with_partitions(faults, duration_s, partitions_random, released),
        )
        await announced
        await sending
        await asyncio.sleep(SETTLE_S)
        await sending_more
        # The faults may have taken longer than planned, and the pools are judged from here on.
        calm_started_s = time.monotonic()
        calm_until_s = calm_started_s + CALM_RUN_S
        until_s = calm_until_s + len(LINK_CUTS) * CUT_RUN_S
        sending_more = asyncio.gather(*(each.send_until(until_s) for each in pools))
        await clients.run(calm_until_s)
        cut_vms = await _run_with_cut_links(clients, faults, links_random)
        await sending_more
        violations = versioned.find_lost(calm_started_s)
        violations += await _run_with_restarts(versioned, faults, restarts_random)
        await asyncio.gather(*(each.stop() for each in pools))
        violations += find_violations(clients, faults)
        served = served_share(clients, calm_started_s, calm_until_s)
        violations += fragile.find_violations() + limited.find_violations()
        violations += keyed.find_violations() + fleet.ended_daemons()
        violations += announcing.find_violations(faults)
        violations += brittle.find_violations(faults)
        violations += prompted.find_violations()
        for each in (versioned, *released):
            violations += each.find_violations()
        violations += find_unserved_at_cut_vms(clients, cut_vms, MIN_SERVED_SHARE)
        violations += keyed.find_unserved(calm_started_s, MIN_SERVED_SHARE)
        if fragile.served_share(calm_started_s) < MIN_SERVED_SHARE:
            violations.append("requests are not served by servers that crashed and were restarted")
        if prompted.served_share(calm_started_s) < MIN_SERVED_SHARE:
            violations.append("sound prompts are not served beside ones that crash servers")
        if limited.served_share(calm_started_s) < MIN_SERVED_SHARE:
            violations.append("requests are not served while one server announces a rate limit")
        if announcing.served_share(calm_started_s) < MIN_SERVED_SHARE:
            violations.append("requests are not served by servers that left or asked for pauses")
        violations += brittle.find_unserved(calm_started_s)
        if served < MIN_SERVED_SHARE:
            violations.append(f"only {served:.0%} were served after all faults had ended")
        if violations:
            print(f"seed {seed}: logs are in {fleet.processes.folder}", file=sys.stderr)
        return Result(
            seed=seed,
            requests=len(clients.outcomes),
            faults=len(faults.spans),
            served_share=served,
            violations=violations,
        )


def _released_servers(fleet: SoakFleet, rng: random.Random) -> tuple[VersionedServers, ...]:
    """Return pools of the first version, of whose streams none may hold events of two."""
    return tuple(
        VersionedServers(
            fleet=fleet,
            random=random.Random(rng.random()),
            take_up_random=random.Random(rng.random()),
            pool=pool,
            versions=VERSIONS[:1],
            upgrade_share=0.0,
            max_mixed=0,
            pause_s=PAUSE_RELEASED_S,
        )
        for pool in RELEASED
    )


async def _run_with_partitions(
    faults: Faults,
    duration_s: float,
    rng: random.Random,
    released: tuple[VersionedServers, ...],
) -> None:
    """Cut VMs off while one pool after the other gets servers of another version."""
    waiting = iter(released)

    async def release_next() -> None:
        if pool := next(waiting, None):
            await pool.release()

    if released:
        await faults.partition_at_times(duration_s, rng, release_next)


async def _run_with_cut_links(
    clients: Clients, faults: Faults, rng: random.Random
) -> tuple[CutVms, ...]:
    """Send requests while all VMs of each region but one reach no server, for each kind of cut."""
    found = []
    for mode in LINK_CUTS:
        linked = [rng.choice(clients.fleet.in_region(region)) for region in REGIONS]
        cut = [daemon for daemon in clients.fleet.daemons if daemon not in linked]
        await asyncio.gather(*(faults.cut(daemon, mode) for daemon in cut))
        started_s = time.monotonic()
        await clients.run(started_s + CUT_RUN_S)
        await asyncio.gather(*(faults.restore(daemon) for daemon in cut))
        vms = frozenset(daemon.vm for daemon in cut)
        found.append(CutVms(mode=mode, vms=vms, from_s=started_s, until_s=time.monotonic()))
    return tuple(found)


async def _run_with_restarts(
    versioned: VersionedServers, faults: Faults, rng: random.Random
) -> list[str]:
    """Kill all VMs at once while streams run; return a line if too few go on afterwards."""
    versioned.pause_s = PAUSE_ALONE_S
    await asyncio.gather(
        faults.restart_all_at_times(RESTARTS_RUN_S, rng, versioned.replace_version),
        versioned.send_until(time.monotonic() + RESTARTS_RUN_S),
    )
    restarted_s = time.monotonic()
    await versioned.send_until(restarted_s + RESTARTED_RUN_S)
    return versioned.find_lost(restarted_s)


async def wait_ready(fleet: SoakFleet) -> None:
    """Wait until each daemon reports that it is ready."""
    for daemon in fleet.daemons:
        await fleet.wait_ready(daemon)


def main() -> int:
    """Run the requested seeds and print the result of each."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--first", type=int, default=None, help="first seed; fresh ones without")
    parser.add_argument("--seconds", type=float, default=12.0, help="how long faults go on")
    parser.add_argument(
        "--daemons", type=int, default=DAEMONS_PER_REGION, help="how many daemons a region"
    )
    parser.add_argument("--partitions", action="store_true", help="cut VMs off from the others")
    options = parser.parse_args()
    first = random.SystemRandom().randrange(10**6) if options.first is None else options.first
    failed = 0
    for seed in range(first, first + options.seeds):
        result = asyncio.run(run_seed(seed, options.seconds, options.daemons, options.partitions))
        failed += bool(result.violations)
        print(
            f"seed {seed}: {result.requests} requests, {result.faults} faults, "
            f"{result.served_share:.0%} served after, {len(result.violations)} broken promises",
            flush=True,
        )
        for line in result.violations[:10]:
            print(f"  {line}", flush=True)
    print(f"{options.seeds - failed} seeds kept all promises, {failed} did not", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
