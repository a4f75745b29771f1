"""Convert the measurement times of a backend server's reports to the local clock."""

from collections import deque

from attrs import define, field

# A larger lag of a report on arrival means that the two clocks differ.
MAX_PLAUSIBLE_LAG_S = 5.0
WINDOW = 32


@define
class ReportClock:
    """Clock offset of a server, estimated from the lags of its last reports.

    If the server's clock is behind, every report appears old; requests already included in the
    report are then counted again and the server gets no work. If its clock is ahead, the newest
    placements are hidden. If the smallest lag of the window is implausible, it counts as clock
    offset and is subtracted.
    """

    _lags_s: deque[float] = field(factory=lambda: deque(maxlen=WINDOW))

    def local_unix_s(self, measured_unix_s: float, received_unix_s: float) -> float:
        """Return the time of measurement by the local clock."""
        lag_s = received_unix_s - measured_unix_s
        # The server's clock was set back; by the lags before, reports would seem older than the
        # last one until they have left the window.
        if self._lags_s and lag_s > min(self._lags_s) + MAX_PLAUSIBLE_LAG_S:
            self._lags_s.clear()
        self._lags_s.append(lag_s)
        smallest_s = min(self._lags_s)
        if 0.0 <= smallest_s <= MAX_PLAUSIBLE_LAG_S:
            return measured_unix_s
        return measured_unix_s + smallest_s
