"""Order the work that waits for a backend server of one pool."""

import heapq
from collections.abc import Callable

from attrs import field, frozen

from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.work import Work

MAX_WAITING = {Rank.PAYING: 2_000, Rank.TRIAL: 500}
# A peer that is not heard any more must not hold trial work back for good.
PEER_WAITING_GOOD_FOR_S = 2.0
RANK_ORDER = (Rank.PAYING, Rank.TRIAL)


@frozen(kw_only=True)
class _PeerWaiting:
    paying: int
    trial: int
    heard_unix_s: float


@frozen(order=True)
class _Entry:
    due_unix_s: float
    sequence: int
    work: Work = field(order=False)


class WorkQueue:
    """Hold waiting work: paying before trial, then by the time it is due."""

    def __init__(self, pool: str) -> None:
        self.pool = pool
        self._sequence = 0
        self._heaps: dict[Rank, list[_Entry]] = {rank: [] for rank in Rank}
        self._by_id: dict[str, _Entry] = {}
        self._counts: dict[Rank, int] = dict.fromkeys(Rank, 0)
        self._peers: dict[str, _PeerWaiting] = {}

    def is_full(self, rank: Rank) -> bool:
        """Say whether a rank's bound is reached."""
        return self._counts[rank] >= MAX_WAITING[rank]

    def push(self, work: Work, now_unix_s: float) -> None:
        """Add work; the same request twice counts once."""
        if work.request_id in self._by_id:
            return
        self._sequence += 1
        entry = _Entry(_due(work, now_unix_s), self._sequence, work)
        self._by_id[work.request_id] = entry
        self._counts[work.rank] += 1
        heapq.heappush(self._heaps[work.rank], entry)

    def pop_next(self, now_unix_s: float, may_take: Callable[[Work], bool]) -> Work | None:
        """Take the first work that may be taken; trial only when no paying work waits."""
        work = self._pop(Rank.PAYING, may_take)
        if work is not None or self.paying_waits(now_unix_s):
            return work
        return self._pop(Rank.TRIAL, may_take)

    def remove(self, request_id: str) -> bool:
        """Drop work that its caller gave up; say whether it waited here."""
        entry = self._by_id.pop(request_id, None)
        if entry is None:
            return False
        self._counts[entry.work.rank] -= 1
        self._prune(entry.work.rank)
        return True

    def expired(self, now_unix_s: float) -> list[Work]:
        """Take out the work whose deadline has passed."""
        late = [e.work for e in self._by_id.values() if e.work.deadline_unix_s <= now_unix_s]
        for work in late:
            self.remove(work.request_id)
        return late

    def waiting(self, rank: Rank) -> int:
        """Count a rank's waiting work here."""
        return self._counts[rank]

    def observe_peer_waiting(self, vm: str, paying: int, now_unix_s: float, trial: int = 0) -> None:
        """Take in how much work waits at a peer of this region."""
        self._peers[vm] = _PeerWaiting(paying=paying, trial=trial, heard_unix_s=now_unix_s)

    def forget_peer(self, vm: str) -> None:
        """Drop a peer that left."""
        self._peers.pop(vm, None)

    def paying_waits(self, now_unix_s: float) -> bool:
        """Say whether paying work waits here or at a peer."""
        return self._counts[Rank.PAYING] > 0 or any(
            peer.paying > 0 for peer in self._heard_peers(now_unix_s)
        )

    def expected_wait_s(self, work: Work, drain_per_s: float, now_unix_s: float) -> float:
        """Return the seconds until new work would leave the queue."""
        ahead = self._ahead_of(work, now_unix_s) + self._ahead_at_peers(work.rank, now_unix_s)
        return ahead / max(drain_per_s, 1e-6)

    def _ahead_of(self, work: Work, now_unix_s: float) -> int:
        due_unix_s = _due(work, now_unix_s)
        same = sum(
            1
            for entry in self._by_id.values()
            if entry.work.rank is work.rank and entry.due_unix_s <= due_unix_s
        )
        return same + (self._counts[Rank.PAYING] if work.rank is Rank.TRIAL else 0)

    def _ahead_at_peers(self, rank: Rank, now_unix_s: float) -> int:
        peers = self._heard_peers(now_unix_s)
        return sum(p.paying + (p.trial if rank is Rank.TRIAL else 0) for p in peers)

    def _heard_peers(self, now_unix_s: float) -> list[_PeerWaiting]:
        oldest_unix_s = now_unix_s - PEER_WAITING_GOOD_FOR_S
        return [peer for peer in self._peers.values() if peer.heard_unix_s >= oldest_unix_s]

    def _pop(self, rank: Rank, may_take: Callable[[Work], bool]) -> Work | None:
        skipped: list[_Entry] = []
        taken: Work | None = None
        heap = self._heaps[rank]
        while heap and taken is None:
            entry = heapq.heappop(heap)
            if self._by_id.get(entry.work.request_id) is not entry:
                continue
            if may_take(entry.work):
                taken = entry.work
                continue
            skipped.append(entry)
        for entry in skipped:
            heapq.heappush(heap, entry)
        if taken is not None:
            self.remove(taken.request_id)
        return taken

    def _prune(self, rank: Rank) -> None:
        """Drop removed entries once they outnumber the waiting ones."""
        heap = self._heaps[rank]
        if len(heap) <= 2 * self._counts[rank] + 16:
            return
        self._heaps[rank] = [e for e in heap if self._by_id.get(e.work.request_id) is e]
        heapq.heapify(self._heaps[rank])


def _due(work: Work, now_unix_s: float) -> float:
    """Return when work must start: its target, or its deadline once the target is lost."""
    if work.first_token_due_unix_s >= now_unix_s:
        return min(work.first_token_due_unix_s, work.deadline_unix_s)
    return work.deadline_unix_s
