"""Reckon the share of their time that servers spend reading prompts, from what VMs send there.

Load pattern: in a region of 65 VMs each sends a long prompt in some seconds. By its own alone, one
that has just sent one takes the region's engines to read five times as much as they can, and one
that hasn't takes them for idle; other regions hear of either. So neighbours tell their own rates.
"""

import math

from attrs import define, field

from pomelobarrow.decision.decaying_rate import HALF_LIFE_S, DecayingRates

# Up to so many VMs in a region, each can tell from its own requests how busy a server is.
TOLD_APART_BY_VMS = 2.0


@define
class _Told:
    tokens_per_s: float
    unix_s: float

    def at(self, now_unix_s: float) -> float:
        """Return the rate as it has faded since, as a rate without further prompts does."""
        age_s = max(0.0, now_unix_s - self.unix_s)
        return self.tokens_per_s * 0.5 ** (age_s / HALF_LIFE_S)


@define
class PrefillRates:
    """Hold the prompt tokens a second that this VM and its neighbours send to servers and pools.

    VMs that aren't heard are taken to do as those that are, as clients spread over all. Where the
    region's VMs are many, this one sends too little to each server to tell them apart, and the
    pool's mean counts more.
    """

    # The VMs that share the region's requests, this one included.
    region_vms: int = 1
    _by_server: DecayingRates = field(factory=DecayingRates)
    _by_pool: DecayingRates = field(factory=DecayingRates)
    _told: dict[tuple[str, str], _Told] = field(factory=dict)

    def add(self, server: str, pool: str, tokens: int, now_unix_s: float) -> None:
        """Count a placement's tokens."""
        self._by_server.add(server, tokens, now_unix_s)
        self._by_pool.add(pool, tokens, now_unix_s)

    def share_of_pool(
        self, pool: str, servers: int, s_per_token: float, now_unix_s: float
    ) -> float:
        """Return the mean share of a pool's servers."""
        told = [told for (_, of_pool), told in self._told.items() if of_pool == pool]
        told_per_s = sum(each.at(now_unix_s) for each in told)
        tokens_per_s = self.own_tokens_per_s(pool, now_unix_s) + told_per_s
        # A neighbour may be heard a moment before the region's VMs are counted anew.
        unheard_factor = max(1.0, self.region_vms / (1 + len(told)))
        return tokens_per_s * unheard_factor * s_per_token / max(1, servers)

    def own_tokens_per_s(self, pool: str, now_unix_s: float) -> float:
        """Return the tokens a second that this VM itself sends to a pool."""
        return self._by_pool.per_s(pool, now_unix_s)

    def observe_peer(self, vm: str, pool: str, tokens_per_s: float, now_unix_s: float) -> None:
        """Take in what a neighbour sends to a pool."""
        # One that errs must not make a pool look busy for ever.
        if 0.0 <= tokens_per_s < math.inf:
            self._told[vm, pool] = _Told(tokens_per_s, now_unix_s)

    def forget_peer(self, vm: str) -> None:
        """Drop what a neighbour told."""
        for key in [key for key in self._told if key[0] == vm]:
            del self._told[key]

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
