"""Prove that a stream goes on only at servers of the software version that began it."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from proof_report import Figure

from soak.__main__ import wait_ready
from soak.fleet import SoakFleet
from soak.versioned import MAX_MIXED, VersionedServers

pytestmark = pytest.mark.proof

SENDING_S = 15.0
KILL_EVERY_S = 2.5


async def _nothing(fleet: SoakFleet, until_s: float) -> None:
    """Leave all daemons running."""


async def _kill_daemons(fleet: SoakFleet, until_s: float) -> None:
    """Kill one daemon after the other and start it again."""
    for daemon in fleet.daemons * 3:
        if time.monotonic() + KILL_EVERY_S > until_s:
            return
        fleet.processes.kill(daemon.vm)
        fleet.start_daemon(daemon)
        await fleet.wait_ready(daemon)
        await asyncio.sleep(KILL_EVERY_S)


@pytest.mark.parametrize("disrupt", [_nothing, _kill_daemons])
async def test_resumed_streams_hold_events_of_one_software_version(
    disrupt: Callable[[SoakFleet, float], Awaitable[None]], record_property: Figure
) -> None:
    """Streams went on at servers of another software version than the one that began them."""
    async with SoakFleet(random=Random(1), daemons_per_region=3) as fleet:
        await wait_ready(fleet)
        versioned = VersionedServers(fleet=fleet, random=Random(2))
        await versioned.start()
        started_s = time.monotonic()
        until_s = started_s + SENDING_S
        await asyncio.gather(versioned.send_until(until_s), disrupt(fleet, until_s))
        await versioned.stop()
    mixed, streams = len(versioned.mixed_streams()), len(versioned.streams)
    resumes, went_on, began = versioned.shares(started_s)
    record_property("streams with events of two versions", f"{mixed} of {streams}")
    record_property("resumed streams that went on", f"{went_on:.0%} of {resumes}")
    record_property("new streams that began", f"{began:.0%}")
    assert mixed <= MAX_MIXED
    assert versioned.find_violations() == []
    assert resumes > 0
    assert versioned.find_lost(started_s) == []
