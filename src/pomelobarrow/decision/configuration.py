"""The published configuration as checked values."""

import enum
from collections.abc import Mapping

from attrs import field, frozen

from pomelobarrow.decision.routing import Routing


class Rank(enum.Enum):
    """Say whether work is paid for; paying work goes before trial work everywhere."""

    PAYING = "paying"
    TRIAL = "trial"


class Objective(enum.Enum):
    """Say which measure a deployment weighs most."""

    COST = "cost"
    TAIL_LATENCY = "tail_latency"


class PoolKind(enum.Enum):
    """Say how a pool's backend servers are spoken to."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen(kw_only=True)
class WorkClass:
    """Hold what an operator states about one class of work."""

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
    """Name a model, the pool that serves it and the version that it should serve."""

    name: str
    pool: str
    version: str = ""


@frozen(kw_only=True)
class Account:
    """Hold one client account; only hashes of its tokens are published."""

    name: str
    token_sha256: tuple[str, ...]
    rank: Rank = Rank.PAYING
    home_region: str | None = None
    max_requests_per_s: float
    max_requests_in_flight: int


@frozen(kw_only=True)
class Pool:
    """Hold one pool of backend servers."""

    name: str
    kind: PoolKind
    service: str | None = None
    role: str = ""


@frozen(kw_only=True)
class Configuration:
    """Hold one whole, checked revision."""

    revision: int = 0
    objective: Objective = Objective.COST
    classes: Mapping[str, WorkClass] = field(factory=dict)
    models: Mapping[str, ModelSpec] = field(factory=dict)
    accounts: Mapping[str, Account] = field(factory=dict)
    pools: Mapping[str, Pool] = field(factory=dict)
    account_by_token_sha256: Mapping[str, Account] = field(factory=dict)
    # Routes of requests that are relayed as they came; None where none are published.
    routing: Routing | None = None
    # Failure domains whose backend servers get no new work.
    evacuated_domains: frozenset[str] = frozenset()
