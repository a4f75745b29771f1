"""Prove that prompts with a part that crashes servers are blocked, and that others are served."""

import time
from random import Random

import pytest
from proof_report import Figure

from soak.__main__ import wait_ready
from soak.fleet import SoakFleet
from soak.prompted import MAX_ARRIVALS, PromptedServers

pytestmark = pytest.mark.proof

SENDING_S = 20.0
# From then on, servers that crashed before the block are back.
CALM_AFTER_S = 10.0
MIN_SOUND_SHARE = 0.9


async def _play(has_crashing_part: bool) -> tuple[PromptedServers, float]:
    """Send prompts at six daemons; return the servers and the share of sound prompts served."""
    async with SoakFleet(random=Random(1), daemons_per_region=3) as fleet:
        await wait_ready(fleet)
        prompted = PromptedServers(fleet=fleet, random=Random(2))
        await prompted.start()
        started_s = time.monotonic()
        await prompted.send_until(started_s + SENDING_S, has_crashing_part)
        await prompted.stop()
    return prompted, prompted.served_share(started_s + CALM_AFTER_S)


async def test_prompts_with_a_part_that_crashes_servers_are_blocked(
    record_property: Figure,
) -> None:
    """No two such requests are alike, so that each of them reached servers and crashed them."""
    prompted, served = await _play(has_crashing_part=True)
    record_property("servers that crashed under the part", len(prompted.crashes_s))
    record_property("requests with it that arrived too late", prompted.late_arrivals())
    record_property("sound requests served", f"{served:.0%}")
    assert prompted.late_arrivals() <= MAX_ARRIVALS
    assert served >= MIN_SOUND_SHARE


async def test_sound_prompts_are_served_while_servers_crash_by_themselves(
    record_property: Figure,
) -> None:
    """All prompts share their first part; a crash must not be blamed on it."""
    _, served = await _play(has_crashing_part=False)
    record_property("sound requests served", f"{served:.0%}")
    assert served >= MIN_SOUND_SHARE
