"""Cut VMs off from all others and from the store, and say what each daemon is then cut off from."""

from collections.abc import Iterable, Mapping
from random import Random

from attrs import field, frozen

from harness.partition import NONE, Cut


@frozen(kw_only=True, eq=False)
class Partition:
    """VMs that are cut off from all others, but not from one another."""

    vms: frozenset[str] = field(converter=frozenset)
    cuts_incoming: bool = True
    cuts_outgoing: bool = True
    cuts_connections: bool = True
    cuts_datagrams: bool = True
    cuts_store: bool = True


# Shorter than the time within which a configuration has to apply.
DURATION_S = (0.3, 4.5)
# Whether what arrives is cut, and what is sent.
WAYS = ((True, True), (True, True), (True, False), (False, True))
STORE_SHARE, DATAGRAMS_ALONE_SHARE = 0.8, 0.1


def draw_partition(vms: Iterable[str], rng: Random) -> Partition:
    """Return a partition of these VMs, with random ways."""
    cuts_incoming, cuts_outgoing = rng.choice(WAYS)
    return Partition(
        vms=vms,
        cuts_incoming=cuts_incoming,
        cuts_outgoing=cuts_outgoing,
        cuts_connections=rng.random() >= DATAGRAMS_ALONE_SHARE,
        cuts_store=rng.random() < STORE_SHARE,
    )


def cut_of(
    vm: str, partitions: Iterable[Partition], ips: Mapping[str, str], store_address: str
) -> Cut:
    """Return what a VM is cut off from; the addresses of all VMs are given by VM."""
    found = NONE
    for each in partitions:
        for other, ip in ips.items():
            found |= _cut_between(vm, other, ip, each)
        if vm in each.vms and each.cuts_store:
            found |= _cut_from_store(store_address, each)
    return found


def _cut_between(vm: str, other: str, ip: str, partition: Partition) -> Cut:
    if (vm in partition.vms) == (other in partition.vms):
        return NONE
    is_inside = vm in partition.vms
    cuts_heard = partition.cuts_incoming if is_inside else partition.cuts_outgoing
    # What is sent arrives in the kernel of the other end, which hides it there.
    return Cut(
        unheard=_if(cuts_heard and partition.cuts_connections, ip),
        undialled=_if(partition.cuts_connections, ip),
        lost=_if(cuts_heard and partition.cuts_datagrams, ip),
    )


def _cut_from_store(address: str, partition: Partition) -> Cut:
    return Cut(
        unheard=_if(partition.cuts_incoming, address),
        withheld=_if(partition.cuts_outgoing, address),
        undialled=frozenset({address}),
    )


def _if(holds: bool, address: str) -> frozenset[str]:
    return frozenset({address} if holds else ())
