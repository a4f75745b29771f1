"""Make up for what other VMs did since they were last heard."""

import math
from collections.abc import Sequence
from random import Random

# What others placed unseen is spread evenly over the time since they were heard.
SEEN_LATE_SHARE = 0.5


def decayed_to_mean(values: Sequence[float], age_s: float, memory_s: float) -> list[float]:
    """Move old values towards their mean, as far as they have been worked off since."""
    mean = sum(values) / len(values)
    kept = math.exp(-age_s / max(memory_s, 1e-3))
    return [mean + kept * (value - mean) for value in values]


def choose_index(waits_s: Sequence[float], unseen_s: float, random: Random) -> int:
    """Return where to put one piece of work, given the seconds of work placed unseen.

    With nothing unseen that is the least wait. Else every VM sees the same least one and all send
    there, so that it is overfull before the next heartbeat. So each VM spreads its choices as the
    unseen work would fill the servers up to one level (Dahlin, "Interpreting stale load
    information").
    """
    level_s = fill_level_s(waits_s, unseen_s)
    weights = [max(0.0, level_s - wait) for wait in waits_s]
    if sum(weights) <= 0.0:
        least = min(waits_s)
        return random.choice([i for i, wait in enumerate(waits_s) if wait <= least])
    return random.choices(range(len(weights)), weights)[0]


def with_unseen_work(waits_s: Sequence[float], unseen_s: float) -> list[float]:
    """Return the waits with the unseen work that has come by now on average."""
    level_s = fill_level_s(waits_s, unseen_s)
    return [wait + max(0.0, level_s - wait) * SEEN_LATE_SHARE for wait in waits_s]


def fill_level_s(waits_s: Sequence[float], unseen_s: float) -> float:
    """Return the level that the unseen work fills the servers up to."""
    ordered = sorted(waits_s)
    filled_s = 0.0
    for count, wait in enumerate(ordered, start=1):
        following = ordered[count] if count < len(ordered) else float("inf")
        step_s = (following - wait) * count
        if filled_s + step_s >= unseen_s:
            return wait + (unseen_s - filled_s) / count
        filled_s += step_s
    return ordered[-1]
