"""One seed of the soak, short: the whole of it is run by hand."""

import pytest

from soak.__main__ import run_seed

pytestmark = pytest.mark.proof

SEED = 1
FAULTS_FOR_S = 5.0


async def test_promises_hold_while_faults_come_and_go() -> None:
    """Clients send while daemons are killed, paused and stopped and connections fall silent.

    What may run once ran once at most, what was refused never ran, every success was whole, and
    requests are served again afterwards.
    """
    result = await run_seed(SEED, FAULTS_FOR_S)
    assert result.broken == []
    assert result.requests > 0
