"""What clients may make processes of VMs of several sizes hold."""

import pytest

from pomelobarrow.decision.admission.budget_limits import (
    CONNECTION_BYTES,
    MAX_PUBLISHED_BODY_BYTES,
    PROCESS_BYTES,
    ListenerGroup,
    VmResources,
    budget_limits,
)
from pomelobarrow.decision.admission.client_budget import (
    SMALL_RESERVE_SHARE,
    ClientBudget,
    HeldBytes,
    Holding,
)

BODY_BYTES = 4 << 20
SIZES = [(152_000_000, 1_535), (200_000_000, 4_100), (300_000_000, 4_100), (552_000_000, 8_192)]


@pytest.mark.parametrize(("memory_bytes", "descriptors"), SIZES)
def test_all_groups_together_fit_the_vm(memory_bytes: int, descriptors: int) -> None:
    resources = VmResources(memory_bytes=memory_bytes, descriptors=descriptors)
    limits = [budget_limits(group, resources, BODY_BYTES) for group in ListenerGroup]
    connections = sum(each.connections for each in limits)
    held_bytes = sum(each.held_bytes for each in limits)
    assert PROCESS_BYTES + held_bytes + connections * CONNECTION_BYTES < memory_bytes
    assert connections < descriptors / 2


@pytest.mark.parametrize("body_bytes", [BODY_BYTES, MAX_PUBLISHED_BODY_BYTES])
@pytest.mark.parametrize(("memory_bytes", "descriptors"), SIZES)
def test_one_body_of_the_largest_size_has_room(
    memory_bytes: int, descriptors: int, body_bytes: int
) -> None:
    resources = VmResources(memory_bytes=memory_bytes, descriptors=descriptors)
    limits = budget_limits(ListenerGroup.REQUESTS, resources, body_bytes)
    budget, holding = ClientBudget(limits=limits), Holding()
    budget.open(holding, 0.0)
    assert budget.resize(holding, HeldBytes(body_bytes=body_bytes), 0.0).is_granted


def test_vm_of_the_published_size_serves_hundreds_of_clients() -> None:
    limits = budget_limits(ListenerGroup.REQUESTS, VmResources(), BODY_BYTES)
    assert limits.connections > 1_000
    assert (1.0 - SMALL_RESERVE_SHARE) * limits.held_bytes > 8 * BODY_BYTES
