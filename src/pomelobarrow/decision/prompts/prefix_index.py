"""Track which backend servers have which prompt prefixes cached."""

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from pomelobarrow.decision.prompts.prefix_popularity import PrefixPopularity
from pomelobarrow.decision.prompts.token_estimates import BLOCK_TOKENS
from pomelobarrow.decision.requests.work import BackendServer

STORED = "stored"
DEFAULT_CAPACITY_BLOCKS = 512
# Limit over all servers. At about 150 bytes per block, the index stays under 20 MB.
MAX_BLOCKS = 120_000


class PrefixIndex:
    """Block hashes cached by each server, from own placements and delayed, lossy cache events.

    Each server has an LRU list with the capacity of the engine's own cache. A block whose eviction
    event was lost would attract prompts to a server that has to compute them again; the list
    evicts it at about the same time as the engine.
    """

    def __init__(self) -> None:
        self._blocks: defaultdict[str, OrderedDict[int, None]] = defaultdict(OrderedDict)
        self._capacity_blocks: dict[str, int] = {}
        self._popularity = PrefixPopularity()

    def set_capacities(self, kv_capacity_tokens: Mapping[str, int]) -> None:
        """Set the servers and their cache sizes, and drop every other server."""
        share = MAX_BLOCKS // max(1, len(kv_capacity_tokens))
        self._capacity_blocks = {
            server: max(1, min(share, tokens // BLOCK_TOKENS))
            for server, tokens in kv_capacity_tokens.items()
        }
        for server in set(self._blocks) - set(kv_capacity_tokens):
            del self._blocks[server]

    def observe_placement(self, server: str, prefix_hashes: Sequence[int]) -> None:
        """Record that a server will have cached the prompt that was just sent to it."""
        key = self.group_key(prefix_hashes)
        holders = [s for s, blocks in self._blocks.items() if key is not None and key in blocks]
        shared_depth = max((self._depth(s, prefix_hashes) for s in holders), default=0)
        self._popularity.observe(prefix_hashes, self._max_group_share, shared_depth)
        self._store(server, prefix_hashes)

    def forget(self, server: str) -> None:
        """Drop the blocks of a server that restarted with an empty cache."""
        self._blocks.pop(server, None)

    def holds(self, server: str, block: int) -> bool:
        """Return whether a server is expected to have a block cached."""
        blocks = self._blocks.get(server)
        return blocks is not None and block in blocks

    def holders(self, servers: Iterable[BackendServer], block: int) -> list[BackendServer]:
        """Return the servers that are expected to have a block cached."""
        blocks = self._blocks
        return [s for s in servers if s.name in blocks and block in blocks[s.name]]

    def group_key(self, prefix_hashes: Sequence[int]) -> int | None:
        """Return the block that identifies a prompt's group, the same on every VM."""
        return self._popularity.group_key(prefix_hashes, self._max_group_share)

    def typical_group_tokens(self) -> int:
        """Return the mean number of tokens that a prompt of a known group shares with others."""
        return round(self._popularity.group_depth * BLOCK_TOKENS)

    def observe_event(self, server: str, kind: str, block: int) -> None:
        """Apply one cache event of an engine."""
        if kind == STORED:
            self._store(server, (block,))
            return
        self._blocks[server].pop(block, None)

    def observe_gap(self, server: str) -> None:
        """Drop the older half of a server's blocks after some of its events were missed."""
        blocks = self._blocks[server]
        for _ in range(len(blocks) // 2):
            blocks.popitem(last=False)

    def cached_tokens(self, server: str, prefix_hashes: Sequence[int]) -> int:
        """Return the number of leading prompt tokens that a server is expected to have cached."""
        return self._depth(server, prefix_hashes) * BLOCK_TOKENS

    def __len__(self) -> int:
        return sum(len(blocks) for blocks in self._blocks.values())

    @property
    def _max_group_share(self) -> float:
        # A group of at most half a server's share of prompts leaves capacity for other groups.
        return 0.5 / max(1, len(self._capacity_blocks))

    def _depth(self, server: str, prefix_hashes: Sequence[int]) -> int:
        blocks = self._blocks.get(server)
        if not blocks:
            return 0
        depth = 0
        for block in prefix_hashes:
            if block not in blocks:
                break
            depth += 1
        return depth

    def _store(self, server: str, prefix_hashes: Iterable[int]) -> None:
        blocks = self._blocks[server]
        # Later blocks are inserted first, so that they are evicted before the prefix they extend.
        for block in reversed(tuple(prefix_hashes)):
            blocks[block] = None
            blocks.move_to_end(block)
        capacity = self._capacity_blocks.get(server, DEFAULT_CAPACITY_BLOCKS)
        while len(blocks) > capacity:
            blocks.popitem(last=False)
