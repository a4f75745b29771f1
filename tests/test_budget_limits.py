"""What clients may make processes of VMs of several sizes hold."""

import pytest

from pomelobarrow.decision.admission.budget_limits import (
    CONNECTION_BYTES,
    MAX_PUBLISHED_BODY_BYTES,
    PROCESS_BYTES,
    ListenerGroup,
    VmResources,
    budget_limits,
    process_limit_bytes,
)
from pomelobarrow.decision.admission.client_budget import (
    SMALL_RESERVE_SHARE,
    ClientBudget,
    HeldBytes,
    Holding,
    ProcessBudget,
)

BODY_BYTES = 4 << 20
SIZES = [(152_000_000, 1_535), (200_000_000, 4_100), (300_000_000, 4_100), (552_000_000, 8_192)]
SIZES_AND_BODIES = [
    *((memory_bytes, BODY_BYTES) for memory_bytes, _ in SIZES),
    (300_000_000, MAX_PUBLISHED_BODY_BYTES),
    (552_000_000, MAX_PUBLISHED_BODY_BYTES),
]


@pytest.mark.parametrize("body_bytes", [BODY_BYTES, MAX_PUBLISHED_BODY_BYTES])
@pytest.mark.parametrize(("memory_bytes", "descriptors"), SIZES)
def test_all_groups_together_fit_the_vm(
    memory_bytes: int, descriptors: int, body_bytes: int
) -> None:
    """A process may hold as much as stated, and one body twice while it is joined."""
    resources = VmResources(memory_bytes=memory_bytes, descriptors=descriptors)
    limits = [budget_limits(group, resources, body_bytes) for group in ListenerGroup]
    connections = sum(each.connections for each in limits)
    held_bytes = process_limit_bytes(resources, body_bytes)
    joined_bytes = min(body_bytes, int((1.0 - SMALL_RESERVE_SHARE) * held_bytes))
    counted_bytes = held_bytes + joined_bytes + connections * CONNECTION_BYTES
    assert PROCESS_BYTES + counted_bytes <= memory_bytes
    assert connections < descriptors / 2


@pytest.mark.parametrize(("memory_bytes", "body_bytes"), SIZES_AND_BODIES)
def test_one_body_of_the_largest_size_has_room(memory_bytes: int, body_bytes: int) -> None:
    resources = VmResources(memory_bytes=memory_bytes)
    limits = budget_limits(ListenerGroup.REQUESTS, resources, body_bytes)
    process = ProcessBudget(limit_bytes=process_limit_bytes(resources, body_bytes))
    budget, holding = ClientBudget(limits=limits, process=process), Holding()
    budget.open(holding, 0.0)
    assert budget.resize(holding, HeldBytes(body_bytes=body_bytes), 0.0).is_granted


def test_vm_of_the_published_size_serves_hundreds_of_clients() -> None:
    limits = budget_limits(ListenerGroup.REQUESTS, VmResources(), BODY_BYTES)
    assert limits.connections > 1_000
    assert (1.0 - SMALL_RESERVE_SHARE) * limits.held_bytes > 8 * BODY_BYTES
