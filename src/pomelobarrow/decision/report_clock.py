"""Tell by this VM's clock when a backend server's report was true."""

from collections import deque

from attrs import define, field

# No report is this old when it arrives, unless the two clocks differ.
PLAUSIBLE_LAG_S = 5.0
WINDOW = 32


@define
class ReportClock:
    """Hold the lags of a server's last reports.

    A clock that is behind would make every report look old, so that requests already in the report
    were counted again and the server got no work; one that is ahead would hide the newest
    placements. The smallest lag of the window is taken out where it can't be a real one; the rest
    of a lag is kept.
    """

    _lags_s: deque[float] = field(factory=lambda: deque(maxlen=WINDOW))

    def local_unix_s(self, measured_unix_s: float, received_unix_s: float) -> float:
        """Return the time of measurement by this VM's clock."""
        self._lags_s.append(received_unix_s - measured_unix_s)
        smallest_s = min(self._lags_s)
        if 0.0 <= smallest_s <= PLAUSIBLE_LAG_S:
            return measured_unix_s
        return measured_unix_s + smallest_s
