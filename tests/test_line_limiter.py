"""How often a kind of event is logged."""

from pomelobarrow.operators.line_limiter import LineLimiter

NOW = 1_000.0


def test_one_line_of_a_kind_is_admitted_in_an_interval() -> None:
    limiter = LineLimiter(interval_s=1.0)
    assert [limiter.admit("a", NOW + step_s) for step_s in (0.0, 0.2, 0.9)] == [0, None, None]
    assert limiter.admit("b", NOW) == 0
    assert limiter.admit("a", NOW + 1.0) == 2
    assert limiter.admit("a", NOW + 2.5) == 0
