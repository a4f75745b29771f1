"""What the answer to a probe shows of a server's process."""

import pytest
from attrs import evolve
from test_end_check import server_at

from pomelobarrow.decision.servers.process_state import ProbeAnswer, ProcessState, process_state

BORN = 1_000
SAME, NEXT, UNSTATED = BORN, BORN + 1, None


@pytest.mark.parametrize(
    ("listed_born_unix_ms", "answer", "state"),
    [
        pytest.param(0, ProbeAnswer(), ProcessState.RUNNING, id="one start for each name"),
        pytest.param(0, ProbeAnswer(born_unix_ms=NEXT), ProcessState.RUNNING, id="start unlisted"),
        pytest.param(0, ProbeAnswer(is_other=True), ProcessState.ENDED, id="other name"),
        pytest.param(BORN, ProbeAnswer(born_unix_ms=SAME), ProcessState.RUNNING, id="same start"),
        pytest.param(BORN, ProbeAnswer(born_unix_ms=NEXT), ProcessState.ENDED, id="next start"),
        pytest.param(
            BORN, ProbeAnswer(born_unix_ms=UNSTATED), ProcessState.UNKNOWN, id="start not stated"
        ),
        pytest.param(
            BORN,
            ProbeAnswer(is_other=True, born_unix_ms=SAME),
            ProcessState.ENDED,
            id="other name, same start",
        ),
    ],
)
def test_process_runs_only_if_its_start_is_the_listed_one(
    listed_born_unix_ms: int, answer: ProbeAnswer, state: ProcessState
) -> None:
    server = evolve(server_at(1), born_unix_ms=listed_born_unix_ms)
    assert process_state(server, answer) is state
