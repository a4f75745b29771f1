"""Run the demo: python -m demo --deployment rondinella|vasktoru."""

import argparse
import asyncio
import shutil
import signal
import sys
import time

from demo.plans import PLANS
from demo.region_cut import show_region_cut
from demo.steps import (
    Demo,
    show_at_most_once,
    show_classes,
    show_entries,
    show_home_bound,
    show_planned_stop,
    show_publishing,
)
from demo.table import Table
from harness.deployments import DEPLOYMENTS
from harness.fleet import Fleet

LIMIT_S = 60.0
EXIT_HELD = 0
EXIT_FAILED = 1
EXIT_INTERRUPTED = 130
STEPS = (
    show_entries,
    show_classes,
    show_home_bound,
    show_at_most_once,
    show_publishing,
    show_planned_stop,
    show_region_cut,
)


async def run_steps(demo: Demo) -> None:
    """Run the steps in order; a step that raises an error adds a failed row."""
    for step in STEPS:
        try:
            await step(demo)
        except Exception as error:
            demo.table.add(step.__name__, "the step runs to its end", repr(error), False)


async def run_demo(name: str, table: Table) -> Fleet:
    """Start the deployment, run all steps and stop it; return the stopped fleet."""
    started_s = time.monotonic()
    async with Fleet(DEPLOYMENTS[name]) as fleet:
        regions = ", ".join(fleet.deployment.regions)
        took_s = time.monotonic() - started_s
        print(f"{name}: {len(fleet.processes.running)} processes in {regions}, {took_s:.1f} s")
        started = list(fleet.processes.running.values())
        async with asyncio.timeout(LIMIT_S - took_s):
            await run_steps(Demo(fleet=fleet, plan=PLANS[name], table=table))
    left = sum(process.poll() is None for process in started)
    took_s = time.monotonic() - started_s
    table.add("end", "no process left, under 60 s", f"{left} left, {took_s:.1f} s", not left)
    return fleet


def main() -> int:
    """Run the demo and print its table."""
    parser = argparse.ArgumentParser(prog="demo", description="Show a deployment at work.")
    parser.add_argument("--deployment", choices=sorted(PLANS), default="rondinella")
    name, table = parser.parse_args().deployment, Table()
    try:
        fleet = asyncio.run(_until_terminated(name, table))
    except (KeyboardInterrupt, asyncio.CancelledError):
        print(table.render())
        print("interrupted; every process was ended", file=sys.stderr)
        return EXIT_INTERRUPTED
    except (TimeoutError, RuntimeError) as error:
        table.add("end", f"started, and done within {LIMIT_S:.0f} s", repr(error), False)
        print(table.render())
        return EXIT_FAILED
    print(table.render())
    return _conclude(fleet, table)


async def _until_terminated(name: str, table: Table) -> Fleet:
    """Cancel the demo on SIGTERM, as asyncio does on SIGINT, so that its processes end."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_demo(name, table)


def _conclude(fleet: Fleet, table: Table) -> int:
    held = len(table.rows) - len(table.failed)
    print(f"\n{held} of {len(table.rows)} promises held")
    if not table.is_held:
        print(f"logs of all processes: {fleet.processes.folder}")
        return EXIT_FAILED
    shutil.rmtree(fleet.processes.folder)
    return EXIT_HELD


if __name__ == "__main__":
    sys.exit(main())
