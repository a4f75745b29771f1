"""The reference deployments of two users."""

import hashlib
from collections.abc import Iterator
from typing import Any

from attrs import field, frozen

PAYING_ACCOUNT = "paying"
TRIAL_ACCOUNT = "trial"


@frozen(kw_only=True)
class PoolPlan:
    """One pool: its servers by region and their start options."""

    name: str
    kind: str
    servers_by_region: dict[str, int]
    slots: int
    service: str | None = None
    options: tuple[str, ...] = ()


@frozen(kw_only=True)
class Deployment:
    """Regions, network delays, pools and classes of one user."""

    name: str
    regions: tuple[str, ...]
    objective: str
    pools: tuple[PoolPlan, ...]
    classes: dict[str, dict[str, Any]]
    models: dict[str, str]
    domain_delay_s: float
    region_delay_s: float = 0.055
    caller_delay_s: float = 0.003
    vms_per_region: int = 2
    home_region_by_account: dict[str, str] = field(factory=dict)


def token_of(account: str) -> str:
    """Return the bearer token of an account in tests."""
    return f"token-of-{account}"


def configuration_values(deployment: Deployment) -> dict[str, Any]:
    """Return the configuration that the operators publish, by key."""
    values: dict[str, Any] = {"deployment": {"objective": deployment.objective}}
    values |= {f"classes/{name}": each for name, each in deployment.classes.items()}
    values |= {f"models/{name}": {"pool": pool} for name, pool in deployment.models.items()}
    values |= {f"pools/{pool.name}": _pool_value(pool) for pool in deployment.pools}
    return values | dict(_accounts(deployment))


def _pool_value(pool: PoolPlan) -> dict[str, Any]:
    value: dict[str, Any] = {"kind": pool.kind}
    if pool.service:
        value["service"] = pool.service
    return value


def _accounts(deployment: Deployment) -> Iterator[tuple[str, dict[str, Any]]]:
    for region in deployment.regions:
        for rank in (PAYING_ACCOUNT, TRIAL_ACCOUNT):
            name = f"{rank}-{region}"
            yield f"accounts/{name}", {
                "token_sha256": [hashlib.sha256(token_of(name).encode()).hexdigest()],
                "rank": rank,
                "home_region": region,
                "max_requests_per_s": 10_000,
                "max_requests_in_flight": 10_000,
            }


RONDINELLA = Deployment(
    name="rondinella",
    regions=("milan", "turin", "bologna"),
    objective="cost",
    domain_delay_s=0.001,
    pools=(
        PoolPlan(
            name="drafting",
            kind="engine",
            servers_by_region={"milan": 2, "turin": 2, "bologna": 1},
            slots=8,
            options=("--step-s", "0.003"),
        ),
        PoolPlan(
            name="webhooks",
            kind="service",
            service="webhooks",
            servers_by_region={"milan": 1, "turin": 1, "bologna": 1},
            slots=64,
        ),
    ),
    models={"draft-large": "drafting", "note-small": "drafting"},
    classes={
        "draft": {
            "pool": "drafting",
            "home_bound": True,
            "first_token_target_s": 10.0,
            "finish_target_s": 120.0,
        },
        "changelog-note": {
            "pool": "drafting",
            "first_token_target_s": 1.0,
            "finish_target_s": 10.0,
            "max_share_outside_home": 0.5,
        },
        "webhook-ping": {
            "pool": "webhooks",
            "repeatable": False,
            "first_token_target_s": 1.0,
            "finish_target_s": 5.0,
        },
        "status-check": {
            "pool": "webhooks",
            "first_token_target_s": 1.0,
            "finish_target_s": 5.0,
        },
    },
)

VASKTORU = Deployment(
    name="vasktoru",
    regions=("tallinn", "rotterdam", "warsaw"),
    objective="tail_latency",
    domain_delay_s=0.0005,
    pools=(
        PoolPlan(
            name="contracts",
            kind="engine",
            servers_by_region={"tallinn": 4, "rotterdam": 3, "warsaw": 2},
            slots=8,
            options=("--step-s", "0.005"),
        ),
        PoolPlan(
            name="desk",
            kind="service",
            service="desk",
            servers_by_region={"tallinn": 1, "rotterdam": 1, "warsaw": 1},
            slots=64,
        ),
    ),
    models={"contract-reader": "contracts"},
    classes={
        "contract-review": {
            "pool": "contracts",
            "home_bound": True,
            "first_token_target_s": 2.0,
            "finish_target_s": 30.0,
        },
        "quick-query": {
            "pool": "contracts",
            "repeatable": False,
            "first_token_target_s": 0.6,
            "finish_target_s": 5.0,
            "max_share_outside_home": 0.5,
        },
        "desk-call": {
            "pool": "desk",
            "repeatable": False,
            "first_token_target_s": 1.0,
            "finish_target_s": 5.0,
        },
    },
)

DEPLOYMENTS = {each.name: each for each in (RONDINELLA, VASKTORU)}
