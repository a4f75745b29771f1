"""Back off from a peer after a connection to it failed."""

from attrs import define, field

FIRST_BACKOFF_S = 0.5
# A recovered peer is used again within this time; a peer that stays unreachable costs one request
# per back-off period.
MAX_BACKOFF_S = 4.0


@define
class _Backoff:
    duration_s: float
    until_unix_s: float


@define
class ConnectBackoff:
    """Peers to which a connection failed recently, with exponential back-off.

    Heartbeats on established connections don't show whether a new connection succeeds, and it takes
    seconds until missing heartbeats count as silence. Until then each request sent to such a peer
    waits for the connection timeout and uses up its attempts. After the first failure the peer is
    therefore left out for a back-off period, which doubles with each further failure.
    """

    _backoffs: dict[str, _Backoff] = field(factory=dict)

    def note_connect_failure(self, vm: str, now_unix_s: float) -> None:
        """Record a failed connection; failures during the back-off period don't extend it."""
        last = self._backoffs.get(vm)
        if last is not None and now_unix_s < last.until_unix_s:
            return
        duration_s = FIRST_BACKOFF_S if last is None else min(MAX_BACKOFF_S, 2.0 * last.duration_s)
        self._backoffs[vm] = _Backoff(duration_s, now_unix_s + duration_s)

    def note_connected(self, vm: str) -> None:
        """Record that a peer answered."""
        self._backoffs.pop(vm, None)

    def is_backed_off(self, vm: str, now_unix_s: float) -> bool:
        """Return whether a peer is in its back-off period."""
        backoff = self._backoffs.get(vm)
        return backoff is not None and now_unix_s < backoff.until_unix_s
