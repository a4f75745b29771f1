"""Decide whether a server computes a prompt's shared part or copies it from another server.

Load pattern: a region's peak begins, and the prompts of a group arrive faster than the server that
has their shared part cached can start them. A second server that computes the part again delays all
its requests by the time of a long prompt; copying the part takes a fraction of that.
"""

from collections.abc import Mapping, Sequence

from attrs import define, field, frozen

from pomelobarrow.decision.published.routing import RelayPool
from pomelobarrow.decision.requests.work import BackendServer

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6
# Links that are free again are dropped once there are this many.
MAX_LINKS = 256


@frozen(kw_only=True)
class CopyLink:
    """The link between a pool's servers, as the pool's configuration states it."""

    bytes_per_token: int
    mbps: float

    def transfer_s(self, tokens: int) -> float:
        """Return the time that a transfer of cached tokens takes."""
        return tokens * self.bytes_per_token * BITS_PER_BYTE / (self.mbps * BITS_PER_MEGABIT)


def copy_link(pool: RelayPool | None) -> CopyLink | None:
    """Return a pool's link; None if its configuration doesn't state both size and speed."""
    if pool is None or not pool.kv_bytes_per_token or not pool.copy_link_mbps:
        return None
    return CopyLink(bytes_per_token=pool.kv_bytes_per_token, mbps=pool.copy_link_mbps)


@define
class CopyQueues:
    """Estimates when each server's link is free, as transfers run one after another.

    Only this VM's copies are counted: nearly all long prompts of a group are placed by one VM.
    """

    _free_unix_s: dict[str, float] = field(factory=dict)

    def wait_s(self, address: str, now_unix_s: float) -> float:
        """Return the time until a server's link is free."""
        return max(0.0, self._free_unix_s.get(address, 0.0) - now_unix_s)

    def note(self, address: str, transfer_s: float, now_unix_s: float) -> None:
        """Add a transfer to the queue of a server's link."""
        if len(self._free_unix_s) >= MAX_LINKS:
            self._free_unix_s = {a: s for a, s in self._free_unix_s.items() if s > now_unix_s}
        free_in_s = self.wait_s(address, now_unix_s) + transfer_s
        self._free_unix_s[address] = now_unix_s + free_in_s


@frozen(kw_only=True)
class PartCopy:
    """A copy of a prompt's shared part, and the computation that it saves."""

    source: BackendServer
    # Less the tokens that the server computes in the time that the copy takes.
    saved_tokens: int
    # What counts as cached: the tokens that the server has, and those that the copy saves.
    counted_tokens: int


@frozen(kw_only=True)
class CopySources:
    """The servers of a region from which a prompt's shared part may be copied now."""

    link: CopyLink
    tokens_by_source: Sequence[tuple[BackendServer, int]]
    # The time until each source's link is free, by its address.
    queue_s: Mapping[str, float] = field(factory=dict)

    def best_copy(
        self, target: BackendServer, cached_tokens: int, s_per_prefill_token: float
    ) -> PartCopy | None:
        """Return the copy that saves a server most; None if computing the part is as fast."""
        # Plain tuples, as this runs for each server that a long prompt may go to.
        copies = [
            (
                self._saved_tokens(source, tokens - cached_tokens, s_per_prefill_token),
                source.failure_domain == target.failure_domain,
                number,
            )
            for number, (source, tokens) in enumerate(self.tokens_by_source)
            if source.name != target.name and source.software_version == target.software_version
        ]
        saved_tokens, _, number = max(copies, default=(0, False, 0))
        if saved_tokens <= 0:
            return None
        source, _ = self.tokens_by_source[number]
        return PartCopy(
            source=source,
            saved_tokens=saved_tokens,
            counted_tokens=cached_tokens + saved_tokens,
        )

    def _saved_tokens(self, source: BackendServer, tokens: int, s_per_prefill_token: float) -> int:
        copy_s = self.queue_s.get(source.address, 0.0) + self.link.transfer_s(tokens)
        return tokens - round(copy_s / max(s_per_prefill_token, 1e-9))
