"""Run one deployment's scenarios in order and compute the results."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from bench import faults, measures
from bench.measures import Observed
from bench.scenarios import (
    GATEWAY,
    LEAST_LOAD,
    RAMP_S,
    ROUND_ROBIN,
    SETTLE_S,
    Bench,
    BenchFleet,
    Durations,
)
from bench.traffic import DeploymentTraffic, Load, arrivals
from harness.deployments import PAYING_ACCOUNT
from pomelobarrow.standin.load_results import Outcome

# Loads of the scenarios, as shares of the measured capacity.
COMPARED = 0.85
PAYING = 0.70
TRIAL = 1.30
# Low enough that the load, with all retries of refused callers, is below capacity.
RECOVERY = 0.20
STEADY = 0.60
# Leaves capacity in the remaining regions for the lost region's requests that may move.
LOST = 0.45


@asynccontextmanager
async def bench_on(
    traffic: DeploymentTraffic, policy: str, durations: Durations
) -> AsyncIterator[Bench]:
    """Start a fleet whose daemons all use one policy."""
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        BenchFleet(traffic.deployment, policy=policy, log_level="warning") as fleet,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        # The first heartbeats and reports arrive within this time.
        await asyncio.sleep(SETTLE_S)
        yield Bench(fleet=fleet, traffic=traffic, session=session, durations=durations)


async def run_deployment(
    traffic: DeploymentTraffic, durations: Durations, *, is_whole: bool
) -> dict[str, Any]:
    """Run all scenarios with the gateway's policy, and the comparison with the baselines too."""
    observed: list[Observed] = []
    capacities: dict[str, float] = {}
    async with bench_on(traffic, ROUND_ROBIN, durations) as bench:
        capacities[ROUND_ROBIN] = await bench.calibrate()
        await bench.run(_comparison(durations))
        observed += bench.observed
    async with bench_on(traffic, LEAST_LOAD, durations) as bench:
        capacities[LEAST_LOAD] = await bench.calibrate()
        # All policies get a load that round robin can serve, so that none is overloaded.
        bench.capacity_per_s = capacities[ROUND_ROBIN]
        await bench.run(_comparison(durations))
        observed += bench.observed
    async with bench_on(traffic, GATEWAY, durations) as bench:
        # Calibrated first like the others; otherwise this policy alone would start cold.
        capacities[GATEWAY] = await bench.calibrate()
        bench.capacity_per_s = capacities[ROUND_ROBIN]
        await bench.run(_comparison(durations))
        bench.capacity_per_s = capacities[GATEWAY]
        results = await _gateway_scenarios(bench, is_whole)
        observed += bench.observed
    return {
        "capacity_per_s": {name: round(each, 1) for name, each in capacities.items()},
        "scenarios": [scenario_figures(each) for each in observed],
        **results,
    }


def _comparison(durations: Durations) -> Load:
    return Load(name="comparison", duration_s=durations.comparison_s, paying=COMPARED)


async def _gateway_scenarios(bench: Bench, is_whole: bool) -> dict[str, Any]:
    durations = bench.durations
    results: dict[str, Any] = {"overload": await _overload(bench)}
    if is_whole:
        results["metered"] = await bench.metered()
        await bench.run(Load(name="steady", duration_s=durations.fault_s, paying=STEADY))
        for name, fault in faults.SINGLE_FAULTS.items():
            load = Load(name=name, duration_s=durations.fault_s, paying=STEADY)
            await bench.run(load, faults.planned(fault, bench, durations.fault_s))
        results["region_lost"] = await _region_lost(bench)
    return results


async def _overload(bench: Bench) -> dict[str, Any]:
    """Run the paying load alone, then with trial load on top that stops before the end."""
    durations = bench.durations
    load = Load(name="overload", duration_s=durations.overload_s, paying=PAYING)
    alone = await bench.run(load)
    doubled = Load(name="overload", duration_s=durations.overload_s, paying=PAYING, trial=TRIAL)
    planned = arrivals(bench.traffic, doubled, bench.capacity_per_s)
    planned += _recovery(bench, durations)
    both = await bench.run(doubled, planned=planned)
    occupied = measures.occupancy(both, bench.engines(), RAMP_S, durations.overload_s)
    return {
        "paying_met_alone": _paying_met(alone, durations.overload_s),
        "paying_met_overloaded": _paying_met(both, durations.overload_s),
        "occupancy": occupied,
        "occupancy_alone": measures.occupancy(alone, bench.engines(), RAMP_S, durations.overload_s),
        "waits": measures.paying_waits(both),
        "waits_alone": measures.paying_waits(alone),
        "second_tries": measures.second_tries(both.records, durations.overload_s + SETTLED_S),
        "second_tries_all": measures.second_tries(both.records, 0.0),
    }


# Requests that waited when the trial load stopped are answered within this time.
SETTLED_S = 2.0


def _recovery(bench: Bench, durations: Durations) -> list[Any]:
    load = Load(name="recovery", duration_s=durations.recovery_s, paying=RECOVERY)
    later = arrivals(bench.traffic, load, bench.capacity_per_s)
    return [faults.delayed(each, durations.overload_s) for each in later]


def _paying_met(observed: Observed, until_s: float) -> dict[str, dict[str, int]]:
    counts: dict[str, dict[str, int]] = {}
    for record in observed.records:
        arrival = record.arrival
        if arrival.rank != PAYING_ACCOUNT or arrival.at_s >= until_s:
            continue
        each = counts.setdefault(arrival.class_name, {"sent": 0, "met": 0})
        each["sent"] += 1
        each["met"] += measures.met_target(observed.traffic, record)
    return counts


async def _region_lost(bench: Bench) -> dict[str, Any]:
    durations = bench.durations
    lost_at_s = RAMP_S
    healed_at_s = lost_at_s + durations.region_lost_s
    duration_s = healed_at_s + durations.healed_s
    load = Load(name="region lost", duration_s=duration_s, paying=LOST)
    lost = bench.traffic.lost_region
    fault = faults.region_lost(bench.fleet, lost, lost_at_s, healed_at_s)
    seen = await bench.run(load, fault)
    misses: dict[str, float] = {}
    for name, home in _servable(bench, lost):
        records = [
            record
            for record in seen.records
            if record.arrival.class_name == name and (record.arrival.region == lost) == home
        ]
        where = "of the lost region" if home else "of the others"
        misses[f"{name} {where}"] = measures.longest_miss_s(
            bench.traffic, records, lost_at_s, healed_at_s
        )
    return {"lost": lost, "longest_miss_s": misses}


def _servable(bench: Bench, lost: str) -> Iterable[tuple[str, bool]]:
    """Yield the classes that can still be served; True marks callers at home in the lost region."""
    for name, each in bench.traffic.deployment.classes.items():
        yield name, False
        if not each.get("home_bound", False):
            yield name, True


def scenario_figures(observed: Observed) -> dict[str, Any]:
    """Return one scenario's figures."""
    return {
        "name": observed.name,
        "policy": observed.policy,
        "duration_s": observed.duration_s,
        "goodput_per_s": measures.goodput_per_s(observed),
        "classes": measures.class_figures(observed),
        "waits": measures.paying_waits(observed),
        "details": _details(observed),
    }


def _details(observed: Observed) -> dict[str, int]:
    """Count why requests were not answered."""
    counts: dict[str, int] = {}
    for record in observed.records:
        first = record.tries[0]
        if first.outcome is not Outcome.ANSWERED:
            key = f"{record.arrival.rank}: {first.outcome.value} {first.kind}"
            counts[key] = counts.get(key, 0) + 1
    return counts


async def run_bounded(
    traffic: DeploymentTraffic, durations: Durations, *, is_whole: bool, limit_s: float
) -> dict[str, Any]:
    """Run the deployment's scenarios, cancelled at the time limit."""
    async with asyncio.timeout(limit_s):
        return await run_deployment(traffic, durations, is_whole=is_whole)
