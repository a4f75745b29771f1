"""Carry bytes one way through the proxy: delayed, held and cut off as told."""

import asyncio
from collections import deque
from collections.abc import Callable

from attrs import define, field

MAX_PENDING_BYTES = 8 * 1024 * 1024
# Stands in the queue for the source's end, so that it keeps its place behind the bytes.
END = b""


def _end_writing(sink: asyncio.Transport) -> None:
    """Pass an end on; a sink whose reading is paused may have been reset without a notice."""
    try:
        sink.write_eof()
    except OSError:
        sink.abort()


@define(eq=False)
class Lane:
    """Hold the bytes on their way in one direction."""

    delay_s: float
    # The handshake of a real connection takes a round trip before the first byte may leave.
    open_at_s: float
    on_end: Callable[[], None] = lambda: None
    source: asyncio.Transport | None = None
    sink: asyncio.Transport | None = None
    delivered_bytes: int = 0
    is_held: bool = False
    is_ended: bool = False
    _is_sink_full: bool = False
    _is_reading: bool = True
    _pending: deque[tuple[float, bytes]] = field(factory=deque)
    _pending_bytes: int = 0
    _timer: asyncio.TimerHandle | None = None
    _budget_bytes: int | None = None
    _on_budget_spent: Callable[[], None] | None = None

    def arm(self, after_bytes: int, on_spent: Callable[[], None]) -> None:
        """Call back once so many more bytes are delivered, before the next one."""
        self._budget_bytes = after_bytes
        self._on_budget_spent = on_spent
        self._check_budget()

    def disarm(self) -> None:
        """Forget what was to happen after some bytes."""
        self._budget_bytes = None

    def feed(self, data: bytes) -> None:
        """Take bytes, or the end, from the source."""
        due_at_s = max(asyncio.get_running_loop().time(), self.open_at_s) + self.delay_s
        self._pending.append((due_at_s, data))
        self._pending_bytes += len(data)
        # With a delivery planned, what came before isn't due yet, and so neither is this.
        if self._timer is None or self._pending_bytes > MAX_PENDING_BYTES:
            self.pump()

    def set_held(self, held: bool) -> None:
        """Let nothing through, or go on with what waited."""
        self.is_held = held
        self.pump()

    def set_sink_full(self, full: bool) -> None:
        """Stop reading from the source while the sink takes no more."""
        self._is_sink_full = full
        self._update_reading()

    def pump(self) -> None:
        """Deliver what is due and plan the next delivery."""
        loop = asyncio.get_running_loop()
        while self._can_deliver() and self._pending[0][0] <= loop.time():
            self._deliver(self._pending.popleft()[1])
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._can_deliver():
            self._timer = loop.call_at(self._pending[0][0], self.pump)
        self._update_reading()

    def close(self) -> None:
        """Drop what is on its way."""
        self._pending.clear()
        self._pending_bytes = 0
        if self._timer is not None:
            self._timer.cancel()

    def _can_deliver(self) -> bool:
        return bool(self._pending) and not self.is_held and self.sink is not None

    def _deliver(self, data: bytes) -> None:
        assert self.sink is not None
        self._pending_bytes -= len(data)
        if data == END:
            self._deliver_end(self.sink)
            return
        passed = data if self._budget_bytes is None else data[: self._budget_bytes]
        if rest := data[len(passed) :]:
            self._pending.appendleft((0.0, rest))
            self._pending_bytes += len(rest)
        if not self.sink.is_closing():
            self.sink.write(passed)
            self.delivered_bytes += len(passed)
        if self._budget_bytes is not None:
            self._budget_bytes -= len(passed)
            self._check_budget()

    def _deliver_end(self, sink: asyncio.Transport) -> None:
        if self.source is None or self.source.is_closing():
            sink.close()
        elif not sink.is_closing():
            _end_writing(sink)
        self.is_ended = True
        self.on_end()

    def _check_budget(self) -> None:
        if self._budget_bytes is not None and self._budget_bytes <= 0:
            self._budget_bytes = None
            if self._on_budget_spent is not None:
                self._on_budget_spent()

    def _update_reading(self) -> None:
        if self.source is None or self.source.is_closing():
            return
        is_wanted = not (
            self.is_held or self._is_sink_full or self._pending_bytes > MAX_PENDING_BYTES
        )
        if is_wanted != self._is_reading:
            self._is_reading = is_wanted
            (self.source.resume_reading if is_wanted else self.source.pause_reading)()
