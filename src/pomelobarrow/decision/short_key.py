"""Name something long by four bytes in what VMs tell each other."""

import xxhash


def short_key(text: str) -> int:
    """Return four bytes that stand for a text; two of a few hundred hardly ever share them."""
    return xxhash.xxh32_intdigest(text.encode())
