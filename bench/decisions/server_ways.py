"""Compare policies for server choice and dispatch."""

from typing import Any

from attrs import evolve

from bench.decisions.sizes import DRAFT, REVIEW, groups_for
from bench.fakes.clock import Clock
from bench.fakes.region import FakeRegion, RegionSpec
from bench.fakes.traffic import Source, Traffic
from bench.fakes.ways import BASELINES, CHARGED, OWNER, SHIPPED, subset

VARIANTS = {
    variant.name: variant
    for variant in (*BASELINES, CHARGED, SHIPPED, OWNER, subset(3), subset(20))
}
# Drafts repeat their prefixes, so a region with warm caches can serve more than its cold capacity.
DRAFT_LOAD = 1.2
REVIEW_LOAD = 0.85
FAULT_UNIX_S = 20.0
FREEZE_S = 8.0
DRAIN_S = 30.0


def run(
    kind: str, variant_name: str, daemons: int, servers: int, seconds: float, seed: int
) -> dict[str, Any]:
    """Measure one variant at one region size."""
    variant = VARIANTS[variant_name]
    traffic, spec, per_s = _load(kind, daemons, servers)
    region = FakeRegion(Clock(), spec, variant, seed, traffic.pool)
    region.feed(Source(traffic, seed, region.name), lambda _: per_s, seconds)
    region.clock.run_until(seconds + DRAIN_S)
    records = [r for r in region.records if r.work.accepted_unix_s > 0.25 * seconds]
    return {
        "kind": kind,
        "way": variant_name,
        "daemons": daemons,
        "servers": servers,
        "seed": seed,
        "first_token_s": sorted(r.first_token_s for r in records),
        **_caches(region),
        "messages_per_request": _messages(region) / max(1, region.placements),
    }


def run_fault(variant_name: str, fault: str, seed: int) -> dict[str, Any]:
    """Measure how a dead or frozen daemon affects the callers of the other daemons."""
    traffic, spec, per_s = _load("review", 6, 9)
    region = FakeRegion(Clock(), spec, VARIANTS[variant_name], seed, traffic.pool)
    region.feed(Source(traffic, seed, region.name), lambda _: 0.7 * per_s, 40.0)
    stopped = region.daemons[0]
    frozen_s = FREEZE_S if fault == "frozen" else None
    region.clock.at(FAULT_UNIX_S, lambda: region.stop(stopped, frozen_s))
    region.clock.run_until(80.0)
    after = [
        r
        for r in region.records
        if FAULT_UNIX_S - 1.0 < r.work.accepted_unix_s < FAULT_UNIX_S + 6.0
        and r.entry != stopped.name
    ]
    before = [r for r in region.records if 8.0 < r.work.accepted_unix_s < FAULT_UNIX_S - 3.0]
    return {
        "way": variant_name,
        "fault": fault,
        "seed": seed,
        "others_lost": sum(r.first_token_unix_s is None for r in after),
        "others_late_3_s": sum(r.first_token_s > 3.0 for r in after),
        "late_3_s_before": sum(r.first_token_s > 3.0 for r in before) / max(1, len(before)),
        "others": len(after),
        "stuck_forwards": region.stuck_forwards,
    }


def _load(kind: str, daemons: int, servers: int) -> tuple[Traffic, RegionSpec, float]:
    step_s = 0.003 if kind == "draft" else 0.005
    spec = RegionSpec(daemons=daemons, servers=servers, step_s=step_s)
    traffic = evolve(DRAFT, groups=groups_for(servers)) if kind == "draft" else REVIEW
    cold_per_s = servers * traffic.cold_capacity_per_s(
        spec.slots, spec.step_s, spec.prefill_tokens_per_s
    )
    if kind == "draft":
        return traffic, spec, DRAFT_LOAD * cold_per_s
    # The system prompt is cached on every engine, so that its prefill is not repeated.
    cached = traffic.system_tokens / traffic.prompt_tokens_mean
    return traffic, spec, REVIEW_LOAD * cold_per_s / (1.0 - cached)


def _caches(region: FakeRegion) -> dict[str, Any]:
    prompt_tokens = sum(r.work.prompt_tokens for r in region.records)
    cached_tokens = sum(r.cached_tokens for r in region.records)
    recomputed = sum(engine.recomputed_tokens for engine in region.engines.values())
    return {
        "hit_share": cached_tokens / max(1, prompt_tokens),
        "recomputed_tokens_per_request": recomputed / max(1, len(region.records)),
    }


def _messages(region: FakeRegion) -> int:
    """Return the count of placements, forwards with their answers, heartbeats and polls."""
    return region.placements + 2 * region.forwards + region.exchange.messages
