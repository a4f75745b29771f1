"""Forward bytes in one direction of a connection, with delay and holds."""

import asyncio
from collections import deque
from collections.abc import Callable

from attrs import define, field

MAX_PENDING_BYTES = 8 * 1024 * 1024
# Marks the end of the stream in the queue, so that it is delivered after the bytes before it.
EOF = b""


def _write_eof(sink: asyncio.Transport) -> None:
    """Half-close a sink; abort it if it was reset unnoticed while its reading was paused."""
    try:
        sink.write_eof()
    except OSError:
        sink.abort()


@define(eq=False)
class Flow:
    """Delayed one-way byte stream from a source to a sink."""

    delay_s: float
    # A TCP handshake takes one round trip before the first byte can be sent.
    open_at_s: float
    on_eof_delivered: Callable[[], None] = lambda: None
    source: asyncio.Transport | None = None
    sink: asyncio.Transport | None = None
    delivered_bytes: int = 0
    is_held: bool = False
    is_eof_delivered: bool = False
    _is_sink_full: bool = False
    _is_reading: bool = True
    _pending: deque[tuple[float, bytes]] = field(factory=deque)
    _pending_bytes: int = 0
    _timer: asyncio.TimerHandle | None = None
    _trigger_after_bytes: int | None = None
    _on_trigger: Callable[[], None] | None = None

    def arm(self, after_bytes: int, on_trigger: Callable[[], None]) -> None:
        """Call a function once a number of further bytes is delivered, before the next byte."""
        self._trigger_after_bytes = after_bytes
        self._on_trigger = on_trigger
        self._check_trigger()

    def disarm(self) -> None:
        """Remove the trigger."""
        self._trigger_after_bytes = None

    def feed(self, data: bytes) -> None:
        """Queue bytes, or the end of the stream, from the source."""
        due_at_s = max(asyncio.get_running_loop().time(), self.open_at_s) + self.delay_s
        self._pending.append((due_at_s, data))
        self._pending_bytes += len(data)
        # If a delivery is scheduled, the bytes queued before these are not due yet.
        if self._timer is None or self._pending_bytes > MAX_PENDING_BYTES:
            self.deliver_due()

    def set_held(self, held: bool) -> None:
        """Hold all delivery, or continue with the queued bytes."""
        self.is_held = held
        self.deliver_due()

    def set_sink_full(self, full: bool) -> None:
        """Pause reading from the source while the sink's write buffer is full."""
        self._is_sink_full = full
        self._update_reading()

    def deliver_due(self) -> None:
        """Deliver the bytes that are due and schedule the next delivery."""
        loop = asyncio.get_running_loop()
        while self._can_deliver() and self._pending[0][0] <= loop.time():
            self._deliver(self._pending.popleft()[1])
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._can_deliver():
            self._timer = loop.call_at(self._pending[0][0], self.deliver_due)
        self._update_reading()

    def close(self) -> None:
        """Drop the queued bytes."""
        self._pending.clear()
        self._pending_bytes = 0
        if self._timer is not None:
            self._timer.cancel()

    def _can_deliver(self) -> bool:
        return bool(self._pending) and not self.is_held and self.sink is not None

    def _deliver(self, data: bytes) -> None:
        assert self.sink is not None
        self._pending_bytes -= len(data)
        if data == EOF:
            self._deliver_eof(self.sink)
            return
        passed = data if self._trigger_after_bytes is None else data[: self._trigger_after_bytes]
        if rest := data[len(passed) :]:
            self._pending.appendleft((0.0, rest))
            self._pending_bytes += len(rest)
        if not self.sink.is_closing():
            self.sink.write(passed)
            self.delivered_bytes += len(passed)
        if self._trigger_after_bytes is not None:
            self._trigger_after_bytes -= len(passed)
            self._check_trigger()

    def _deliver_eof(self, sink: asyncio.Transport) -> None:
        if self.source is None or self.source.is_closing():
            sink.close()
        elif not sink.is_closing():
            _write_eof(sink)
        self.is_eof_delivered = True
        self.on_eof_delivered()

    def _check_trigger(self) -> None:
        if self._trigger_after_bytes is not None and self._trigger_after_bytes <= 0:
            self._trigger_after_bytes = None
            if self._on_trigger is not None:
                self._on_trigger()

    def _update_reading(self) -> None:
        if self.source is None or self.source.is_closing():
            return
        is_wanted = not (
            self.is_held or self._is_sink_full or self._pending_bytes > MAX_PENDING_BYTES
        )
        if is_wanted != self._is_reading:
            self._is_reading = is_wanted
            (self.source.resume_reading if is_wanted else self.source.pause_reading)()
