"""Measure the slopes of docs/CAPACITY.md: `python -m bench.capacity [--page | --check]`."""

import argparse
import asyncio
import json
import logging
import sys
from pathlib import Path

import attrs
import structlog

from bench.capacity_check import check
from bench.capacity_fit import fit_line
from bench.capacity_fleet import CapacityFleet, FleetSize, Usage
from bench.capacity_model import Measured
from bench.capacity_page import blocks, write_blocks
from bench.capacity_region import RegionSize, SimulatedRegion
from bench.capacity_size import ACCOUNTS, DAEMONS, REGIONS, SERVERS, split
from bench.capacity_state import Slope, memory_slopes, time_slopes
from bench.capacity_stream import bare_exchange_s
from bench.capacity_tokens import token_cpu_s

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
SETTLE_S, MEASURE_S = 6.0, 8.0
FLEETS = (
    FleetSize(daemons=2),
    FleetSize(daemons=6),
    FleetSize(daemons=20),
    FleetSize(daemons=40),
    FleetSize(daemons=20, servers_per_region=40),
    FleetSize(daemons=20, servers_per_region=130),
    FleetSize(daemons=20, regions=4),
    FleetSize(daemons=20, regions=10),
)
REGION_DAEMONS = (5, 9, 20, 50)
STREAMS = (4, 16, 40)


def main() -> int:
    """Measure everything, or only the regression bounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="only check the regression bounds")
    parser.add_argument("--page", action="store_true", help="write the tables of the page")
    parser.add_argument("--json", default="", help="write the figures to this file")
    arguments = parser.parse_args()
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    if arguments.check:
        return check()
    measured = measure()
    if arguments.json:
        Path(arguments.json).write_text(json.dumps(attrs.asdict(measured), indent=2))
    text = blocks(measured)
    if arguments.page:
        write_blocks(PAGE, text)
    else:
        print("\n\n".join(text.values()))
    return 0


def measure() -> Measured:
    """Return every slope."""
    bare_s = bare_exchange_s()
    exchanges, cross = [], {}
    for daemons in REGION_DAEMONS:
        region = SimulatedRegion(region_size(daemons))
        exchanges.append(region.run(warm_s=14, measure_s=5))
        cross[daemons] = region.cross_link_bytes_per_s()
        _note(f"exchange in a region of {daemons}: {exchanges[-1]}")
    memory, times = memory_slopes(), time_slopes()
    usages = []
    for size in FLEETS:
        usages.append(asyncio.run(_usage(size)))
        _note(f"{usages[-1]}")
    return Measured(
        bare_exchange_s=bare_s,
        tokens=asyncio.run(_tokens()),
        exchanges=exchanges,
        cross_link_bytes_per_s=cross,
        memory=memory,
        times=times,
        usages=usages,
    )


def region_size(daemons: int) -> RegionSize:
    """Return a region with its share of the servers and accounts of the whole."""
    share = daemons / DAEMONS
    return RegionSize(
        daemons=daemons,
        servers=round(SERVERS * share),
        other_daemons=DAEMONS - daemons,
        other_regions=REGIONS - 1,
        accounts=max(1, round(ACCOUNTS * share)),
    )


async def _usage(size: FleetSize) -> Usage:
    async with CapacityFleet(size) as fleet:
        usage = await fleet.usage(SETTLE_S, MEASURE_S)
        return attrs.evolve(usage, change_in_force_s=await fleet.change_in_force_s())


async def _tokens() -> Slope:
    async with CapacityFleet(FleetSize(daemons=1, servers_per_region=4)) as fleet:
        found = [await token_cpu_s(fleet, streams) for streams in STREAMS]
    rates, used = zip(*found, strict=True)
    return Slope(
        "relay of a streamed token, by tokens a second", "s", rates, used, fit_line(rates, used)
    )


def _note(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


if __name__ == "__main__":
    assert sum(split(DAEMONS)) == DAEMONS
    sys.exit(main())
