"""Runs of each group of the decision bench."""

from collections.abc import Callable
from typing import Any

from attrs import frozen

from bench.decisions import (
    account_limits,
    brittle_places,
    overload,
    queue_order,
    region_loss,
    retry_after,
    retry_budget,
    server_ways,
    stream_joins,
    stream_records,
    token_limits,
)
from bench.fakes.ways import FIRST_ONLY, SHIPPED

SEEDS = (1, 2, 3)
OVERLOAD_S = 75.0


@frozen
class Job:
    """One run: a function and its arguments."""

    run: Callable[..., dict[str, Any]]
    arguments: tuple[Any, ...]


def run_job(job: Job) -> dict[str, Any]:
    """Run one job in a worker process."""
    return job.run(*job.arguments)


def _server_variants(
    sizes: tuple[tuple[str, int, int, float], ...], seeds: tuple[int, ...]
) -> list[Job]:
    return [
        Job(server_ways.run, (kind, variant, daemons, servers, seconds, seed))
        for kind, daemons, servers, seconds in sizes
        for variant in server_ways.VARIANTS
        if _is_feasible(variant, daemons, servers)
        for seed in seeds
    ]


def _is_feasible(variant: str, daemons: int, servers: int) -> bool:
    """Reject subsets that contain all servers or may leave servers without a daemon."""
    if not variant.startswith("subset"):
        return True
    size = int(variant.rpartition(" ")[2])
    return size < servers <= size * daemons // 2


def _limits() -> list[Job]:
    jobs = [
        Job(account_limits.run, (variant, offer, limit, vms, 1))
        for variant in account_limits.VARIANTS
        for offer in account_limits.OFFERS
        for limit, vms in ((5.0, 6), (20.0, 2), (20.0, 6), (100.0, 6))
    ]
    return jobs + [Job(account_limits.run_partitioned, (20.0, 6, 1))]


def _token_limits() -> list[Job]:
    return [
        Job(token_limits.run, (way, demand, limit_per_s, vms, seed))
        for way in token_limits.WAYS
        for demand in token_limits.DEMANDS
        for limit_per_s, vms in ((47_000.0, 7), (47_000.0, 90), (800_000.0, 90), (800_000.0, 340))
        for seed in SEEDS[:2]
    ]


def _brittle_places() -> list[Job]:
    return [
        Job(brittle_places.run, (way, vms, servers, slots, target_s, load, seed))
        for vms, servers, slots in ((3, 6, 4), (7, 6, 4), (30, 6, 4), (30, 10, 8), (30, 40, 8))
        for target_s in (0.5, 1.5)
        for load in (0.7, 1.0, 1.4)
        for way in brittle_places.WAYS
        for seed in SEEDS
    ]


def _stream_records() -> list[Job]:
    return [
        Job(stream_records.run, (way, vms, seed))
        for vms, seeds in ((7, SEEDS), (90, SEEDS[:2]), (340, SEEDS[:1]))
        for way in stream_records.WAYS
        for seed in seeds
    ]


def _stream_joins() -> list[Job]:
    return [
        Job(stream_joins.run, (servers, has_seen_streams, way, seed))
        for servers in stream_joins.SERVER_KINDS
        for has_seen_streams in (False, True)
        for way in stream_joins.WAYS
        for seed in range(1, 51)
    ]


GROUPS: dict[str, Callable[[], list[Job]]] = {
    "servers-small": lambda: _server_variants(
        (("draft", 2, 5, 90.0), ("draft", 20, 5, 90.0)), SEEDS
    ),
    "servers-review": lambda: _server_variants(
        (("review", 2, 9, 120.0), ("review", 20, 9, 120.0)), SEEDS
    ),
    "servers-large-2": lambda: _server_variants((("draft", 2, 130, 12.0),), (1,)),
    "servers-large-20": lambda: _server_variants((("draft", 20, 130, 12.0),), (1,)),
    "daemon-faults": lambda: [
        Job(server_ways.run_fault, (variant, fault, seed))
        for variant in ("cost-charged, affinity", "dispatch by owner")
        for fault in ("dead", "frozen")
        for seed in SEEDS
    ],
    "queue-order": lambda: [
        Job(queue_order.run, (order, seed)) for order in queue_order.ORDERS for seed in SEEDS
    ],
    "overload": lambda: [Job(overload.run, (seed, OVERLOAD_S)) for seed in SEEDS],
    "region-loss": lambda: [
        Job(region_loss.run_loss, (seed, load, has_slow_start))
        for load in (0.7, 0.9, 1.1)
        for has_slow_start in (True, False)
        for seed in SEEDS
    ],
    "look-ahead": lambda: [
        Job(region_loss.run_loss, (seed, 1.1, True, variant))
        for variant in (FIRST_ONLY, SHIPPED)
        for seed in SEEDS
    ],
    "region-peak": lambda: [
        Job(region_loss.run_peak, (seed, variant))
        for variant in ("home", "least wait", "shipped")
        for seed in SEEDS
    ],
    "limits": _limits,
    "token-limits": _token_limits,
    "brittle-places": _brittle_places,
    "stream-joins": _stream_joins,
    "stream-records": _stream_records,
    "retry-budget": lambda: [
        Job(retry_budget.run, (variant, seed))
        for variant in ("none", "three attempts", "budget")
        for seed in SEEDS
    ],
    "retry-after": lambda: [
        Job(retry_after.run, (seed, variant)) for variant in retry_after.VARIANTS for seed in SEEDS
    ],
}
