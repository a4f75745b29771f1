"""The size that the users expect within two years, and what follows for one region."""

from collections.abc import Sequence

DAEMONS = 340
SERVERS = 2_200
REGIONS = 17
FAILURE_DOMAINS = 35
REQUESTS_PER_S = 1_900
TOKENS_PER_S = 430_000
ACCOUNTS = 400
MODELS = 24
CHANGES_PER_DAY = 12_000
FAILURES_PER_DAY = 38
REPLACEMENTS_PER_DAY = 170
SECONDS_PER_DAY = 86_400
CAPACITY_RATIO = 10.0

CPU_BUDGET_S_PER_S = 0.017
MEMORY_BUDGET_BYTES = 128_000_000
BYTES_BUDGET_PER_S = 21_000
IN_FORCE_BUDGET_S = 11.0
PLATFORM_READS_PER_S = 2_000

# Measured by the users' own letter only as a rate; the time between tokens is the target.
SECONDS_PER_TOKEN = 0.025


def region_shares(regions: int = REGIONS, ratio: float = CAPACITY_RATIO) -> Sequence[float]:
    """Return each region's share of the whole, in equal steps from 1 to the ratio, by factor."""
    weights = [ratio ** (number / (regions - 1)) for number in range(regions)]
    return [weight / sum(weights) for weight in weights]


def split(total: int) -> list[int]:
    """Return how many of a total each region has, smallest region first."""
    shares = region_shares()
    parts = [max(1, int(total * share)) for share in shares]
    by_rest = sorted(range(len(parts)), key=lambda n: parts[n] - total * shares[n])
    for number in by_rest[: total - sum(parts)]:
        parts[number] += 1
    return parts
