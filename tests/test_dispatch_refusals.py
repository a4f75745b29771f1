"""Refusals: every one that certainly did not run says when to come back, where that can help."""

import pytest

from pomelobarrow.decision.errors import ErrorKind, RunStatus
from pomelobarrow.dispatch.refusals import PAUSE_S_BY_KIND, refuse
from pomelobarrow.kernel.clock import now_unix_s


@pytest.mark.parametrize("kind", PAUSE_S_BY_KIND, ids=lambda kind: kind.label)
def test_refusal_that_passes_by_itself_says_when_to_come_back(kind):
    started_unix_s = now_unix_s()
    refusal = refuse(kind, RunStatus.NO, "not now")
    assert refusal.retry_at_unix_s >= started_unix_s + PAUSE_S_BY_KIND[kind]


def test_estimated_time_goes_before_the_default():
    assert refuse(ErrorKind.OVERLOADED, RunStatus.NO, "full", 12.0).retry_at_unix_s == 12.0


def test_unknown_outcome_names_no_time():
    assert refuse(ErrorKind.DRAINING, RunStatus.UNKNOWN, "stopping").retry_at_unix_s is None
