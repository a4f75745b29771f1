"""Estimate how long a new request waits in a region's pool."""

from pomelobarrow.decision.admission.work_queue import WorkQueue
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.decision.servers.load_table import LoadTable

MIN_DRAIN_PER_S = 1e-6
# In a full pool a request waits at least for the next slot.
SLOTS_AHEAD = 1.0


def expected_wait_s(table: LoadTable, queue: WorkQueue, work: Work, now_unix_s: float) -> float:
    """Return the seconds until a server starts a new request: wait in the queue and at the server.

    The queue alone doesn't show that a pool is nearly full: prefill that is pending at its servers
    delays the first token too. A region that sent peers only its queue's wait would attract
    requests that it then delays.
    """
    ahead = queue.ahead(work, now_unix_s)
    drain_per_s = max(table.drain_per_s(work.pool, now_unix_s), MIN_DRAIN_PER_S)
    wait_per_request_ahead_s = max(
        1.0 / drain_per_s, queue.wait_per_request_ahead_s(work.rank, now_unix_s)
    )
    return ahead * wait_per_request_ahead_s + server_wait_s(table, work.pool, now_unix_s)


def server_wait_s(table: LoadTable, pool: str, now_unix_s: float) -> float:
    """Return the mean prefill and slot wait of a pool's servers."""
    states = table.usable(pool, now_unix_s)
    if not states:
        return float("inf")
    times = table.service_times(pool)
    tokens = sum(s.own_tokens + s.others_tokens for s in states) / len(states)
    slots = sum(s.slots for s in states)
    over_slots = max(0.0, sum(s.requests for s in states) + SLOTS_AHEAD - slots)
    return tokens * times.s_per_prefill_token + over_slots * times.hold_s / max(slots, 1.0)
