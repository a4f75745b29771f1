"""Soak runs: a short one, and the seeds that have reproduced a fault."""

import pytest

from soak.__main__ import run_seed

pytestmark = pytest.mark.proof

# SIGHUP, which reloads the settings, ended a daemon that was still importing its modules. Its
# clients were not served after the faults.
SIGNAL_DURING_START = (303, 310)
# A daemon that started just after the store's return served a revoked key.
START_AFTER_RETURN = (1013, 1037)
# A list of the store's older copy made a daemon forget a server's pause.
PAUSE_FORGOTTEN = (1043,)
# A VM that was cut off joined a stream of two software versions.
PARTITIONED = 7501
REPRODUCED = (*SIGNAL_DURING_START, *START_AFTER_RETURN, *PAUSE_FORGOTTEN)


@pytest.mark.parametrize(
    ("seed", "faults_for_s"), [(1, 5.0), *((seed, 12.0) for seed in REPRODUCED)]
)
async def test_promises_hold_while_faults_come_and_go(seed: int, faults_for_s: float) -> None:
    """Clients send requests while daemons are killed, paused and stopped and connections fail.

    Non-repeatable requests must run at most once, refused requests must not run, successful
    answers must be complete, and requests must be served again after the faults.
    """
    result = await run_seed(seed, faults_for_s)
    assert result.violations == []
    assert result.requests > 0


async def test_promises_hold_while_vms_are_cut_off_beside_releases() -> None:
    """A VM that was cut off went on with streams of a new version at servers of the old one."""
    result = await run_seed(PARTITIONED, 12.0, has_partitions=True)
    assert result.violations == []
    assert result.requests > 0
