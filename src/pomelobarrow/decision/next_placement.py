"""Choose which waiting work goes to a backend server next, and to which."""

from collections.abc import Callable
from random import Random

from attrs import frozen

from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.server_choice import WARM, choose_server
from pomelobarrow.decision.work import Placement, Work
from pomelobarrow.decision.work_queue import WorkQueue

# How many of the first in the queue may be passed by one whose prefix the free server holds.
LOOKED_AT = 16
# Returns the placement of some work, or None while no server has room for it.
ServerChooser = Callable[[LoadTable, Work, float, Random, frozenset[str]], Placement | None]


@frozen
class Placed:
    """Hold work taken from the queue with its place."""

    work: Work
    placement: Placement


def next_placement(
    queue: WorkQueue,
    table: LoadTable,
    excluded: Callable[[Work], frozenset[str]],
    now_unix_s: float,
    random: Random,
    choose: ServerChooser = choose_server,
) -> Placed | None:
    """Take the first work that finds its prefix where there is room, else the first with room.

    In a full pool only the server that just had a slot freed has room. Were the first in the queue
    always taken, all prompts would go to servers that don't hold their prefix; the prefill
    this costs lowers the capacity, and the pool would stay full after the overload is over.
    """
    first: Placed | None = None
    for work in queue.first(LOOKED_AT, now_unix_s):
        placement = choose(table, work, now_unix_s, random, excluded(work))
        if placement is None:
            continue
        placed = Placed(work, placement)
        if placement.reason == WARM:
            first = placed
            break
        first = first or placed
    if first is not None:
        queue.take(first.work, now_unix_s)
    return first
