"""Split a pool's servers between long prompts and short ones.

Load pattern: short prompts with long answers fill a region's engines, and long prompts come among
them. Spread evenly, each engine gets both, and each long prompt delays dozens of streams; kept to
a few engines, long prompts delay one another only. As in size-interval task assignment, the border
follows the load, and all VMs take the servers in the same order with nothing exchanged.
"""

import functools
import math
from collections.abc import Sequence

from pomelobarrow.decision.rendezvous import rendezvous
from pomelobarrow.decision.work import BackendServer

# Of its time, what an engine for long prompts spends reading: more leaves no room for their clumps.
READING_SHARE = 0.4
LONG_PROMPT_TOKENS = 2_000
# Lists of servers whose order is kept; hashing some tens of them for each request costs too much.
MAX_ORDERS = 64
# A server on the wrong side of the border costs so much more. The gain of a first answer that is
# sooner by more than that is worth crossing it.
WRONG_SIDE_COST_S = 0.15


def long_prompt_servers(
    pool: str, servers: Sequence[BackendServer], long_reading_share: float, has_short: bool
) -> frozenset[str]:
    """Return the names of the servers for long prompts, given what these take of all together."""
    names = [server.name for server in servers]
    if not has_short or len(names) < 2:
        return frozenset(names)
    count = math.ceil(long_reading_share * len(names) / READING_SHARE)
    count = min(len(names) - 1, max(1, count))
    return frozenset(_in_order(pool, tuple(names))[:count])


@functools.lru_cache(MAX_ORDERS)
def _in_order(pool: str, names: tuple[str, ...]) -> tuple[str, ...]:
    return rendezvous(f"long prompts/{pool}", names, len(names))


def wrong_side_cost_s(is_long: bool, is_for_long: bool, is_split: bool) -> float:
    """Return what it costs to send a prompt across the border, in seconds."""
    return WRONG_SIDE_COST_S if is_split and is_long is not is_for_long else 0.0
