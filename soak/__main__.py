"""Run seeds: `python -m soak --seeds 50 --seconds 12`; exit code 1 where a promise was broken."""

import argparse
import asyncio
import random
import sys
import time

import aiohttp
from attrs import frozen

from soak.checks import Clients, broken_promises, served_share
from soak.faults import Faults
from soak.fleet import SoakFleet
from soak.fragile import FragileServers
from soak.limited import LimitedServers

READY_WITHIN_S = 30.0
SETTLE_S = 8.0
CALM_RUN_S = 3.0
# Servers of the soak fail, refuse and break off a part of their answers at any time.
LEAST_SERVED_SHARE = 0.8


@frozen(kw_only=True)
class Result:
    """Hold what one seed showed."""

    seed: int
    requests: int
    faults: int
    served_after: float
    broken: list[str]


async def run_seed(seed: int, for_s: float) -> Result:
    """Run one seed: faults for a time, then calm."""
    drawn = random.Random(seed)
    async with SoakFleet(random=random.Random(drawn.random())) as fleet:
        await wait_ready(fleet)
        faults = Faults(fleet=fleet, random=random.Random(drawn.random()))
        clients = Clients(fleet=fleet, random=random.Random(drawn.random()))
        fragile = FragileServers(fleet=fleet, random=random.Random(drawn.random()))
        limited = LimitedServers(fleet=fleet, random=random.Random(drawn.random()))
        await asyncio.gather(fragile.start(), limited.start())
        sending = asyncio.create_task(clients.run(time.monotonic() + for_s))
        until_s = time.monotonic() + for_s + SETTLE_S + CALM_RUN_S
        sending_more = asyncio.gather(fragile.send_until(until_s), limited.send_until(until_s))
        await faults.run(for_s)
        await sending
        await asyncio.sleep(SETTLE_S)
        calm_s = time.monotonic()
        await clients.run(calm_s + CALM_RUN_S)
        await sending_more
        await asyncio.gather(fragile.stop(), limited.stop())
        broken, served = broken_promises(clients, faults), served_share(clients, calm_s)
        broken += fragile.broken_promises() + limited.broken_promises() + fleet.ended_daemons()
        if fragile.served_share(calm_s) < LEAST_SERVED_SHARE:
            broken.append("servers that had ended are back, and requests aren't served there")
        if limited.served_share(calm_s) < LEAST_SERVED_SHARE:
            broken.append("requests aren't served beside a server that names a limit")
        if served < LEAST_SERVED_SHARE:
            broken.append(f"only {served:.0%} were served after all faults were over")
        if broken:
            print(f"seed {seed}: logs are in {fleet.processes.folder}", file=sys.stderr)
        return Result(
            seed=seed,
            requests=len(clients.outcomes),
            faults=len(faults.spans),
            served_after=served,
            broken=broken,
        )


async def wait_ready(fleet: SoakFleet) -> None:
    """Return once each daemon says that it is ready."""
    async with asyncio.timeout(READY_WITHIN_S), aiohttp.ClientSession() as session:
        for daemon in fleet.daemons:
            while not await _is_ready(session, fleet.readiness(daemon)):
                await asyncio.sleep(0.05)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


def main() -> int:
    """Run the seeds asked for and tell what each showed."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--first", type=int, default=None, help="first seed; fresh ones without")
    parser.add_argument("--seconds", type=float, default=12.0, help="how long faults go on")
    options = parser.parse_args()
    first = random.SystemRandom().randrange(10**6) if options.first is None else options.first
    failed = 0
    for seed in range(first, first + options.seeds):
        result = asyncio.run(run_seed(seed, options.seconds))
        failed += bool(result.broken)
        print(
            f"seed {seed}: {result.requests} requests, {result.faults} faults, "
            f"{result.served_after:.0%} served after, {len(result.broken)} broken promises",
            flush=True,
        )
        for line in result.broken[:10]:
            print(f"  {line}", flush=True)
    print(f"{options.seeds - failed} seeds kept all promises, {failed} did not", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
