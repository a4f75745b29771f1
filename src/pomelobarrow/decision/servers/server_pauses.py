"""Detect servers whose streams are late now, from the pauses in this VM's own streams.

Load pattern: an engine becomes slow while its first answers are still on time, or has more prefill
than this VM has counted. All its streams then pause for longer than their target until it recovers;
requests placed on other servers in the meantime are on time.
"""

from attrs import define, field

# An engine catches up within one or two seconds, so older pauses say little about its state.
HALF_LIFE_S = 1.0
# A pause just below its target is a warning: the next one, or another stream's, may exceed it.
ON_TIME_SHARE = 0.8


@define
class _LatePause:
    level: float
    unix_s: float


@define
class ServerPauses:
    """The longest late pause at each server, as a share of its target, decaying over time."""

    _late_pauses: dict[str, _LatePause] = field(factory=dict)

    def observe(self, server: str, pause_s: float, gap_target_s: float, now_unix_s: float) -> None:
        """Add a pause between two events of a stream."""
        level = pause_s / gap_target_s
        if level > ON_TIME_SHARE and level > self._level(server, now_unix_s):
            self._late_pauses[server] = _LatePause(level, now_unix_s)

    def late_share(self, server: str, now_unix_s: float) -> float:
        """Return the estimated share of the server's streams that are late now, from 0 to 1."""
        if server not in self._late_pauses:
            return 0.0
        level = self._level(server, now_unix_s)
        return min(1.0, max(0.0, (level - ON_TIME_SHARE) / (1.0 - ON_TIME_SHARE)))

    def forget(self, server: str) -> None:
        """Drop a server's pauses."""
        self._late_pauses.pop(server, None)

    def _level(self, server: str, now_unix_s: float) -> float:
        late_pause = self._late_pauses.get(server)
        if late_pause is None:
            return 0.0
        return late_pause.level * 0.5 ** (max(0.0, now_unix_s - late_pause.unix_s) / HALF_LIFE_S)
