"""A server that does far worse than the others of its pool is found by what it answers."""

from pomelobarrow.decision.outliers import DAWDLES, FAILS, MIN_SAMPLES, OutlierDetector

POOL = ("a", "b", "c")


def detector(**answers: tuple[float, float]) -> OutlierDetector:
    """Return a detector that has seen, of each server, a share of failures and a slowness."""
    found = OutlierDetector()
    for server, (failing_share, slowness) in answers.items():
        for number in range(40):
            failed = (number * failing_share) % 1.0 + failing_share >= 1.0
            found.observe(server, failed, slowness)
    return found


def test_server_that_fails_a_part_of_its_requests_is_found() -> None:
    """Two fifths of a server's answers are failures, each followed by a success.

    Failures in a row never come, so that nothing else leaves it out, and every second request of
    its clients fails.
    """
    found = detector(a=(0.4, 1.0), b=(0.04, 1.0), c=(0.04, 1.0))
    assert [found.outlier_reason(name, POOL) for name in POOL] == [FAILS, "", ""]


def test_slow_server_is_found() -> None:
    found = detector(a=(0.0, 8.0), b=(0.0, 1.0), c=(0.0, 1.2))
    assert [found.outlier_reason(name, POOL) for name in POOL] == [DAWDLES, "", ""]


def test_failures_that_all_servers_share_make_no_outlier() -> None:
    found = detector(a=(0.45, 1.0), b=(0.4, 1.0), c=(0.4, 1.0))
    assert [found.outlier_reason(name, POOL) for name in POOL] == ["", "", ""]


def test_only_server_is_no_outlier() -> None:
    assert detector(a=(1.0, 9.0)).outlier_reason("a", ("a",)) == ""


def test_few_answers_say_nothing() -> None:
    found = detector(b=(0.0, 1.0), c=(0.0, 1.0))
    for _ in range(MIN_SAMPLES - 1):
        found.observe("a", True, None)
    assert found.outlier_reason("a", POOL) == ""


def test_forgotten_server_proves_itself_anew() -> None:
    found = detector(a=(0.9, 1.0), b=(0.0, 1.0), c=(0.0, 1.0))
    found.forget("a")
    assert found.outlier_reason("a", POOL) == ""
