"""Client accounts, their ranks and their limits."""

import enum
import hashlib

from attrs import frozen

MAX_REQUESTS_PER_S = 1_000_000
MAX_REQUESTS_IN_FLIGHT = 1_000_000


class Rank(enum.Enum):
    """Whether work is paid for; paying work takes precedence over trial work everywhere."""

    PAYING = "paying"
    TRIAL = "trial"


@frozen(kw_only=True)
class RateLimit:
    """A token bucket over all VMs, filled with cost units: requests, or tokens of prompts."""

    per_s: float
    burst: float
    counts_tokens: bool = False
    # The cost of a request that states no token count.
    default_cost: float = 1.0

    def cost(self, counted_tokens: int | None) -> float:
        """Return the cost of a request with this many tokens; None if it states none."""
        if not self.counts_tokens:
            return 1.0
        return self.default_cost if counted_tokens is None else float(counted_tokens)


@frozen(kw_only=True)
class Account:
    """A client account with its limits; only hashes of its keys are kept."""

    name: str
    token_sha256: tuple[str, ...]
    rank: Rank = Rank.PAYING
    home_region: str | None = None
    # Limits of the callers' interface.
    max_requests_per_s: float = MAX_REQUESTS_PER_S
    max_requests_in_flight: int = MAX_REQUESTS_IN_FLIGHT
    # Of relayed requests: replaces the route's urgency; None leaves that in force.
    urgency: int | None = None
    # Regions that may serve the account; empty means all.
    home_regions: tuple[str, ...] = ()
    # Limits relayed requests; None means no limit.
    limit: RateLimit | None = None


def key_sha256(key: str) -> str:
    """Return the hash under which an account's key is published and looked up."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
