"""Order the work that waits for a backend server of one pool."""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterator
from random import Random

from attrs import field, frozen

from pomelobarrow.decision.admission.queue_throughput import QueueThroughput
from pomelobarrow.decision.admission.retry_schedule import RetrySchedule
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.requests.work import Work

MAX_WAITING = {Rank.PAYING: 2_000, Rank.TRIAL: 500}
# The waiting count of a peer expires, so that a silent peer does not block trial work forever.
PEER_WAITING_TTL_S = 2.0
# Work that cannot be placed is skipped, as the next may be allowed on other servers. The number of
# skips is bounded: otherwise a full pool would be searched for every waiting request at each free
# slot.
MAX_SKIPPED = 4

# The fraction of the time to the first-token target that work may spend in the queue.
QUEUE_SHARE_OF_TARGET = 0.5

# Returns when work is due, as of a time.
DueFunction = Callable[[Work, float], float]


@frozen(order=True)
class _Entry:
    due_unix_s: float
    sequence: int
    work: Work = field(order=False)


@frozen(kw_only=True)
class _PeerWaiting:
    paying: int
    trial: int
    last_seen_unix_s: float


class WorkQueue:
    """Waiting work of one pool: paying before trial, then by due time.

    Work is due some time before its first-token target. Once that time has passed, the work
    is due at its deadline, so that a late request does not delay the next ones and is still served.
    """

    def __init__(self, pool: str, due: DueFunction | None = None) -> None:
        self.pool = pool
        self._due = due or due_unix_s
        self._sequence = 0
        self._ordered: dict[Rank, list[_Entry]] = {rank: [] for rank in Rank}
        self._by_id: dict[str, _Entry] = {}
        self._peers: dict[str, _PeerWaiting] = {}
        self._throughput = {rank: QueueThroughput() for rank in Rank}
        self._retry_schedules = {rank: RetrySchedule() for rank in Rank}

    def is_full(self, rank: Rank) -> bool:
        """Return whether the queue of a rank is full."""
        return self.waiting(rank) >= MAX_WAITING[rank]

    def push(self, work: Work, now_unix_s: float) -> None:
        """Add work; a request that is already queued is ignored."""
        if work.request_id in self._by_id:
            return
        self._throughput[work.rank].pushed(
            work.request_id, self.ahead(work, now_unix_s), now_unix_s
        )
        self._sequence += 1
        self._insert(_Entry(self._due(work, now_unix_s), self._sequence, work))

    def pop_next(self, now_unix_s: float, may_take: Callable[[Work], bool]) -> Work | None:
        """Remove and return the first work that may run, trial only if no paying work waits."""
        for work in self.first(MAX_SKIPPED + 1, now_unix_s):
            if may_take(work):
                self.take(work, now_unix_s)
                return work
        return None

    def take(self, work: Work, now_unix_s: float) -> None:
        """Remove work that has been assigned to a server."""
        self._throughput[work.rank].taken(work.request_id, now_unix_s)
        self.remove(work.request_id)

    def first(self, count: int, now_unix_s: float) -> list[Work]:
        """Return the next work: paying, or trial if no paying work waits."""
        self._reorder_late_entries(now_unix_s)
        rank = Rank.PAYING if self.has_waiting_paying(now_unix_s) else Rank.TRIAL
        return [entry.work for entry in self._ordered[rank][:count]]

    def remove(self, request_id: str) -> bool:
        """Remove work that its caller abandoned; return whether it was queued."""
        entry = self._by_id.pop(request_id, None)
        if entry is None:
            return False
        self._throughput[entry.work.rank].left(request_id)
        ordered = self._ordered[entry.work.rank]
        del ordered[bisect_left(ordered, entry)]
        return True

    def expired(
        self, now_unix_s: float, service_s: Callable[[Work], float] = lambda work: 0.0
    ) -> list[Work]:
        """Remove and return the work that can no longer finish by its deadline."""
        late = [
            entry.work
            for entry in self._by_id.values()
            if entry.work.deadline_unix_s <= now_unix_s + service_s(entry.work)
        ]
        for work in late:
            self.remove(work.request_id)
        return late

    def holds(self, request_id: str) -> bool:
        """Return whether a request is queued."""
        return request_id in self._by_id

    def waiting(self, rank: Rank) -> int:
        """Return the amount of queued work of a rank."""
        return len(self._ordered[rank])

    def observe_peer_waiting(self, vm: str, paying: int, now_unix_s: float, trial: int = 0) -> None:
        """Record how much work waits at a peer of this region."""
        self._peers[vm] = _PeerWaiting(paying=paying, trial=trial, last_seen_unix_s=now_unix_s)

    def forget_peer(self, vm: str) -> None:
        """Drop the counts of a peer that has left."""
        self._peers.pop(vm, None)

    def has_waiting_paying(self, now_unix_s: float) -> bool:
        """Return whether paying work waits here or at a peer."""
        if self._ordered[Rank.PAYING]:
            return True
        return any(peer.paying for peer in self._recent_peers(now_unix_s))

    def ahead(self, work: Work, now_unix_s: float) -> int:
        """Return how much work is ahead of new work, here and at peers."""
        return self._ahead_here(work, now_unix_s) + self._ahead_at_peers(work.rank, now_unix_s)

    def expected_wait_s(self, work: Work, drain_per_s: float, now_unix_s: float) -> float:
        """Return the wait of new work at the servers' drain rate."""
        return self.ahead(work, now_unix_s) / max(drain_per_s, 1e-6)

    def wait_per_request_ahead_s(self, rank: Rank, now_unix_s: float) -> float:
        """Return the recent wait per request ahead, zero if unknown."""
        return self._throughput[rank].wait_per_request_ahead_s(now_unix_s)

    def retry_at_unix_s(
        self, rank: Rank, expected_wait_s: float, now_unix_s: float, random: Random
    ) -> float:
        """Return when a caller whose work is refused should retry."""
        taken_per_s = self._throughput[rank].taken_per_s(now_unix_s)
        return self._retry_schedules[rank].reserve(expected_wait_s, taken_per_s, now_unix_s, random)

    def _ahead_here(self, work: Work, now_unix_s: float) -> int:
        entry = _Entry(self._due(work, now_unix_s), self._sequence + 1, work)
        same_rank = bisect_right(self._ordered[work.rank], entry)
        return same_rank + (self.waiting(Rank.PAYING) if work.rank is Rank.TRIAL else 0)

    def _ahead_at_peers(self, rank: Rank, now_unix_s: float) -> int:
        counts_trial = rank is Rank.TRIAL
        return sum(
            peer.paying + (peer.trial if counts_trial else 0)
            for peer in self._recent_peers(now_unix_s)
        )

    def _recent_peers(self, now_unix_s: float) -> Iterator[_PeerWaiting]:
        oldest_unix_s = now_unix_s - PEER_WAITING_TTL_S
        return (peer for peer in self._peers.values() if peer.last_seen_unix_s >= oldest_unix_s)

    def _insert(self, entry: _Entry) -> None:
        self._by_id[entry.work.request_id] = entry
        insort(self._ordered[entry.work.rank], entry)

    def _reorder_late_entries(self, now_unix_s: float) -> None:
        """Move the entries whose due time has passed to the position of their deadline."""
        for ordered in self._ordered.values():
            while ordered and ordered[0].due_unix_s < now_unix_s:
                entry = ordered[0]
                due = self._due(entry.work, now_unix_s)
                if due <= entry.due_unix_s:
                    break
                del ordered[0]
                self._insert(_Entry(due, entry.sequence, entry.work))


def due_unix_s(work: Work, now_unix_s: float) -> float:
    """Return when work should get a server, or its deadline once that time has passed.

    The rest of the time to the target is for prefill and batching on the server. If work were due
    at the target itself, in an overload every request would get its server slightly too late.
    """
    target_s = work.first_token_due_unix_s - work.accepted_unix_s
    due = work.accepted_unix_s + QUEUE_SHARE_OF_TARGET * target_s
    return work.deadline_unix_s if due < now_unix_s else min(due, work.deadline_unix_s)
