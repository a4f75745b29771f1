"""Eject a failing backend server for a while, then readmit it with a slow start."""

from attrs import define

FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
FAILURES_BEFORE_EJECTION = 2
SLOW_START_S = 10.0
SLOW_START_SHARE = 0.2


@define
class ServerHealth:
    """A server's consecutive failures, its ejections and its slow start."""

    _failures: int = 0
    _ejections: int = 0
    _ejected_until_unix_s: float = float("-inf")
    _readmitted_unix_s: float = float("-inf")

    @property
    def ejected_until_unix_s(self) -> float:
        """Return when the last ejection ends; negative infinity if there was none."""
        return self._ejected_until_unix_s

    def mark_failed(self, now_unix_s: float) -> None:
        """Count a failure; consecutive failures eject the server, each time for longer."""
        if self.is_ejected(now_unix_s):
            return
        self._failures += 1
        # During slow start after an ejection a single failure is enough.
        if self._failures < FAILURES_BEFORE_EJECTION and self._ejections == 0:
            return
        self._eject(now_unix_s)

    def eject(self, now_unix_s: float) -> None:
        """Eject the server immediately, for example as an outlier in its pool."""
        if not self.is_ejected(now_unix_s):
            self._eject(now_unix_s)

    def mark_ok(self, now_unix_s: float) -> None:
        """Reset the failures, and the ejections once slow start is over."""
        self._failures = 0
        if self.admitted_share(now_unix_s) >= 1.0:
            self._ejections = 0

    def is_ejected(self, now_unix_s: float) -> bool:
        """Return whether the server gets no work now."""
        return now_unix_s < self._ejected_until_unix_s

    def admitted_share(self, now_unix_s: float) -> float:
        """Return the share of its slots that the server may fill, which rises in slow start."""
        ramp = (now_unix_s - self._readmitted_unix_s) / SLOW_START_S
        return max(SLOW_START_SHARE, min(1.0, ramp))

    def _eject(self, now_unix_s: float) -> None:
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**self._ejections)
        self._ejections += 1
        self._failures = 0
        self._ejected_until_unix_s = now_unix_s + ejection_s
        self._readmitted_unix_s = self._ejected_until_unix_s
