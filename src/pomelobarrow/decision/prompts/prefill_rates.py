"""Estimate the share of their time that servers spend on prefill, from the tokens sent to them.

Load pattern: in a region of 65 VMs each sends a long prompt every few seconds. From its own rate
alone, a VM that has just sent one estimates the region's engines at five times their prefill
capacity, and one that hasn't estimates them idle; both also send this to other regions. So
neighbours, the VMs of a region with a direct link, send each other their rates.
"""

import math

from attrs import define, field

from pomelobarrow.decision.common.decaying_rate import HALF_LIFE_S, DecayingRates

# Up to this many VMs in a region, each estimates a server's share from its own requests alone.
MAX_VMS_WITH_OWN_RATES = 2.0


@define
class _PeerRate:
    tokens_per_s: float
    unix_s: float

    def decayed_per_s(self, now_unix_s: float) -> float:
        """Return the rate decayed by its age, as if no prompt had been sent since."""
        age_s = max(0.0, now_unix_s - self.unix_s)
        return self.tokens_per_s * 0.5 ** (age_s / HALF_LIFE_S)


@define
class PrefillRates:
    """The prompt tokens per second that this VM and its neighbours send to servers and pools.

    VMs without a received rate are assumed to send as much as the others, since clients spread over
    all VMs. In a region of many VMs this one sends too little to distinguish the servers, so the
    pool's mean gets a higher weight.
    """

    # The number of VMs that share the region's requests, including this one.
    region_vms: int = 1
    _by_server: DecayingRates = field(factory=DecayingRates)
    _by_pool: DecayingRates = field(factory=DecayingRates)
    _peer_rates: dict[tuple[str, str], _PeerRate] = field(factory=dict)

    def add(self, server: str, pool: str, tokens: int, now_unix_s: float) -> None:
        """Add a placement's uncached prompt tokens."""
        self._by_server.add(server, tokens, now_unix_s)
        self._by_pool.add(pool, tokens, now_unix_s)

    def share_of_pool(
        self, pool: str, servers: int, s_per_token: float, now_unix_s: float
    ) -> float:
        """Return the mean prefill share of a pool's servers."""
        peer_rates = [rate for (_, of_pool), rate in self._peer_rates.items() if of_pool == pool]
        peers_tokens_per_s = sum(each.decayed_per_s(now_unix_s) for each in peer_rates)
        tokens_per_s = self.own_tokens_per_s(pool, now_unix_s) + peers_tokens_per_s
        # A new neighbour's rate may arrive before the region's VMs are counted again.
        extrapolation_factor = max(1.0, self.region_vms / (1 + len(peer_rates)))
        return tokens_per_s * extrapolation_factor * s_per_token / max(1, servers)

    def own_tokens_per_s(self, pool: str, now_unix_s: float) -> float:
        """Return the tokens per second that this VM itself sends to a pool."""
        return self._by_pool.per_s(pool, now_unix_s)

    def observe_peer(self, vm: str, pool: str, tokens_per_s: float, now_unix_s: float) -> None:
        """Replace the rate that a neighbour sends to a pool."""
        # An invalid rate would make the pool look busy forever.
        if 0.0 <= tokens_per_s < math.inf:
            self._peer_rates[vm, pool] = _PeerRate(tokens_per_s, now_unix_s)

    def forget_peer(self, vm: str) -> None:
        """Drop a neighbour's rates."""
        for key in [key for key in self._peer_rates if key[0] == vm]:
            del self._peer_rates[key]

    def share(
        self, server: str, share_of_pool: float, s_per_token: float, now_unix_s: float
    ) -> float:
        """Return a server's prefill share, given the mean of its pool."""
        own_weight = min(1.0, MAX_VMS_WITH_OWN_RATES / self.region_vms)
        tokens_per_s = self._by_server.per_s(server, now_unix_s) * self.region_vms
        return own_weight * tokens_per_s * s_per_token + (1.0 - own_weight) * share_of_pool

    def forget(self, server: str) -> None:
        """Drop the tokens sent to a server."""
        self._by_server.forget(server)
