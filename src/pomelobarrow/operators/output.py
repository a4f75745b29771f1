"""Write lines for operators without ever failing the work they describe."""

import contextlib
import os
import stat
from collections.abc import Callable
from typing import Protocol

import orjson

# A daemon logs a handful of lines a request. Past this rate, that of some hundred requests a
# second, lines are dropped: a storm of requests must not become a storm of writes.
MAX_LINES_PER_S = 1_000.0
MAX_BURST_LINES = 2_000.0
# Kept for lines that tell of failures: in a storm they matter, and the many that tell of ordinary
# successes would leave no room for them.
RESERVED_LINES = 1_000.0


class ByteStream(Protocol):
    """Take bytes, as `sys.stderr.buffer` does."""

    def write(self, data: bytes, /) -> object:
        """Take bytes."""

    def flush(self) -> object:
        """Pass on what was taken."""


class LossyStream:
    """Drop output that can't be written.

    When the reader of stderr has died, a write raises BrokenPipeError inside whatever request
    logs next, and its caller would see a failure. A lost line is the lesser harm.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream

    def write(self, data: bytes) -> int:
        """Write bytes, or drop them."""
        with contextlib.suppress(OSError, ValueError):
            self._stream.write(data)
        return len(data)

    def flush(self) -> None:
        """Flush, or drop what can't be."""
        with contextlib.suppress(OSError, ValueError):
            self._stream.flush()


class RateLimitedStream:
    """Write lines without ever waiting for the reader, and say how many were dropped.

    A reader that stops reading fills the pipe, and the next write would hold up every request of
    the process until it reads on.
    """

    def __init__(
        self,
        write: Callable[[bytes], int],
        clock_s: Callable[[], float],
        is_low_priority: Callable[[bytes], bool] = lambda line: False,
    ) -> None:
        self._write = write
        self._is_low_priority = is_low_priority
        self._clock_s = clock_s
        self._allowance = MAX_BURST_LINES
        self._refilled_s = clock_s()
        self._dropped = 0
        # The part of a line that the pipe had no room for.
        self._partial_line = b""

    def write(self, data: bytes, /) -> int:
        """Write a line, or count it as dropped."""
        if not self._take_allowance(data):
            self._dropped += 1
            return len(data)
        notice, dropped = self._dropped_notice(), self._dropped
        self._dropped = 0
        if not self._write_nonblocking(notice + data):
            self._dropped = dropped + 1
        return len(data)

    def flush(self) -> None:
        """Do nothing: lines aren't kept back."""

    def _take_allowance(self, line: bytes) -> bool:
        now_s = self._clock_s()
        refill = max(0.0, now_s - self._refilled_s) * MAX_LINES_PER_S
        self._allowance = min(MAX_BURST_LINES, self._allowance + refill)
        self._refilled_s = now_s
        required = 1.0
        if self._allowance < RESERVED_LINES and self._is_low_priority(line):
            required = RESERVED_LINES
        if self._allowance < required:
            return False
        self._allowance -= 1.0
        return True

    def _dropped_notice(self) -> bytes:
        if not self._dropped:
            return b""
        fields = {"event": "log lines dropped", "level": "warning", "lines": self._dropped}
        return orjson.dumps(fields) + b"\n"

    def _write_nonblocking(self, data: bytes) -> bool:
        """Write what fits; say whether the data is written or will be."""
        try:
            written = self._write(self._partial_line + data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader is gone for good.
            self._partial_line = b""
            return False
        self._partial_line = (self._partial_line + data)[written:]
        return True


def rate_limited_stream(
    fd: int, clock_s: Callable[[], float], is_low_priority: Callable[[bytes], bool]
) -> RateLimitedStream:
    """Return a stream to an open file that never waits for its reader."""
    mode = os.fstat(fd).st_mode
    # Of a terminal the setting would outlive this process, and files don't make a writer wait.
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        os.set_blocking(fd, False)
    return RateLimitedStream(lambda data: os.write(fd, data), clock_s, is_low_priority)
