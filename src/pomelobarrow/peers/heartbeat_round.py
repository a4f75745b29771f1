"""Share what the heartbeats to all peers of one round have in common."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TypeVar, cast

from attrs import define

T = TypeVar("T")


@define
class HeartbeatRound:
    """The values computed for a round, which runs in one turn of the loop."""

    _values: dict[str, object] | None = None

    @contextmanager
    def opened(self) -> Iterator[None]:
        """Share values among the heartbeats that are built inside."""
        self._values = {}
        try:
            yield
        finally:
            self._values = None

    def shared(self, name: str, compute: Callable[[], T]) -> T:
        """Return the round's value; compute it outside a round."""
        if self._values is None:
            return compute()
        if name not in self._values:
            self._values[name] = compute()
        return cast(T, self._values[name])
