"""Seeds of the soak: a short one, and each that has shown a fault."""

import pytest

from soak.__main__ import run_seed

pytestmark = pytest.mark.proof

# A signal to read the settings again ended a daemon that was still importing; nobody took its
# clients' work after the faults.
SIGNAL_DURING_START = (303, 310)


@pytest.mark.parametrize(
    ("seed", "faults_for_s"), [(1, 5.0), *((seed, 12.0) for seed in SIGNAL_DURING_START)]
)
async def test_promises_hold_while_faults_come_and_go(seed: int, faults_for_s: float) -> None:
    """Clients send while daemons are killed, paused and stopped and connections fall silent.

    What may run once ran once at most, what was refused never ran, every success was whole, and
    requests are served again afterwards.
    """
    result = await run_seed(seed, faults_for_s)
    assert result.broken == []
    assert result.requests > 0
