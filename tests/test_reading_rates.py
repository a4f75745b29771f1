"""How busy servers are with reading, from what one of a region's VMs sends."""

import pytest

from pomelobarrow.decision.reading_rates import ReadingRates

S_PER_TOKEN = 1e-5


def sent(vms: int) -> ReadingRates:
    """Return what was sent for ten seconds: 9,000 tokens a second to s1, 1,000 to s2."""
    rates = ReadingRates(region_vms=vms)
    for tick in range(1_000):
        rates.add("s1", "p", 90, tick * 0.01)
        rates.add("s2", "p", 10, tick * 0.01)
    return rates


def share(rates: ReadingRates, server: str) -> float:
    of_pool = rates.share_of_pool("p", 2, S_PER_TOKEN, 10.0)
    return rates.share(server, of_pool, S_PER_TOKEN, 10.0)


def test_few_vms_tell_the_servers_apart() -> None:
    rates = sent(vms=2)
    assert share(rates, "s1") == pytest.approx(0.18, rel=0.05)
    assert share(rates, "s2") == pytest.approx(0.02, rel=0.05)


def test_many_vms_take_the_pools_mean() -> None:
    rates = sent(vms=20)
    mean = rates.share_of_pool("p", 2, S_PER_TOKEN, 10.0)
    assert mean == pytest.approx(1.0, rel=0.05)
    assert share(rates, "s1") == pytest.approx(mean, rel=0.1)


def test_forgotten_server_counts_in_its_pool_only() -> None:
    rates = sent(vms=2)
    rates.forget("s1")
    assert share(rates, "s1") == 0.0
    assert rates.share_of_pool("p", 2, S_PER_TOKEN, 10.0) > 0.0
