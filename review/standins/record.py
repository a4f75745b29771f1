"""The record of a run."""

import time
from pathlib import Path


class Record:
    """The record of a run: one line for each thing that was sent, answered, run or done."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():9.3f} s  {text}\n")
        self._file.flush()
