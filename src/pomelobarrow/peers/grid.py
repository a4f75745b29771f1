"""Choose the few VMs of a region that one VM exchanges heartbeats with.

In a small region they are all the others. In a larger one the VMs stand in a grid, by name, and a
VM speaks with its row and its column: what it says reaches every VM in two hops, and the cost of
a VM grows with the square root of the region. Whoever hears news on a row passes it on along its
column, and nothing else is passed on, so that each VM gets it once.
"""

import enum
import math
from collections.abc import Iterable

from attrs import frozen

FULL_MESH_UP_TO = 9


class LinkKind(enum.Enum):
    """Say what a peer is to this VM."""

    ROW = "row"
    COLUMN = "column"
    OTHER_REGION = "other region"


@frozen(kw_only=True)
class Neighbours:
    """Hold a VM's peers of its region; in a full mesh all of them count as its column."""

    row: frozenset[str] = frozenset()
    column: frozenset[str] = frozenset()
    region_vms: int = 1

    @property
    def all(self) -> frozenset[str]:
        """Return every neighbour."""
        return self.row | self.column

    @property
    def is_sparse(self) -> bool:
        """Say whether the region has VMs that aren't neighbours."""
        return self.region_vms > len(self.all) + 1

    def kind(self, vm: str, same_region: bool) -> LinkKind:
        """Return what a peer is to this VM."""
        if not same_region:
            return LinkKind.OTHER_REGION
        return LinkKind.ROW if vm in self.row else LinkKind.COLUMN


def passes_on(came: LinkKind | None, to: LinkKind) -> bool:
    """Say whether news is passed on inside the region; None is news of this VM's own."""
    is_entry = came in (None, LinkKind.OTHER_REGION)
    return is_entry or (came is LinkKind.ROW and to is LinkKind.COLUMN)


def neighbours(own_vm: str, region_vms: Iterable[str]) -> Neighbours:
    """Return the peers of a VM; two VMs that know the same names agree on being neighbours."""
    names = sorted({own_vm, *region_vms})
    others = frozenset(names) - {own_vm}
    if len(names) <= FULL_MESH_UP_TO:
        return Neighbours(column=others, region_vms=len(names))
    width = math.ceil(math.sqrt(len(names)))
    rows = _rows(names, width)
    row = {vm for each in rows if own_vm in each for vm in each}
    own_place = names.index(own_vm) % width
    column = set(names[own_place::width])
    return Neighbours(
        row=frozenset(row - {own_vm}),
        column=frozenset(column - row - {own_vm}),
        region_vms=len(names),
    )


def _rows(names: list[str], width: int) -> list[list[str]]:
    rows = [names[start : start + width] for start in range(0, len(names), width)]
    # A short last row has no VM in the last columns. Without stand-ins from the row above, its
    # news would never get there.
    if len(rows) > 1:
        rows[-1] = rows[-1] + rows[-2][len(rows[-1]) :]
    return rows
