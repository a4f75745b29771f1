"""Hash the blocks of a prompt by its parts for the prefix index."""

import functools
from collections.abc import Sequence

import xxhash

from pomelobarrow.decision.prompts.token_estimates import BLOCK_TOKENS
from pomelobarrow.relay.messages import PromptPart

MAX_CACHED_PARTS = 4_096
# A request holds at most this much, so that no prompt is longer.
MAX_BODY_BYTES = 4 << 20


def shared_blocks(parts: Sequence[PromptPart]) -> tuple[int, ...]:
    """Return the hashes of the blocks that other prompts may share, in order.

    The last part is unique to the request, so its blocks are never reused.
    """
    blocks: list[int] = []
    for part in parts[:-1]:
        blocks += _part_blocks(blocks[-1] if blocks else 0, part.id, part.tokens)
    return tuple(blocks)


@functools.lru_cache(MAX_CACHED_PARTS)
def _part_blocks(predecessor: int, part_id: str, tokens: int) -> tuple[int, ...]:
    seed = xxhash.xxh64_intdigest(part_id.encode(), seed=predecessor)
    count = round(tokens / BLOCK_TOKENS)
    return tuple(xxhash.xxh64_intdigest(number.to_bytes(4), seed=seed) for number in range(count))
