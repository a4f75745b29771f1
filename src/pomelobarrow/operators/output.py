"""Write log lines and spans without failing or blocking the requests that produce them."""

import contextlib
import os
import stat
from collections.abc import Callable
from typing import Protocol

import orjson

# A daemon logs a few lines per request. Above this rate, reached at some hundred requests per
# second, lines are dropped so that a burst of requests causes no burst of writes.
MAX_LINES_PER_S = 1_000.0
MAX_BURST_LINES = 2_000.0
# Reserved for lines that report failures. In a burst the far more numerous lines of successful
# requests would otherwise use up the whole allowance.
RESERVED_LINES = 1_000.0


class ByteStream(Protocol):
    """Binary output stream, such as `sys.stderr.buffer`."""

    def write(self, data: bytes, /) -> object:
        """Write bytes."""

    def flush(self) -> object:
        """Flush what was written."""


class LossyStream:
    """Wrapper of a stream that ignores write errors and drops the output concerned.

    When the process that reads stderr has died, a write raises BrokenPipeError. Without this
    wrapper the next request that logs a line would fail; losing the line is preferable.
    """

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream

    def write(self, data: bytes) -> int:
        """Write bytes, or drop them on an error."""
        with contextlib.suppress(OSError, ValueError):
            self._stream.write(data)
        return len(data)

    def flush(self) -> None:
        """Flush the stream and ignore errors."""
        with contextlib.suppress(OSError, ValueError):
            self._stream.flush()


class RateLimitedStream:
    """Stream that limits the rate of lines, never blocks and reports how many it dropped.

    When the reader of a pipe stops reading, the pipe fills up and a blocking write would stall all
    requests of the process until the reader continues.
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
        # The remainder of a line that was written in part because the pipe was full.
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
        """Do nothing, since lines aren't buffered."""

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
        """Write what fits and keep the remainder; return whether the data was accepted."""
        try:
            written = self._write(self._partial_line + data)
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe.
            self._partial_line = b""
            return False
        self._partial_line = (self._partial_line + data)[written:]
        return True


def rate_limited_stream(
    fd: int, clock_s: Callable[[], float], is_low_priority: Callable[[bytes], bool]
) -> RateLimitedStream:
    """Return a rate-limited stream to an open file that never waits for its reader."""
    mode = os.fstat(fd).st_mode
    # On a terminal the setting would remain after this process ends, and files never block.
    if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
        os.set_blocking(fd, False)
    return RateLimitedStream(lambda data: os.write(fd, data), clock_s, is_low_priority)
