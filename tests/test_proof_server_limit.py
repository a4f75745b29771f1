"""Prove that a server's announced request rate limit holds over all daemons together."""

import time
from random import Random

import pytest

from soak.__main__ import MIN_SERVED_SHARE, wait_ready
from soak.fleet import SoakFleet
from soak.limited import LimitedServers

pytestmark = pytest.mark.proof

SENDING_S = 14.0


async def test_server_that_names_a_limit_gets_no_more_from_two_daemons() -> None:
    """Each region has two daemons and two servers, one of which allows one request in 2 s."""
    async with SoakFleet(random=Random(1)) as fleet:
        await wait_ready(fleet)
        limited = LimitedServers(fleet=fleet, random=Random(2))
        await limited.start()
        started_s = time.monotonic()
        await limited.send_until(started_s + SENDING_S)
        await limited.stop()
    assert set(limited.arrivals_s) == {"limited-ra", "limited-rb"}
    assert limited.find_violations() == []
    assert limited.served_share(started_s) > MIN_SERVED_SHARE
