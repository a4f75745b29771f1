"""Find the block that distinguishes a prompt's group from all other prompts."""

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field

MAX_COUNTED_BLOCKS = 8_192
# Counts are halved after this many prompts, so that they follow changes in the traffic.
HALVE_AFTER_PROMPTS = 4_096
DEPTH_EWMA_WEIGHT = 0.05


@define
class PrefixPopularity:
    """Counts how many prompts share each leading block, up to the first rare one.

    The first block that isn't popular is the same for all prompts of, say, a repository or a
    contract template, and no group identified by it is large enough to fill a server. With
    rendezvous hashing on it, every VM sends a group to the same server without coordination.
    """

    prompts: float = 0.0
    # Moving average of the blocks that a prompt of a known group shares with earlier ones.
    group_depth: float = 0.0
    _known_prompts: int = 0
    _counts: OrderedDict[int, float] = field(factory=OrderedDict)

    def group_key(self, prefix_hashes: Sequence[int], max_share: float) -> int | None:
        """Return the first block that at most this share of the prompts has."""
        depth = self._key_depth(prefix_hashes, max_share)
        return prefix_hashes[depth] if depth < len(prefix_hashes) else None

    def observe(self, prefix_hashes: Sequence[int], max_share: float, shared_depth: int) -> None:
        """Count one prompt; `shared_depth` is the number of its blocks that are cached."""
        self.prompts += 1.0
        key_depth = self._key_depth(prefix_hashes, max_share)
        if shared_depth > key_depth:
            self._learn_depth(shared_depth)
        for block in prefix_hashes[: key_depth + 1]:
            self._counts[block] = self._counts.get(block, 0.0) + 1.0
            self._counts.move_to_end(block)
        self._trim()

    def _key_depth(self, prefix_hashes: Sequence[int], max_share: float) -> int:
        limit = max(1.0, max_share * self.prompts)
        for depth, block in enumerate(prefix_hashes):
            if self._counts.get(block, 0.0) <= limit:
                return depth
        return len(prefix_hashes)

    def _learn_depth(self, shared_depth: int) -> None:
        self._known_prompts += 1
        weight = max(DEPTH_EWMA_WEIGHT, 1.0 / self._known_prompts)
        self.group_depth += weight * (shared_depth - self.group_depth)

    def _trim(self) -> None:
        while len(self._counts) > MAX_COUNTED_BLOCKS:
            self._counts.popitem(last=False)
        if self.prompts < HALVE_AFTER_PROMPTS:
            return
        self.prompts /= 2.0
        for block in self._counts:
            self._counts[block] /= 2.0
