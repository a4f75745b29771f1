"""Prove that no stream is joined from two software versions after all daemons were killed."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from attrs import frozen
from proof_report import Figure
from restarted_fleet import EVENTS, GIVE_UP_AFTER_S, PACE_S, ChangingServers, move_route

from harness.serve import RETENTION_VARIABLE
from soak.__main__ import wait_ready
from soak.fleet import STREAMED, VERSIONED, SoakFleet
from soak.streams import MIN_BEGUN_SHARE, MIN_RESUMED_SHARE

pytestmark = pytest.mark.proof

ROUNDS = 2
RUN_S = 1.8
# Old servers have left for this long when the daemons are killed.
LEFT_FOR_S = 0.3
# For how long streams may be taken up where one daemon restarts: clients try to for so long after
# the longest stream.
RETENTION_S = 1.5 * EVENTS * PACE_S + GIVE_UP_AFTER_S

Step = Callable[[ChangingServers, int], Awaitable[None]]


@frozen
class Times:
    """When all daemons were up again, and when one of them was killed."""

    up_s: float
    killed_s: float


async def _nothing(servers: ChangingServers, number: int) -> None:
    """Change nothing."""


async def _list_next(servers: ChangingServers, number: int) -> None:
    """Start the servers of a round's version."""
    await servers.start(VERSIONED, f"v{number}")


async def _replace(servers: ChangingServers, number: int) -> None:
    """Replace the servers of a round's version by those of the next."""
    await servers.crash(VERSIONED, f"v{number}")
    await _list_next(servers, number + 1)


async def _list_next_only(servers: ChangingServers, number: int) -> None:
    """Let the next version's servers take new streams, while those of the old one end theirs."""
    await _list_next(servers, number + 1)
    servers.unlist(VERSIONED, f"v{number}")
    await asyncio.sleep(LEFT_FOR_S)


async def _crash_old(servers: ChangingServers, number: int) -> None:
    """End the servers of a round's version."""
    await servers.crash(VERSIONED, f"v{number}")


async def _list_two(servers: ChangingServers, number: int) -> None:
    """Start servers of two versions."""
    await _list_next(servers, number)
    await _list_next(servers, number + 1)


async def _list_two_services(servers: ChangingServers, number: int) -> None:
    """Start servers of one version in two services."""
    await _list_next(servers, number)
    await servers.start(STREAMED, f"v{number}")


async def _move_route(servers: ChangingServers, number: int) -> None:
    """Let the route name the other of two services."""
    move_route(servers.fleet, VERSIONED if number % 2 else STREAMED)


# What is done first, before all daemons are killed, and while they are down.
CHANGES: dict[str, tuple[Step, Step, Step]] = {
    "version replaced while down": (_list_next, _nothing, _replace),
    "version replaced just before": (_list_next, _list_next_only, _crash_old),
    "two versions": (_list_two, _nothing, _nothing),
    "route moved while down": (_list_two_services, _nothing, _move_route),
}


async def _restart_all(
    servers: ChangingServers, change: tuple[Step, Step, Step], times: list[Times]
) -> None:
    """Kill all daemons while the software changes, later one of them; do so in each round."""
    fleet, (_, before, while_down) = servers.fleet, change
    for number in range(ROUNDS):
        await asyncio.sleep(RUN_S)
        await before(servers, number)
        fleet.kill_all_daemons()
        await while_down(servers, number)
        await fleet.start_all_daemons()
        up_s = time.monotonic()
        await asyncio.sleep(RUN_S)
        daemon = servers.random.choice(fleet.daemons)
        times.append(Times(up_s=up_s, killed_s=time.monotonic()))
        fleet.processes.kill(daemon.vm)
        fleet.start_daemon(daemon)
        await fleet.wait_ready(daemon)


async def _play(change: tuple[Step, Step, Step], seed: int) -> tuple[ChangingServers, list[Times]]:
    """Send streams while all daemons are killed in each round."""
    times: list[Times] = []
    async with SoakFleet(random=Random(1), daemons_per_region=3, servers_per_region=0) as fleet:
        await wait_ready(fleet)
        servers = ChangingServers(fleet=fleet, random=Random(seed))
        begin, _, _ = change
        await begin(servers, 0)
        await servers.send_while(asyncio.create_task(_restart_all(servers, change, times)))
        await servers.stop()
        assert fleet.ended_daemons() == []
    return servers, times


async def _restart_one_by_one(servers: ChangingServers, while_down: Step) -> None:
    """Kill daemons in turn and let clients take up their streams at these."""
    fleet = servers.fleet
    for number, daemon in enumerate(servers.random.sample(fleet.daemons, ROUNDS)):
        await asyncio.sleep(RETENTION_S + RUN_S)
        servers.take_up_at = daemon
        fleet.processes.kill(daemon.vm)
        await while_down(servers, number)
        fleet.start_daemon(daemon)
        await fleet.wait_ready(daemon)
        await asyncio.sleep(RUN_S)
        servers.take_up_at = None


async def _play_one_by_one(while_down: Step) -> tuple[ChangingServers, list[bool]]:
    """Send streams while daemons restart one by one; return for each that broke if it went on."""
    async with SoakFleet(random=Random(1), daemons_per_region=3, servers_per_region=0) as fleet:
        await wait_ready(fleet)
        servers = ChangingServers(fleet=fleet, random=Random(3))
        await servers.start(VERSIONED, "v0")
        restarting = asyncio.create_task(_restart_one_by_one(servers, while_down))
        await servers.send_while(restarting)
        await servers.stop()
        assert fleet.ended_daemons() == []
    return servers, servers.resumed(0.0, math.inf)


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
async def test_streams_from_before_a_restart_of_all_daemons_are_not_joined(
    change: tuple[Step, Step, Step], figure: Figure
) -> None:
    """Streams went on at the only version listed after the restart, or at the route's new service.

    Streams that begin after the restart go on although the daemon that began them is killed.
    """
    servers, times = await _play(change, seed=2)
    begun = [each for t in times for each in servers.begun(t.up_s, t.killed_s)]
    resumed = [each for t in times for each in servers.resumed(t.up_s, t.killed_s)]
    figure("streams joined", f"{len(servers.joined())} of {len(servers.streams)}")
    figure("begun after the restart", f"{sum(begun)} of {len(begun)}")
    figure("of these, went on after one more kill", f"{sum(resumed)} of {len(resumed)}")
    assert servers.find_violations() == []
    assert sum(begun) >= MIN_BEGUN_SHARE * len(begun) > 0
    assert sum(resumed) >= MIN_RESUMED_SHARE * len(resumed) > 0


async def test_streams_go_on_at_a_daemon_that_restarts_beside_others(
    monkeypatch: pytest.MonkeyPatch, figure: Figure
) -> None:
    """A daemon without records and history refused sound streams of the only version."""
    monkeypatch.setenv(RETENTION_VARIABLE, str(RETENTION_S))
    servers, resumed = await _play_one_by_one(_nothing)
    figure("streams joined", f"{len(servers.joined())} of {len(servers.streams)}")
    figure("went on at a daemon that restarted", f"{sum(resumed)} of {len(resumed)}")
    assert servers.find_violations() == []
    assert sum(resumed) >= MIN_RESUMED_SHARE * len(resumed) > 0


async def test_streams_are_not_joined_at_a_daemon_that_restarts_beside_others(
    monkeypatch: pytest.MonkeyPatch, figure: Figure
) -> None:
    """A daemon was down while the version was replaced, and knew the next version only."""
    monkeypatch.setenv(RETENTION_VARIABLE, str(RETENTION_S))
    servers, resumed = await _play_one_by_one(_replace)
    figure("streams joined", f"{len(servers.joined())} of {len(servers.streams)}")
    figure("taken up at a daemon that restarted", len(resumed))
    assert servers.find_violations() == []
    assert len(resumed) > 0
