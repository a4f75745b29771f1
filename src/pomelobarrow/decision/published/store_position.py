"""Order what the platform's store has held by (era, revision), as one integer.

Within an era a higher revision is newer. When the store comes back from an older copy, it gives
revisions out again, and its era rises. A position holds the era in its high bits, so positions
compare like the pairs. Era 0 is that of a store or peer that states none.
"""

# Enough revisions for a thousand writes a second over two years. Fencing numbers, which add 16 low
# bits to a position, then still fit 64 bits for two thousand eras.
REVISION_BITS = 36
MAX_ERA = 2**27
MAX_REVISION = 2**REVISION_BITS - 1


def position(era: int, revision: int) -> int:
    """Return the position of a revision in an era."""
    return era << REVISION_BITS | revision


def era_of(store_position: int) -> int:
    """Return the era of a position."""
    return store_position >> REVISION_BITS


def revision_of(store_position: int) -> int:
    """Return the revision of a position, as the store numbers it."""
    return store_position & MAX_REVISION


def is_return(before: int, after: int) -> bool:
    """Return whether the store came back from an older copy between two positions."""
    return 0 < era_of(before) < era_of(after)
