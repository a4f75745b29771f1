"""Reckon the share of their time that servers spend reading prompts, from what this VM sends."""

from attrs import define, field

from pomelobarrow.decision.decaying_rate import DecayingRates

# Up to so many VMs in a region, each can tell from its own requests how busy a server is.
TOLD_APART_BY_VMS = 2.0


@define
class ReadingRates:
    """Hold the prompt tokens a second that this VM sends to each server and pool.

    The region's VMs get like shares of the requests. Where they are many, this one sends too little
    to each server to tell them apart, and the pool's mean counts more.
    """

    # The VMs that share the region's requests, this one included.
    region_vms: int = 1
    _by_server: DecayingRates = field(factory=DecayingRates)
    _by_pool: DecayingRates = field(factory=DecayingRates)

    def add(self, server: str, pool: str, tokens: int, now_unix_s: float) -> None:
        """Count a placement's tokens."""
        self._by_server.add(server, tokens, now_unix_s)
        self._by_pool.add(pool, tokens, now_unix_s)

    def share_of_pool(
        self, pool: str, servers: int, s_per_token: float, now_unix_s: float
    ) -> float:
        """Return the mean share of a pool's servers."""
        tokens_per_s = self._by_pool.per_s(pool, now_unix_s) * self.region_vms
        return tokens_per_s * s_per_token / max(1, servers)

    def share(
        self, server: str, share_of_pool: float, s_per_token: float, now_unix_s: float
    ) -> float:
        """Return a server's share, given its pool's."""
        own_weight = min(1.0, TOLD_APART_BY_VMS / self.region_vms)
        tokens_per_s = self._by_server.per_s(server, now_unix_s) * self.region_vms
        return own_weight * tokens_per_s * s_per_token + (1.0 - own_weight) * share_of_pool

    def forget(self, server: str) -> None:
        """Drop what was sent to a server."""
        self._by_server.forget(server)
