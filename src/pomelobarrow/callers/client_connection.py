"""Serve the HTTP connections of clients within a budget that they share.

What a client sends and doesn't read is counted here; `decision/admission/client_budget.py` decides
what is held, refused and closed.
"""

import asyncio
import enum
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.http import HttpRequestParser
from aiohttp.streams import StreamReader
from attrs import define, field, frozen

from pomelobarrow.callers.body_waits import BodyWait, MayWait
from pomelobarrow.callers.request_turns import RequestTurns
from pomelobarrow.decision.admission.client_budget import (
    GRANTED,
    NOTHING_HELD,
    UNCOUNTED_BYTES,
    ClientBudget,
    Decision,
    HeldBytes,
    Holding,
    Phase,
)
from pomelobarrow.kernel.clock import now_unix_s

# The most that is received and parsed at once, and the bytes of a body that wait to be read.
RECEIVE_BYTES = 64 << 10
# What the kernel keeps of a connection that isn't read, twice the size of its receive buffer.
KERNEL_BUFFER_BYTES = 2 * RECEIVE_BYTES
# Chunks of few bytes take long to parse, so that less is received at once where they come.
RECEIVE_FRAMED_BYTES = 8 << 10
MAX_FRAMING_SHARE = 1 / 16
# Requests that are parsed while the one before them on the connection is in progress.
MAX_QUEUED_REQUESTS = 2
MAX_HEADER_LINES = 128
# The objects that a head is parsed to, by its size.
HEAD_FACTOR = 2
# For how long the rest of a refused body is read, so that its client gets the refusal.
LINGER_S = 1.0


class ClientStalledError(Exception):
    """Raised to the reader of a body whose memory has gone to another client."""


class Limit(enum.Enum):
    """Enumerate the limits of a budget."""

    CONNECTIONS = "connections"
    MEMORY = "memory"


@frozen(kw_only=True)
class ClientLimited:
    """Report that a limit refused a client something, or closed a connection for another client."""

    listener: str
    limit: str
    # "refused" or "closed".
    action: str
    # What the connection waited for, what it held, and what all of its budget held.
    phase: str
    held_bytes: int
    budget_held_bytes: int
    connections: int


@define(kw_only=True, eq=False)
class ClientGate:
    """Apply the decisions of a budget to the connections of one listener."""

    listener: str
    budget: ClientBudget
    observe: Callable[[object], None] = lambda event: None
    turns: RequestTurns = field(factory=RequestTurns, init=False)

    def open(self, holding: Holding) -> bool:
        """Return whether a new connection may stay."""
        decision = self.budget.open(holding, now_unix_s())
        return decision is GRANTED or self._apply(decision, holding, Limit.CONNECTIONS)

    def resize(self, holding: Holding, held: HeldBytes) -> bool:
        """Return whether a connection may hold this much."""
        decision = self.budget.resize(holding, held, now_unix_s())
        return decision is GRANTED or self._apply(decision, holding, Limit.MEMORY)

    def note_unread(self, holding: Holding) -> None:
        """Count what a client has not read."""
        decision = self.budget.note_unread(holding, now_unix_s())
        if decision is not GRANTED:
            self._apply(decision, holding, Limit.MEMORY)

    def _apply(self, decision: Decision, holding: Holding, limit: Limit) -> bool:
        for victim in decision.evicted:
            self._report(limit, "closed", victim)
            victim.on_evicted()
        if not decision.is_granted:
            self._report(limit, "refused", holding)
        return decision.is_granted

    def _report(self, limit: Limit, action: str, holding: Holding) -> None:
        self.observe(
            ClientLimited(
                listener=self.listener,
                limit=limit.value,
                action=action,
                phase=holding.phase.value,
                held_bytes=holding.held.counted_bytes,
                budget_held_bytes=self.budget.held_bytes,
                connections=self.budget.connections,
            )
        )


def has_queued_requests(request: web.BaseRequest) -> bool:
    """Return whether requests that have arrived on a connection wait for this one."""
    connection = request.protocol
    return isinstance(connection, ClientConnection) and connection.open_requests > 1


class ClientConnection(web.RequestHandler):
    """Count what one connection holds, and end it if the budget has gone to others."""

    def __init__(
        self,
        manager: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        gate: ClientGate,
        max_line_bytes: int,
        **options: Any,
    ) -> None:
        super().__init__(
            manager,
            loop=loop,
            read_bufsize=RECEIVE_BYTES,
            max_headers=MAX_HEADER_LINES,
            max_field_size=max_line_bytes,
            max_line_size=max_line_bytes,
            **options,
        )
        self._limit_queue(loop, max_line_bytes)
        self._gate = gate
        self._holding = Holding(unread_bytes=self._unread_bytes, on_evicted=self._on_evicted)
        # The sizes of the heads of requests that have not ended, the one in progress first.
        self._head_sizes: deque[int] = deque()
        self._head_bytes = 0
        # The part of a head that has arrived.
        self._partial_bytes = 0
        # The body of the last request until it has arrived.
        self._body: StreamReader | None = None
        self._content_bytes = 0
        # True if the next request arrived before the answer to the one before it.
        self._is_sent_ahead = False
        self._awaits_turn = False
        # Whether the handler of the request in progress waits for its body.
        self.body_wait: BodyWait | None = None
        # When the client last sent a part of a body that was refused.
        self._refused_received_unix_s = 0.0

    def _limit_queue(self, loop: asyncio.AbstractEventLoop, max_line_bytes: int) -> None:
        # aiohttp has no option for it.
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._parser = HttpRequestParser(
            self,
            loop,
            RECEIVE_BYTES,
            max_line_size=max_line_bytes,
            max_field_size=max_line_bytes,
            max_headers=MAX_HEADER_LINES,
            payload_exception=web.RequestPayloadError,
            # Bodies are forwarded unchanged. Decompressed here, a small one could fill the memory.
            auto_decompress=False,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )

    @property
    def open_requests(self) -> int:
        """Return the number of requests whose heads have arrived and that aren't answered."""
        return len(self._head_sizes)

    def refuse_late_body(self, may_wait: MayWait) -> bool:
        """Refuse the request in progress unless its body may still come; return whether it is."""
        wait = self.body_wait
        if wait is None or may_wait(wait.deadline_unix_s):
            return False
        # Many clients read an answer only once they have sent all.
        now = self._refused_received_unix_s = now_unix_s()
        self._lingering_time = max(LINGER_S, wait.deadline_unix_s - now)
        return wait.refuse()

    def still_sends(self, now_unix_s: float) -> bool:
        """Return whether the client still sends the body of a request that has been answered."""
        is_answered = not self._head_sizes and self._body is not None and not self._body.is_eof()
        return is_answered and now_unix_s - self._refused_received_unix_s < LINGER_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection; close it if there is no room for it."""
        super().connection_made(transport)
        transport.max_size = RECEIVE_BYTES  # type: ignore[attr-defined]
        transport.set_write_buffer_limits(high=UNCOUNTED_BYTES)  # type: ignore[attr-defined]
        if not self._gate.open(self._holding):
            self._abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back all that the connection held."""
        self._gate.budget.close(self._holding)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what arrives, and count it."""
        requests_before, size_bytes = self._request_count, len(data)
        super().data_received(data)
        requests = self._request_count - requests_before
        if not self._holding.is_open or not (requests or size_bytes or self._body is not None):
            return
        if requests:
            self._count_requests(requests, size_bytes)
        elif self._body is None:
            self._partial_bytes += size_bytes
        else:
            self._count_body(self._body, size_bytes)
        phase = self._phase()
        if phase is not self._holding.phase:
            self._gate.budget.move(self._holding, phase, now_unix_s())
        if phase is Phase.RECEIVING:
            self._gate.budget.note_received(self._holding, size_bytes, now_unix_s())
        if self._holds_much() and not self._gate.resize(self._holding, self._held()):
            self._hold_back()

    def pause_writing(self) -> None:
        """Count what the client has not read."""
        super().pause_writing()
        self._gate.note_unread(self._holding)
        self._update_phase()

    def resume_writing(self) -> None:
        """Count what the client has read."""
        super().resume_writing()
        self._gate.note_unread(self._holding)
        self._update_phase()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Let a request that was sent ahead wait for its turn."""
        if self._is_sent_ahead:
            await self._take_turn()
        return await super()._handle_request(request, start_time, request_handler)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Give back what the request held once it is answered."""
        result = await super().finish_response(request, resp, start_time)
        self._is_sent_ahead = bool(self._messages)
        if isinstance(resp, BaseException):
            # Its frames refer to it, and so keep the request until the next garbage collection.
            resp.__traceback__ = None
        if self._head_sizes:
            self._head_bytes -= self._head_sizes.popleft()
        if self._holding.held is not NOTHING_HELD:
            self._gate.resize(self._holding, self._held(body_bytes=0))
        # The rest of a refused body may still come.
        if result[0].keep_alive or self._body is not None:
            self._update_phase()
        if self._buffer_paused and len(self._messages) <= self._msg_queue_resume_size:
            self._resume_reading_if_drained()
        return result

    def hold_body(self, size_bytes: int) -> bool:
        """Return whether the body of the request in progress may have this size."""
        if self._gate.resize(self._holding, self._held(body_bytes=size_bytes)):
            return True
        self._lingering_time = LINGER_S
        return False

    async def _take_turn(self) -> None:
        self._awaits_turn = True
        self._update_phase()
        try:
            await self._gate.turns.take()
        finally:
            self._awaits_turn = False
        if not self._holding.is_open:
            raise ConnectionResetError("the connection was closed before the request started")
        self._update_phase()

    def _count_requests(self, requests: int, size_bytes: int) -> None:
        # What arrives together is divided among the requests.
        share_bytes = (self._partial_bytes + size_bytes) // requests
        self._head_sizes += (share_bytes,) * requests
        self._head_bytes += share_bytes * requests
        self._partial_bytes = self._content_bytes = 0
        self._body = self._messages[-1][1]

    def _count_body(self, body: StreamReader, size_bytes: int) -> None:
        if self._messages:
            # It belongs to a request that waits for the one before it.
            self._head_sizes[-1] += size_bytes
            self._head_bytes += size_bytes
        if size_bytes:
            if not self._head_sizes:
                self._refused_received_unix_s = now_unix_s()
            self._adapt_receiving(body, size_bytes)

    def _adapt_receiving(self, body: StreamReader, size_bytes: int) -> None:
        """Receive less at once while much of what arrives are the sizes of chunks."""
        framing_bytes = size_bytes - (body.total_bytes - self._content_bytes)
        self._content_bytes = body.total_bytes
        if self.transport is not None:
            is_framed = framing_bytes > MAX_FRAMING_SHARE * size_bytes
            limit_bytes = RECEIVE_FRAMED_BYTES if is_framed else RECEIVE_BYTES
            self.transport.max_size = limit_bytes  # type: ignore[attr-defined]

    def _held(self, body_bytes: int | None = None) -> HeldBytes:
        held = self._holding.held
        paused_bytes = KERNEL_BUFFER_BYTES if self._buffer_paused else 0
        return HeldBytes(
            head_bytes=HEAD_FACTOR * (self._head_bytes + self._partial_bytes) + paused_bytes,
            body_bytes=held.body_bytes if body_bytes is None else body_bytes,
            answer_bytes=held.answer_bytes,
        )

    def _holds_much(self) -> bool:
        """Return whether what has arrived needs a decision."""
        if self._buffer_paused or self._holding.held is not NOTHING_HELD:
            return True
        return HEAD_FACTOR * (self._head_bytes + self._partial_bytes) > UNCOUNTED_BYTES

    def _hold_back(self) -> None:
        """Receive no more until a request has ended; close a connection that has none."""
        if self._head_sizes:
            if not self._buffer_paused:
                self._pause_reading_for_buffer()
        else:
            self._abort()

    def _update_phase(self) -> None:
        phase = self._phase()
        if phase is not self._holding.phase:
            self._gate.budget.move(self._holding, phase, now_unix_s())

    def _phase(self) -> Phase:
        if self._body is not None and self._body.is_eof():
            self._body = None
        if self._paused:
            return Phase.SENDING
        if self._awaits_turn:
            return Phase.QUEUED
        if self._head_sizes:
            # A body that waits behind a request in progress isn't read on.
            is_receiving = self._body is not None and not self._messages_wait()
            return Phase.RECEIVING if is_receiving else Phase.RUNNING
        is_receiving = self._body is not None or self._partial_bytes > 0
        return Phase.RECEIVING if is_receiving else Phase.IDLE

    def _messages_wait(self) -> bool:
        """Return whether requests wait for the one in progress."""
        return bool(self._messages) and self._current_request is not None

    def _unread_bytes(self) -> int:
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def _on_evicted(self) -> None:
        """End the connection, whose memory has gone to another one."""
        request = self._current_request
        if request is None or self._holding.phase is not Phase.RECEIVING:
            self._abort()
            return
        # Its handler answers that the request has not run.
        self._lingering_time = 0.0
        request.content.set_exception(ClientStalledError())

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.force_close()
