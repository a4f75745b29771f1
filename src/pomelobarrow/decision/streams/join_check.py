"""Judge by the ids of its first events whether a run goes on where a stream broke off.

Servers number their events as they like, so only a run itself shows in which steps it counts.
"""

import enum
from collections.abc import Sequence
from itertools import pairwise

# Numbers of 64 bits, such as times in nanoseconds, are compared as numbers; longer ones are random
# and compared as text.
MAX_ID_DIGITS = 20
# A number of equal steps by which a run is known to count.
MIN_EQUAL_STEPS = 2


class Join(enum.Enum):
    """Enumerate what the first ids of a run show."""

    CONTINUES = "continues"
    GOES_BACK = "goes back"
    LEAVES_OUT = "leaves out"
    # Later ids decide.
    OPEN = "open"


def judge_join(last_id: str, ids: Sequence[str]) -> Join:
    """Return whether ids, in the order of their events, continue those up to the last one."""
    # A run is judged by the same ids however many of them are read at a time.
    numbers = [_number(id_) for id_ in (last_id, *ids[: 1 + MIN_EQUAL_STEPS])]
    if None in numbers:
        return Join.GOES_BACK if ids[0] == last_id else Join.CONTINUES
    first_step, *steps = [after - before for before, after in pairwise(numbers)]  # type: ignore[operator]
    if first_step <= 0:
        return Join.GOES_BACK
    if first_step == 1 or any(step >= first_step for step in steps):
        return Join.CONTINUES
    if len(steps) < MIN_EQUAL_STEPS:
        return Join.OPEN
    return Join.LEAVES_OUT if len(set(steps)) == 1 else Join.CONTINUES


def _number(id_: str) -> int | None:
    is_number = id_.isascii() and id_.isdecimal() and len(id_) <= MAX_ID_DIGITS
    return int(id_) if is_number else None
