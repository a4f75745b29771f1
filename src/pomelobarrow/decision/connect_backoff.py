"""Leave a peer out for a moment after no connection to it could be made."""

from attrs import define, field

FIRST_BACKOFF_S = 0.5
# A link that heals is in use again within this time; a request a pause is what a peer costs that
# stays unreachable.
MAX_PAUSE_S = 4.0


@define
class _Pause:
    length_s: float
    until_unix_s: float


@define
class ConnectBackoff:
    """Hold which peers took no connection of late.

    Heartbeats on connections that are already up tell nothing of new ones, and silence takes
    seconds to mean something. Meanwhile each request that is sent to such a peer waits for the
    connection's timeout, and has no turn left after a few. The first one that fails speaks for
    those that follow within the pause; each pause is twice the last.
    """

    _pauses: dict[str, _Pause] = field(factory=dict)

    def note_connect_failure(self, vm: str, now_unix_s: float) -> None:
        """Take in a failed connection; those that were under way meanwhile count once."""
        last = self._pauses.get(vm)
        if last is not None and now_unix_s < last.until_unix_s:
            return
        length_s = FIRST_BACKOFF_S if last is None else min(MAX_PAUSE_S, 2.0 * last.length_s)
        self._pauses[vm] = _Pause(length_s, now_unix_s + length_s)

    def note_connected(self, vm: str) -> None:
        """Take in an answer."""
        self._pauses.pop(vm, None)

    def is_left_out(self, vm: str, now_unix_s: float) -> bool:
        """Say whether a peer is passed over now."""
        pause = self._pauses.get(vm)
        return pause is not None and now_unix_s < pause.until_unix_s
