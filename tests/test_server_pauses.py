"""Servers whose streams pause too long are known by it for a moment."""

import pytest

from pomelobarrow.decision.server_pauses import ServerPauses


def test_late_pause_makes_a_server_known_and_fades() -> None:
    """An engine turns slow while its first answers still come in time."""
    pauses = ServerPauses()
    pauses.observe("s1", 1.0, 0.4, 10.0)
    assert pauses.late_share("s1", 10.0) == 1.0
    assert pauses.late_share("s1", 13.0) == 0.0
    assert pauses.late_share("s2", 10.0) == 0.0


def test_pause_on_time_says_nothing() -> None:
    pauses = ServerPauses()
    pauses.observe("s1", 0.3, 0.4, 10.0)
    assert pauses.late_share("s1", 10.0) == 0.0


def test_shorter_pause_does_not_hide_a_longer_one() -> None:
    pauses = ServerPauses()
    pauses.observe("s1", 0.8, 0.4, 10.0)
    pauses.observe("s1", 0.34, 0.4, 10.1)
    assert pauses.late_share("s1", 10.1) == 1.0


def test_restarted_server_is_not_known_by_its_pauses() -> None:
    pauses = ServerPauses()
    pauses.observe("s1", 1.0, 0.4, 10.0)
    pauses.forget("s1")
    assert pauses.late_share("s1", 10.0) == pytest.approx(0.0)
