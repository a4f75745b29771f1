"""The published configuration as validated values."""

import enum
from collections.abc import Mapping

from attrs import field, frozen

from pomelobarrow.decision.published.accounts import Account, Rank
from pomelobarrow.decision.published.routing import Routing

__all__ = [
    "Account",
    "Configuration",
    "ModelSpec",
    "Objective",
    "Pool",
    "PoolKind",
    "Rank",
    "WorkClass",
]


class Objective(enum.Enum):
    """The measure that a deployment optimizes first."""

    COST = "cost"
    TAIL_LATENCY = "tail_latency"


class PoolKind(enum.Enum):
    """The protocol of a pool's backend servers."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen(kw_only=True)
class WorkClass:
    """Routing rules and latency targets of one class of work."""

    name: str
    pool: str
    rank: Rank = Rank.PAYING
    home_bound: bool = False
    repeatable: bool = True
    max_share_outside_home: float = 1.0
    first_token_target_s: float
    finish_target_s: float


@frozen(kw_only=True)
class ModelSpec:
    """A model, the pool that serves it and the version to serve."""

    name: str
    pool: str
    version: str = ""


@frozen(kw_only=True)
class Pool:
    """A pool of backend servers."""

    name: str
    kind: PoolKind
    service: str | None = None
    role: str = ""


@frozen(kw_only=True)
class Configuration:
    """One complete, validated revision of the configuration."""

    revision: int = 0
    objective: Objective = Objective.COST
    classes: Mapping[str, WorkClass] = field(factory=dict)
    models: Mapping[str, ModelSpec] = field(factory=dict)
    accounts: Mapping[str, Account] = field(factory=dict)
    pools: Mapping[str, Pool] = field(factory=dict)
    account_by_token_sha256: Mapping[str, Account] = field(factory=dict)
    # Routes of requests that are relayed unchanged; None if none are published.
    routing: Routing | None = None
    # Failure domains whose backend servers get no new work.
    evacuated_domains: frozenset[str] = frozenset()
