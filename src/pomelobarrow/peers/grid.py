"""Choose the VMs of a region that one VM exchanges heartbeats with.

In a small region these are all other VMs. In a larger region the VMs are arranged in a grid, by
name, and a VM exchanges heartbeats with its row and its column. Its updates reach every VM in two
hops, and the cost per VM grows with the square root of the region's size. A VM that receives an
update on its row passes it on along its column. Nothing else is passed on, so that each VM gets
each update once.
"""

import enum
import math
from collections.abc import Iterable

from attrs import frozen

FULL_MESH_MAX_VMS = 9


class LinkKind(enum.Enum):
    """Enumerate the positions that a peer can have relative to this VM."""

    ROW = "row"
    COLUMN = "column"
    OTHER_REGION = "other region"


@frozen(kw_only=True)
class Neighbours:
    """List a VM's peers in its region; in a full mesh all of them count as its column."""

    row: frozenset[str] = frozenset()
    column: frozenset[str] = frozenset()
    region_vms: int = 1

    @property
    def all(self) -> frozenset[str]:
        """Return every neighbour."""
        return self.row | self.column

    @property
    def is_sparse(self) -> bool:
        """Return whether the region has VMs that aren't neighbours."""
        return self.region_vms > len(self.all) + 1

    def kind(self, vm: str, same_region: bool) -> LinkKind:
        """Return the position of a peer relative to this VM."""
        if not same_region:
            return LinkKind.OTHER_REGION
        return LinkKind.ROW if vm in self.row else LinkKind.COLUMN


def passes_on(source: LinkKind | None, to: LinkKind) -> bool:
    """Return whether an update is passed on in the region; source is None for this VM's own."""
    is_first_in_region = source in (None, LinkKind.OTHER_REGION)
    return is_first_in_region or (source is LinkKind.ROW and to is LinkKind.COLUMN)


def neighbours(own_vm: str, region_vms: Iterable[str]) -> Neighbours:
    """Return a VM's neighbours; two VMs with the same list of names agree on it."""
    names = sorted({own_vm, *region_vms})
    others = frozenset(names) - {own_vm}
    if len(names) <= FULL_MESH_MAX_VMS:
        return Neighbours(column=others, region_vms=len(names))
    width = math.ceil(math.sqrt(len(names)))
    rows = _rows(names, width)
    row = {vm for each in rows if own_vm in each for vm in each}
    own_position = names.index(own_vm) % width
    column = set(names[own_position::width])
    return Neighbours(
        row=frozenset(row - {own_vm}),
        column=frozenset(column - row - {own_vm}),
        region_vms=len(names),
    )


def _rows(names: list[str], width: int) -> list[list[str]]:
    rows = [names[start : start + width] for start in range(0, len(names), width)]
    # A short last row has no VM in the last columns, so that its updates would never reach them.
    # VMs of the row above fill these positions.
    if len(rows) > 1:
        rows[-1] = rows[-1] + rows[-2][len(rows[-1]) :]
    return rows
