"""Compensate for work that other VMs have placed since their last heartbeats."""

import math
from collections.abc import Sequence
from random import Random

# Unseen work arrives evenly over the time since the last heartbeats, so on average this share of it
# has arrived.
MEAN_ARRIVED_SHARE = 0.5


def decayed_to_mean(values: Sequence[float], age_s: float, memory_s: float) -> list[float]:
    """Move old values towards their mean, since part of the work has been completed by now."""
    mean = sum(values) / len(values)
    kept = math.exp(-age_s / max(memory_s, 1e-3))
    return [mean + kept * (value - mean) for value in values]


def choose_index(waits_s: Sequence[float], unseen_s: float, random: Random) -> int:
    """Return the index of the server for one piece of work, given the seconds of unseen work.

    Without unseen work that is the server with the shortest wait. Otherwise all VMs would choose
    the same server and overload it before the next heartbeat. Each VM therefore chooses at random,
    weighted by the unseen work that each server would take if it filled all of them to one level
    (Dahlin, "Interpreting Stale Load Information").
    """
    level_s = fill_level_s(waits_s, unseen_s)
    weights = [max(0.0, level_s - wait) for wait in waits_s]
    if sum(weights) <= 0.0:
        least = min(waits_s)
        return random.choice([i for i, wait in enumerate(waits_s) if wait <= least])
    return random.choices(range(len(weights)), weights)[0]


def with_unseen_work(waits_s: Sequence[float], unseen_s: float) -> list[float]:
    """Return the waits including the unseen work that has arrived by now on average."""
    level_s = fill_level_s(waits_s, unseen_s)
    return [wait + max(0.0, level_s - wait) * MEAN_ARRIVED_SHARE for wait in waits_s]


def fill_level_s(waits_s: Sequence[float], unseen_s: float) -> float:
    """Return the common wait that results from filling the shortest waits with unseen work."""
    ordered = sorted(waits_s)
    filled_s = 0.0
    for count, wait in enumerate(ordered, start=1):
        following = ordered[count] if count < len(ordered) else float("inf")
        step_s = (following - wait) * count
        if filled_s + step_s >= unseen_s:
            return wait + (unseen_s - filled_s) / count
        filled_s += step_s
    return ordered[-1]
