"""The resources that budgets of clients are derived from."""

import resource

import pytest
from attrs import evolve

from pomelobarrow.callers import client_budgets
from pomelobarrow.callers.client_budgets import ClientBudgets, within_process_limits
from pomelobarrow.decision.admission.budget_limits import ListenerGroup, VmResources

STATED = VmResources(memory_bytes=300_000_000, descriptors=4_100)


@pytest.mark.parametrize(
    ("soft_limit", "descriptors"),
    [(1_024, 1_024), (20_000, 4_100), (resource.RLIM_INFINITY, 4_100)],
)
def test_process_may_open_fewer_descriptors_than_stated(
    soft_limit: int, descriptors: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against settings that state more descriptors than the process is given."""
    monkeypatch.setattr(client_budgets.resource, "getrlimit", lambda kind: (soft_limit, -1))
    assert within_process_limits(STATED) == evolve(STATED, descriptors=descriptors)


def test_limits_follow_changed_resources() -> None:
    stated = [STATED]
    budgets = ClientBudgets(resources=lambda: stated[0])
    before = budgets.of(ListenerGroup.REQUESTS).limits
    stated[0] = evolve(STATED, memory_bytes=2 * STATED.memory_bytes, descriptors=8_200)
    budgets.refresh()
    after = budgets.of(ListenerGroup.REQUESTS).limits
    assert after.connections > before.connections
    assert after.held_bytes > 2 * before.held_bytes
