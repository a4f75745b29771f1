"""Prove with real daemons what servers' announcements and the store's returns bind them to."""

import asyncio
import time
from random import Random

import pytest

from soak.__main__ import MIN_SERVED_SHARE, wait_ready
from soak.announcing import AnnouncingServers
from soak.faults import Faults
from soak.fleet import SoakFleet
from soak.keyed import KeyedServers

pytestmark = pytest.mark.proof

ANNOUNCING_S = 14.0
SENDING_S = 12.0


async def test_servers_that_leave_or_ask_for_pauses_get_no_requests() -> None:
    """Only the servers' answers say so; the list shows them as ready until they are gone."""
    async with SoakFleet(random=Random(1)) as fleet:
        await wait_ready(fleet)
        announcing = AnnouncingServers(fleet=fleet, random=Random(2))
        await announcing.start()
        started_s = time.monotonic()
        until_s = started_s + ANNOUNCING_S
        await asyncio.gather(announcing.send_until(until_s), announcing.announce_until(until_s))
        await announcing.stop()
    assert any(arrival.is_leaving for arrival in announcing.arrivals)
    assert any(arrival.pause_s for arrival in announcing.arrivals)
    assert announcing.find_violations(Faults(fleet=fleet, random=Random(3))) == []
    assert announcing.served_share(started_s) > MIN_SERVED_SHARE


async def test_key_revoked_after_the_stores_return_stops_in_time() -> None:
    """A revocation under a revision that had been given out before had no effect."""
    async with SoakFleet(random=Random(1)) as fleet:
        await wait_ready(fleet)
        keyed = KeyedServers(fleet=fleet, random=Random(2))
        await keyed.start()
        copy = fleet.store.copy()
        for _ in range(4):
            fleet.publish_configuration()
        sending = asyncio.create_task(keyed.send_until(time.monotonic() + SENDING_S))
        await keyed.wait_until_served()
        lost, era = fleet.store.come_back(copy), fleet.store.era
        fleet.store.write_again(lost, era)
        await sending
        await keyed.stop()
    assert keyed.revoked_s
    assert keyed.find_violations() == []
    assert [status for _, status in keyed.statuses].count(200) > len(keyed.statuses) / 4
