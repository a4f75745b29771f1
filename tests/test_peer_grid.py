import pytest

from pomelobarrow.peers.grid import FULL_MESH_MAX_VMS, LinkKind, neighbours, passes_on

SIZES = [*range(1, 60), 97]


def region(size: int) -> list[str]:
    return [f"vm{number:03d}" for number in range(size)]


@pytest.mark.parametrize("size", SIZES)
def test_both_ends_agree_on_their_kind(size: int) -> None:
    names = region(size)
    peers = {vm: neighbours(vm, names) for vm in names}

    assert all(vm in peers[other].row for vm in names for other in peers[vm].row)
    assert all(vm in peers[other].column for vm in names for other in peers[vm].column)


@pytest.mark.parametrize("size", SIZES)
def test_updates_reach_every_vm_in_two_hops(size: int) -> None:
    names = region(size)
    peers = {vm: neighbours(vm, names) for vm in names}

    for vm in names:
        reached = set(peers[vm].all)
        for first in peers[vm].row:
            reached |= peers[first].column
        assert reached >= set(names) - {vm}


@pytest.mark.parametrize("size", [FULL_MESH_MAX_VMS, 20, 50, 97])
def test_links_grow_with_the_square_root(size: int) -> None:
    names = region(size)

    assert max(len(neighbours(vm, names).all) for vm in names) <= 3 * size**0.5


def test_a_small_region_passes_nothing_on() -> None:
    peers = neighbours("vm000", region(FULL_MESH_MAX_VMS))

    assert (peers.row, peers.is_sparse) == (frozenset(), False)


@pytest.mark.parametrize(
    ("came", "to", "is_passed"),
    [
        (None, LinkKind.ROW, True),
        (LinkKind.OTHER_REGION, LinkKind.COLUMN, True),
        (LinkKind.ROW, LinkKind.COLUMN, True),
        (LinkKind.ROW, LinkKind.ROW, False),
        (LinkKind.COLUMN, LinkKind.ROW, False),
        (LinkKind.COLUMN, LinkKind.COLUMN, False),
    ],
)
def test_updates_are_passed_on_only_from_row_to_column(
    came: LinkKind | None, to: LinkKind, is_passed: bool
) -> None:
    assert passes_on(came, to) is is_passed
