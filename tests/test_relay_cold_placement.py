"""How a VM that has just started uses cold servers."""

import pytest
from attrs import evolve
from test_relay_placement import NOW, make_placer, place, request, server

from pomelobarrow.decision.members.member import Phase
from pomelobarrow.decision.requests.placement_request import LocalPlacement
from pomelobarrow.decision.requests.work import BackendServer


def test_vm_that_has_just_started_sends_nothing_to_a_cold_server_beside_others() -> None:
    """Each VM used the whole rate of a cold server, once all had restarted."""
    cold = server("s1", "a", cold_until_unix_s=NOW + 3.0)
    placer = make_placer(cold, server("s2", "a", slots=1), waits_s={})
    placer.table.charge("earlier", "s2", 300, NOW)
    view = placer.members.view
    chosen = []
    for phase in (Phase.STARTING, Phase.READY):
        view.observe_own(evolve(view.own, phase=phase.value))
        decision = place(placer, request())
        assert isinstance(decision, LocalPlacement)
        chosen.append(decision.placement.server.name)
    assert chosen == ["s2", "s1"]


@pytest.mark.parametrize("others", [(), (server("s2", "a", is_lease_expired=True),)])
def test_vm_that_has_just_started_sends_to_a_cold_server_if_no_other_is_sound(
    others: tuple[BackendServer, ...],
) -> None:
    placer = make_placer(server("s1", "a", cold_until_unix_s=NOW + 3.0), *others, waits_s={})
    view = placer.members.view
    view.observe_own(evolve(view.own, phase=Phase.STARTING.value))
    decision = place(placer, request())
    assert isinstance(decision, LocalPlacement)
    assert decision.placement.server.name == "s1"
