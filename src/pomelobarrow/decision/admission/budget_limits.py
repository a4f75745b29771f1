"""Derive from a VM's memory and descriptors what clients may make its process hold."""

import enum
import functools
from collections.abc import Mapping

from attrs import frozen

from pomelobarrow.decision.admission.client_budget import (
    SMALL_HOLDING_BYTES,
    SMALL_RESERVE_SHARE,
    BudgetLimits,
)

# What a process takes without clients, with the answers of servers that it buffers.
PROCESS_BYTES = 96 << 20
# Shares of the remaining memory. The rest covers copies, as a body that is joined from its parts.
HELD_SHARE = 0.4
CONNECTIONS_SHARE = 0.2
MIN_HELD_BYTES = 16 << 20
# One body of the largest size has room if that takes no more of the remaining memory than this.
ONE_BODY_SHARE = 0.45
# An open connection with its parser, task and buffers, and what it may hold uncounted.
CONNECTION_BYTES = 16 << 10
# Descriptors of files, and of links to peers, servers and the store that are open all the time.
RESERVED_DESCRIPTORS = 200
# Each request in progress takes a second descriptor, for the connection to its server.
CLIENT_DESCRIPTORS_SHARE = 0.5
MIN_CONNECTIONS = 16
# Published sizes of bodies count up to this one: a VM has 300 MB.
MAX_PUBLISHED_BODY_BYTES = 64 << 20


class ListenerGroup(enum.Enum):
    """Listeners whose clients share a budget, which no other group can use up."""

    # Clients of routes and of the product's own interface.
    REQUESTS = "requests"
    # Other VMs.
    PEERS = "peers"
    # Readiness checks and queries of the directory.
    OPERATIONS = "operations"


SHARE_BY_GROUP: Mapping[ListenerGroup, float] = {
    ListenerGroup.REQUESTS: 0.6,
    ListenerGroup.PEERS: 0.3,
    ListenerGroup.OPERATIONS: 0.1,
}


@frozen(kw_only=True)
class VmResources:
    """The memory and the descriptors that a process may use."""

    memory_bytes: int = 300_000_000
    descriptors: int = 4_100


@functools.cache
def budget_limits(
    group: ListenerGroup, resources: VmResources, max_body_bytes: int
) -> BudgetLimits:
    """Return the limits of a group, which admit one body of the largest size that fits."""
    share = SHARE_BY_GROUP[group]
    spare_bytes = _spare_bytes(resources)
    usable_descriptors = max(0, resources.descriptors - RESERVED_DESCRIPTORS)
    by_descriptors = share * CLIENT_DESCRIPTORS_SHARE * usable_descriptors
    by_memory = share * CONNECTIONS_SHARE * spare_bytes / CONNECTION_BYTES
    return BudgetLimits(
        connections=max(MIN_CONNECTIONS, int(min(by_descriptors, by_memory))),
        held_bytes=max(
            int(share * _base_bytes(resources)), _one_body_bytes(resources, max_body_bytes)
        ),
    )


@functools.cache
def process_limit_bytes(resources: VmResources, max_body_bytes: int) -> int:
    """Return what the clients of all groups may hold together."""
    return max(_base_bytes(resources), _one_body_bytes(resources, max_body_bytes))


def _spare_bytes(resources: VmResources) -> int:
    return max(0, resources.memory_bytes - PROCESS_BYTES)


def _base_bytes(resources: VmResources) -> int:
    return max(MIN_HELD_BYTES, int(HELD_SHARE * _spare_bytes(resources)))


def _one_body_bytes(resources: VmResources, max_body_bytes: int) -> int:
    needed_bytes = int((max_body_bytes + SMALL_HOLDING_BYTES) / (1.0 - SMALL_RESERVE_SHARE))
    return min(needed_bytes, int(ONE_BODY_SHARE * _spare_bytes(resources)))
