"""Write lines for operators without ever failing the work they describe."""

import contextlib
from typing import Protocol


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
