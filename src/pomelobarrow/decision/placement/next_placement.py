"""Choose the next queued request to place, and its backend server."""

from collections.abc import Callable
from random import Random

from attrs import frozen

from pomelobarrow.decision.admission.work_queue import WorkQueue
from pomelobarrow.decision.placement.server_choice import WARM, choose_server
from pomelobarrow.decision.requests.work import Placement, Work
from pomelobarrow.decision.servers.load_table import LoadTable

# How many requests at the head of the queue are examined. One whose prefix the free server has
# cached may overtake those before it.
MAX_QUEUE_LOOKAHEAD = 16
# Returns a request's placement, or None while no server has capacity for it.
ServerChooser = Callable[[LoadTable, Work, float, Random, frozenset[str]], Placement | None]


@frozen
class PlacedWork:
    """A request taken from the queue, with its placement."""

    work: Work
    placement: Placement


def next_placement(
    queue: WorkQueue,
    table: LoadTable,
    excluded: Callable[[Work], frozenset[str]],
    now_unix_s: float,
    random: Random,
    choose: ServerChooser = choose_server,
) -> PlacedWork | None:
    """Dequeue the first request with a cached prefix on a free server, else the first that fits.

    In a full pool only the server that just freed a slot has capacity. If the head of the queue
    were always taken, most prompts would go to servers that haven't cached their prefix. The extra
    prefill lowers the pool's capacity, so that it would stay full after the overload is over.
    """
    first: PlacedWork | None = None
    for work in queue.first(MAX_QUEUE_LOOKAHEAD, now_unix_s):
        placement = choose(table, work, now_unix_s, random, excluded(work))
        if placement is None:
            continue
        placed = PlacedWork(work, placement)
        if placement.reason == WARM:
            first = placed
            break
        first = first or placed
    if first is not None:
        queue.take(first.work, now_unix_s)
    return first
