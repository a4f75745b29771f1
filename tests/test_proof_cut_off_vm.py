"""Prove that no stream is joined from two software versions at a VM that is out of step."""

import pytest
from attrs import frozen
from cut_off_vm import (
    STREAMS,
    Change,
    Disruption,
    cut_off,
    list_and_drain,
    list_beside,
    move_to_other_service,
    released_fleet,
    take_up_during,
)
from proof_report import Figure

pytestmark = pytest.mark.proof

# Streams that don't begin, or that break off before their second event, aren't taken up.
MIN_TAKEN_UP = STREAMS // 2


@frozen
class Play:
    """What keeps VMs out of step for a time, how many, and what is changed meanwhile."""

    disrupt: Disruption
    change: Change
    cut_s: float
    vms: int = 1


PLAYS = {
    "both ways": Play(cut_off(), list_beside, 3.2),
    "incoming": Play(cut_off(cuts_outgoing=False), list_beside, 1.5),
    "two together": Play(cut_off(), list_and_drain, 1.5, vms=2),
    "route moved": Play(cut_off(), move_to_other_service, 1.5),
}


@pytest.mark.parametrize("play", PLAYS.values(), ids=PLAYS)
async def test_streams_are_not_joined_at_a_vm_that_is_out_of_step(
    play: Play, figure: Figure
) -> None:
    """Streams of a new version went on at the old one, which a cut-off VM took for the only one."""
    async with released_fleet() as servers:
        outcomes = await take_up_during(servers, play.disrupt, play.change, play.cut_s, play.vms)
    figure("streams", outcomes)
    assert outcomes.joined == []
    assert len(outcomes.take_ups) >= MIN_TAKEN_UP
