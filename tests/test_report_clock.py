"""Measurement times of servers whose clocks differ from this VM's, or are set."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomelobarrow.decision.servers.report_clock import (
    MAX_PLAUSIBLE_LAG_S,
    WINDOW,
    ReportClock,
)

REPORT_EVERY_S = 1.0
NETWORK_S = 0.02


def local_times(clock: ReportClock, offset_s: float, times_s: range) -> list[float]:
    """Return the local times of reports that a server measures by its clock, a second apart."""
    return [
        clock.local_unix_s(each + offset_s, each + NETWORK_S)
        for each in (REPORT_EVERY_S * number for number in times_s)
    ]


@pytest.mark.parametrize("offset_s", [0.0, -3.0, -60.0])
@pytest.mark.parametrize("step_s", [-10.0, -3_600.0])
def test_reports_count_at_once_after_a_servers_clock_was_set_back(
    offset_s: float, step_s: float
) -> None:
    """Guards against a server whose load is unknown for the 32 reports that the window holds."""
    clock = ReportClock()
    before = local_times(clock, offset_s, range(WINDOW))
    after = local_times(clock, offset_s + step_s, range(WINDOW, 2 * WINDOW))
    assert min(after) > max(before)


@given(st.floats(-1e6, 1e6), st.lists(st.floats(0.0, MAX_PLAUSIBLE_LAG_S), min_size=1))
def test_no_report_is_taken_for_later_than_it_arrived(offset_s: float, lags_s: list[float]) -> None:
    """Guards against a report that hides all later ones."""
    clock, now = ReportClock(), 1e9
    for lag_s in lags_s:
        now += REPORT_EVERY_S
        assert clock.local_unix_s(now - lag_s + offset_s, now) <= now + 1e-6
