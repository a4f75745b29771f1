"""Remember which backend servers hold which prompt prefixes."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from attrs import define, field

from pomelobarrow.decision.costs import BLOCK_TOKENS

# About 100 bytes each: 20,000 blocks stay near 2 MB.
MAX_BLOCKS = 20_000
STORED = "stored"


@define
class PrefixIndex:
    """Map block hashes to servers, from own placements and from late, gappy cache events."""

    max_blocks: int = MAX_BLOCKS
    _servers_by_block: OrderedDict[int, set[str]] = field(factory=OrderedDict)

    def observe_placement(self, server: str, prefix_hashes: Iterable[int]) -> None:
        """Expect a server to hold the prompt that it was just given."""
        for block in prefix_hashes:
            self._store(server, block)

    def observe_event(self, server: str, kind: str, block: int) -> None:
        """Take in one cache event of an engine."""
        if kind == STORED:
            self._store(server, block)
            return
        self._evict(server, block)

    def observe_gap(self, server: str) -> None:
        """Forget a server's blocks once its events were missed."""
        # A missed eviction would draw prompts to a server that has to compute them again. A missed
        # store costs one recomputed prefill, after which the own placement is known again.
        for block in [b for b, servers in self._servers_by_block.items() if server in servers]:
            self._evict(server, block)

    def forget_servers(self, kept: frozenset[str]) -> None:
        """Forget every server that is not kept."""
        known = set().union(*self._servers_by_block.values())
        for server in known - kept:
            self.observe_gap(server)

    def cached_tokens(self, server: str, prefix_hashes: Sequence[int]) -> int:
        """Count the leading prompt tokens that a server is expected to hold."""
        return self.cached_tokens_by_server(prefix_hashes).get(server, 0)

    def cached_tokens_by_server(self, prefix_hashes: Sequence[int]) -> dict[str, int]:
        """Count the leading prompt tokens that each server is expected to hold."""
        tokens: dict[str, int] = {}
        holders: set[str] | None = None
        for depth, block in enumerate(prefix_hashes, start=1):
            servers = self._servers_by_block.get(block)
            if not servers:
                break
            holders = set(servers) if holders is None else holders & servers
            if not holders:
                break
            tokens.update(dict.fromkeys(holders, depth * BLOCK_TOKENS))
        return tokens

    def __len__(self) -> int:
        return len(self._servers_by_block)

    def _store(self, server: str, block: int) -> None:
        self._servers_by_block.setdefault(block, set()).add(server)
        self._servers_by_block.move_to_end(block)
        while len(self._servers_by_block) > self.max_blocks:
            self._servers_by_block.popitem(last=False)

    def _evict(self, server: str, block: int) -> None:
        servers = self._servers_by_block.get(block)
        if servers is None:
            return
        servers.discard(server)
        if not servers:
            del self._servers_by_block[block]
