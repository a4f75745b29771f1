"""Decide what clients may make this process hold: connections, and bytes sent and not read.

Load pattern: clients open many connections, send large heads and bodies that stop short of their
end, send requests ahead of their answers, and don't read these. Others send small requests
meanwhile, and some send large ones over slow links.
"""

import enum
import math
from collections import OrderedDict
from collections.abc import Callable, Mapping

from attrs import define, evolve, field, frozen

# A client that has neither sent nor read MIN_PROGRESS_BYTES for this long has stalled. Its memory
# and its connection go to others if there is no room left.
STALLED_S = 2.0
MIN_PROGRESS_BYTES = 4 << 10
# What each connection may hold without a decision. It is a part of the cost of a connection, so
# that small requests need none.
UNCOUNTED_BYTES = 16 << 10
# Only holdings up to this size may take the last part of the budget.
SMALL_HOLDING_BYTES = 128 << 10
SMALL_RESERVE_SHARE = 0.25


class Phase(enum.Enum):
    """What a connection waits for."""

    # The next request of its client.
    IDLE = "idle"
    # The rest of a request.
    RECEIVING = "receiving"
    # The start of a request that was sent ahead of an answer.
    QUEUED = "queued"
    # This process or a backend server.
    RUNNING = "running"
    # The client to read an answer.
    SENDING = "sending"


class Queue(enum.Enum):
    """Connections that may be closed for others, by what is lost with them."""

    IDLE = "idle"
    # A part of a head.
    SMALL = "small"
    # Requests that haven't started.
    QUEUED = "queued"
    # A part of a request or of an answer that takes memory.
    LARGE = "large"


@frozen(kw_only=True)
class HeldBytes:
    """What is counted of one connection."""

    # Heads, requests that wait, and what the kernel holds of those that follow.
    head_bytes: int = 0
    body_bytes: int = 0
    # Answers that the client has not read.
    answer_bytes: int = 0

    @property
    def counted_bytes(self) -> int:
        """Return the size that takes a part of the budget."""
        size_bytes = self.head_bytes + self.body_bytes + self.answer_bytes
        return size_bytes if size_bytes > UNCOUNTED_BYTES else 0


NOTHING_HELD = HeldBytes()
# Where connections belong whatever they hold.
QUEUE_BY_PHASE: Mapping[Phase, Queue | None] = {
    Phase.IDLE: Queue.IDLE,
    Phase.QUEUED: Queue.QUEUED,
    Phase.RUNNING: None,
}


@define(kw_only=True, eq=False)
class Holding:
    """What one connection holds, and since when it waits for its client."""

    # Returns the size of the answers that the client has not read by now.
    unread_bytes: Callable[[], int] = lambda: 0
    # Ends the connection; called by whoever applies a decision that evicts it.
    on_evicted: Callable[[], None] = lambda: None
    # The most that this connection may hold, however much room there is.
    max_bytes: float = math.inf
    phase: Phase = Phase.IDLE
    held: HeldBytes = NOTHING_HELD
    waiting_since_unix_s: float = 0.0
    is_open: bool = False
    queue: Queue | None = None
    # Received since the last progress.
    received_bytes: int = 0

    def queue_by_state(self) -> Queue | None:
        """Return where the connection belongs; None while it waits for no client."""
        if self.phase in QUEUE_BY_PHASE:
            return QUEUE_BY_PHASE[self.phase]
        return Queue.LARGE if self.held.counted_bytes else Queue.SMALL


@frozen(kw_only=True)
class BudgetLimits:
    """The connections of a budget, and the bytes that they may hold together."""

    connections: int
    held_bytes: int


@frozen(kw_only=True)
class Decision:
    """Whether a connection may be opened or may grow, and which others are closed for it."""

    is_granted: bool
    evicted: tuple[Holding, ...] = ()


GRANTED = Decision(is_granted=True)
REFUSED = Decision(is_granted=False)


@define(kw_only=True)
class ProcessBudget:
    """The bytes that the clients of all listeners may hold together."""

    limit_bytes: int
    held_bytes: int = field(default=0, init=False)


@define(kw_only=True)
class ClientBudget:
    """Divide connections and bytes among the clients of some listeners."""

    limits: BudgetLimits
    process: ProcessBudget
    held_bytes: int = field(default=0, init=False)
    connections: int = field(default=0, init=False)
    # Those that have waited for their clients for the longest time come first.
    _queues: dict[Queue, "OrderedDict[Holding, None]"] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._queues = {queue: OrderedDict() for queue in Queue}

    def open(self, holding: Holding, now_unix_s: float) -> Decision:
        """Count a new connection; if it is one too many, close another or refuse it."""
        decision = GRANTED
        if self.connections >= self.limits.connections:
            victim = self._least_used(now_unix_s)
            if victim is None:
                return REFUSED
            self.close(victim)
            decision = Decision(is_granted=True, evicted=(victim,))
        holding.is_open, holding.queue = True, Queue.IDLE
        holding.waiting_since_unix_s = now_unix_s
        self.connections += 1
        self._queues[Queue.IDLE][holding] = None
        return decision

    def close(self, holding: Holding) -> None:
        """Give back all that a connection holds."""
        if not holding.is_open:
            return
        holding.is_open = False
        self.connections -= 1
        self._count(-holding.held.counted_bytes)
        holding.held = NOTHING_HELD
        self._unqueue(holding)

    def move(self, holding: Holding, phase: Phase, now_unix_s: float) -> None:
        """Record what a connection waits for from now on."""
        holding.phase = phase
        holding.received_bytes = 0
        holding.waiting_since_unix_s = now_unix_s
        if holding.is_open:
            self._unqueue(holding)
            if phase is not Phase.RUNNING:
                self._queue(holding)

    def note_received(self, holding: Holding, size_bytes: int, now_unix_s: float) -> None:
        """Record bytes of a client; enough of them are progress."""
        holding.received_bytes += size_bytes
        if holding.received_bytes >= MIN_PROGRESS_BYTES:
            self._note_progress(holding, now_unix_s)

    def resize(self, holding: Holding, held: HeldBytes, now_unix_s: float) -> Decision:
        """Let a connection hold this much, if there is room or others have stalled."""
        counted_bytes = held.counted_bytes
        if not holding.is_open or counted_bytes > holding.max_bytes:
            return REFUSED
        grown_bytes = counted_bytes - holding.held.counted_bytes
        evicted = self._make_room(holding, counted_bytes, grown_bytes, now_unix_s)
        if grown_bytes > max(0, self._free_bytes(counted_bytes)):
            return Decision(is_granted=False, evicted=evicted)
        self._set_held(holding, held)
        return Decision(is_granted=True, evicted=evicted) if evicted else GRANTED

    def note_unread(self, holding: Holding, now_unix_s: float) -> Decision:
        """Record what a client has not read, which can't be refused; close stalled ones for it."""
        if not holding.is_open:
            return GRANTED
        self._set_held(holding, evolve(holding.held, answer_bytes=holding.unread_bytes()))
        evicted = self._make_room(holding, 0, 0, now_unix_s)
        return Decision(is_granted=True, evicted=evicted) if evicted else GRANTED

    def _make_room(
        self, holding: Holding, size_bytes: int, grown_bytes: int, now_unix_s: float
    ) -> tuple[Holding, ...]:
        """Close connections whose clients have stalled until one may grow; return them."""
        evicted: list[Holding] = []
        while grown_bytes >= 0 and grown_bytes > self._free_bytes(size_bytes):
            victim = self._stalled(now_unix_s, holding)
            if victim is None:
                break
            self.close(victim)
            evicted.append(victim)
        return tuple(evicted)

    def _free_bytes(self, size_bytes: int) -> int:
        limit_bytes = self.limits.held_bytes
        is_large = size_bytes > SMALL_HOLDING_BYTES
        reserved_bytes = int(SMALL_RESERVE_SHARE * limit_bytes) if is_large else 0
        own_bytes = limit_bytes - reserved_bytes - self.held_bytes
        return min(own_bytes, self.process.limit_bytes - self.process.held_bytes)

    def _count(self, grown_bytes: int) -> None:
        self.held_bytes += grown_bytes
        self.process.held_bytes += grown_bytes

    def _least_used(self, now_unix_s: float) -> Holding | None:
        """Return the connection that has waited for a request, or the rest of a small one, longest.

        The first bytes of a new connection may be in transit, so that it comes last. Without such a
        connection, one is returned whose requests haven't started or whose client has stalled.
        """
        queues = (self._queues[Queue.IDLE], self._queues[Queue.SMALL])
        longest = [next(iter(queue)) for queue in queues if queue]
        if longest:
            return min(longest, key=lambda holding: holding.waiting_since_unix_s)
        return next(iter(self._queues[Queue.QUEUED]), None) or self._stalled(now_unix_s)

    def _stalled(self, now_unix_s: float, growing: Holding | None = None) -> Holding | None:
        """Return the connection that takes memory and whose client has stalled for the longest."""
        while True:
            others = (each for each in self._queues[Queue.LARGE] if each is not growing)
            holding = next(others, None)
            if holding is None or now_unix_s - holding.waiting_since_unix_s < STALLED_S:
                return None
            if not self._has_read(holding):
                return holding
            self._note_progress(holding, now_unix_s)

    def _has_read(self, holding: Holding) -> bool:
        """Return whether a client has read from its answer since the last look."""
        unread_bytes = holding.unread_bytes()
        if holding.phase is not Phase.SENDING or unread_bytes >= holding.held.answer_bytes:
            return False
        self._set_held(holding, evolve(holding.held, answer_bytes=unread_bytes))
        return True

    def _note_progress(self, holding: Holding, now_unix_s: float) -> None:
        holding.received_bytes = 0
        holding.waiting_since_unix_s = now_unix_s
        if holding.queue is not None:
            self._queues[holding.queue].move_to_end(holding)

    def _set_held(self, holding: Holding, held: HeldBytes) -> None:
        self._count(held.counted_bytes - holding.held.counted_bytes)
        holding.held = NOTHING_HELD if held == NOTHING_HELD else held
        self._queue(holding)

    def _queue(self, holding: Holding) -> None:
        queue = holding.queue_by_state()
        if queue is holding.queue:
            return
        self._unqueue(holding)
        holding.queue = queue
        if queue is not None:
            self._queues[queue][holding] = None

    def _unqueue(self, holding: Holding) -> None:
        if holding.queue is not None:
            del self._queues[holding.queue][holding]
            holding.queue = None
