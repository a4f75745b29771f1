"""Plan the requests of a deployment's callers and their times."""

import math
from collections.abc import Iterator
from random import Random
from typing import Any

from attrs import evolve, field, frozen

from harness.deployments import (
    PAYING_ACCOUNT,
    RONDINELLA,
    TRIAL_ACCOUNT,
    VASKTORU,
    Deployment,
)

PEAK_SHARE = 0.15
FILLER = "grade premium lockfile warehouse "
# A few documents get most of the requests, followed by a long tail of rarely used ones.
DOCUMENT_SKEW = 0.8


@frozen(kw_only=True)
class ClassTraffic:
    """One class's requests and the callers' expectations."""

    name: str
    # Share of the engine requests; for plain services the requests per second at any load.
    share: float
    due_after_s: float
    trial_due_after_s: float = 0.0
    model: str = ""
    service_path: str = ""
    documents: int = 1
    document_bytes: int = 0
    question_bytes: int = 200
    output_tokens: int = 1
    repeatable: bool = True
    # Weight of an answer in the goodput.
    weight: float = 1.0

    @property
    def is_chat(self) -> bool:
        """Return whether the class is served by engines."""
        return not self.service_path


@frozen(kw_only=True)
class DeploymentTraffic:
    """A deployment, scaled down to one machine, and its traffic."""

    deployment: Deployment
    classes: tuple[ClassTraffic, ...]
    engine_pool: str
    review: str
    lost_region: str

    def class_named(self, name: str) -> ClassTraffic:
        """Return the traffic of the class with this name."""
        return next(each for each in self.classes if each.name == name)

    @property
    def engines_by_region(self) -> dict[str, int]:
        """Count the engines of each region."""
        return self.deployment.pools[0].servers_by_region


@frozen(kw_only=True)
class Arrival:
    """One planned request."""

    at_s: float
    class_name: str
    rank: str
    region: str
    document: int
    marker: str


@frozen(kw_only=True)
class Load:
    """The load of one scenario, as shares of the measured capacity."""

    name: str
    duration_s: float
    paying: float
    trial: float = 0.0
    peak_share: float = PEAK_SHARE
    seed: int = 7
    services: bool = field(default=True)


def arrivals(traffic: DeploymentTraffic, load: Load, capacity_per_s: float) -> list[Arrival]:
    """Return the scenario's requests in order of time."""
    found: list[Arrival] = []
    for rank, level in ((PAYING_ACCOUNT, load.paying), (TRIAL_ACCOUNT, load.trial)):
        for each in traffic.classes:
            for region_index, region in enumerate(traffic.deployment.regions):
                rate_per_s = _rate_per_s(traffic, each, region, level * capacity_per_s, rank, load)
                found += _stream(traffic, each, rank, region, region_index, rate_per_s, load)
    return sorted(found, key=lambda each: each.at_s)


def _rate_per_s(
    traffic: DeploymentTraffic,
    each: ClassTraffic,
    region: str,
    requests_per_s: float,
    rank: str,
    load: Load,
) -> float:
    if not each.is_chat:
        return each.share if rank == PAYING_ACCOUNT and load.services else 0.0
    engines = traffic.engines_by_region
    return requests_per_s * each.share * engines[region] / sum(engines.values())


def _stream(
    traffic: DeploymentTraffic,
    each: ClassTraffic,
    rank: str,
    region: str,
    region_index: int,
    rate_per_s: float,
    load: Load,
) -> Iterator[Arrival]:
    # The same seed gives every policy the same requests.
    rng = Random(f"{load.seed} {load.name} {each.name} {rank} {region}")
    phase = region_index / len(traffic.deployment.regions)
    highest_per_s = rate_per_s * (1.0 + load.peak_share)
    weights = [1.0 / (number + 1) ** DOCUMENT_SKEW for number in range(each.documents)]
    at_s, serial = 0.0, 0
    while highest_per_s > 0:
        at_s += rng.expovariate(highest_per_s)
        if at_s >= load.duration_s:
            return
        curve = math.sin(2.0 * math.pi * (at_s / load.duration_s + phase))
        if rng.random() * highest_per_s > rate_per_s * (1.0 + load.peak_share * curve):
            continue
        serial += 1
        document = rng.choices(range(each.documents), weights)[0]
        yield Arrival(
            at_s=at_s,
            class_name=each.name,
            rank=rank,
            region=region,
            document=document,
            marker=f"{load.name}/{each.name}/{rank}/{region}/{document}/{serial}",
        )


def body_of(each: ClassTraffic, arrival: Arrival) -> dict[str, Any]:
    """Return the request's body: a shared document followed by a question of its own."""
    if not each.is_chat:
        return {"marker": arrival.marker}
    return {
        "model": each.model,
        "messages": [
            {"role": "system", "content": document_text(each, arrival.region, arrival.document)},
            {"role": "user", "content": arrival.marker.ljust(each.question_bytes, "?")},
        ],
        "max_tokens": each.output_tokens,
        "stream": True,
        "metadata": {"marker": arrival.marker, "class": each.name},
    }


def document_text(each: ClassTraffic, region: str, document: int) -> str:
    """Return a document's text, which differs by region."""
    start = f"{each.name} {region} document {document}: "
    filler = FILLER * (each.document_bytes // len(FILLER) + 1)
    return (start + filler)[: each.document_bytes]


def _scaled_down(deployment: Deployment, *options: str) -> Deployment:
    """Return the deployment with few slots, because all its processes share one machine."""
    engines = evolve(deployment.pools[0], slots=4, options=options)
    return evolve(deployment, pools=(engines, *deployment.pools[1:]))


RONDINELLA_TRAFFIC = DeploymentTraffic(
    deployment=_scaled_down(
        RONDINELLA, "--step-s", "0.003", "--prefill-tokens-per-step", "32", "--cache-blocks", "400"
    ),
    engine_pool="drafting",
    review="draft",
    lost_region="bologna",
    classes=(
        ClassTraffic(
            name="draft",
            model="draft-large",
            share=0.6,
            due_after_s=25.0,
            trial_due_after_s=6.0,
            documents=20,
            document_bytes=15_360,
            output_tokens=48,
            weight=2.0,
        ),
        ClassTraffic(
            name="changelog-note",
            model="note-small",
            share=0.4,
            due_after_s=10.0,
            trial_due_after_s=4.0,
            document_bytes=512,
            output_tokens=12,
        ),
        ClassTraffic(
            name="webhook-ping",
            service_path="/services/webhooks/ping",
            share=1.5,
            due_after_s=5.0,
            repeatable=False,
        ),
        ClassTraffic(
            name="status-check",
            service_path="/services/webhooks/status",
            share=1.5,
            due_after_s=5.0,
        ),
    ),
)

VASKTORU_TRAFFIC = DeploymentTraffic(
    deployment=_scaled_down(
        VASKTORU, "--step-s", "0.005", "--prefill-tokens-per-step", "64", "--cache-blocks", "400"
    ),
    engine_pool="contracts",
    review="contract-review",
    lost_region="warsaw",
    classes=(
        ClassTraffic(
            name="contract-review",
            model="contract-reader",
            share=0.6,
            due_after_s=15.0,
            trial_due_after_s=6.0,
            documents=24,
            document_bytes=15_360,
            output_tokens=40,
            weight=4.0,
        ),
        ClassTraffic(
            name="quick-query",
            model="contract-reader",
            share=0.4,
            due_after_s=5.0,
            trial_due_after_s=4.0,
            document_bytes=512,
            output_tokens=8,
            repeatable=False,
        ),
        ClassTraffic(
            name="desk-call",
            service_path="/services/desk/call",
            share=1.5,
            due_after_s=5.0,
            repeatable=False,
        ),
    ),
)

TRAFFIC = {each.deployment.name: each for each in (RONDINELLA_TRAFFIC, VASKTORU_TRAFFIC)}
