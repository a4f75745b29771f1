"""Rendezvous (highest random weight) hashing: every VM picks the same members independently."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import xxhash

T = TypeVar("T")


def weight(key: str, member: str) -> int:
    """Return the pseudo-random weight of a member for a key."""
    return xxhash.xxh64_intdigest(f"{key}\0{member}".encode())


def rendezvous(key: str, members: Iterable[str], count: int) -> tuple[str, ...]:
    """Pick the members with the highest weights; a membership change moves few keys."""
    ranked = sorted(set(members), key=lambda member: (weight(key, member), member), reverse=True)
    return tuple(ranked[:count])


def rendezvous_spread(
    key: str,
    members: Iterable[T],
    count: int,
    name_of: Callable[[T], str],
    domain_of: Callable[[T], str],
) -> tuple[T, ...]:
    """Pick like `rendezvous`, one member of each failure domain before a second of any."""
    by_name = {name_of(member): member for member in members}
    ranked = [by_name[name] for name in rendezvous(key, by_name, len(by_name))]
    taken_by_domain: dict[str, int] = {}
    rounds: list[tuple[int, int, T]] = []
    for position, member in enumerate(ranked):
        earlier = taken_by_domain.get(domain_of(member), 0)
        taken_by_domain[domain_of(member)] = earlier + 1
        rounds.append((earlier, position, member))
    rounds.sort(key=lambda item: item[:2])
    return tuple(member for _, _, member in rounds[:count])
