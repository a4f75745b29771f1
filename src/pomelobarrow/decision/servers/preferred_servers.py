"""Cache the servers of each pool that are preferred for new work."""

from collections.abc import Callable, Sequence

from attrs import define, field

from pomelobarrow.decision.requests.work import BackendServer


@define
class PreferredServers:
    """The servers of each pool that stay, until the list or the closed domains change."""

    # Returns the servers of a pool that stay.
    staying: Callable[[str], Sequence[BackendServer]]
    _closed_domains: frozenset[str] = frozenset()
    _by_pool: dict[str, Sequence[BackendServer]] = field(factory=dict)

    def clear(self) -> None:
        """Drop the cache after a change of the list."""
        self._by_pool.clear()

    def of(self, pool: str, closed_domains: frozenset[str]) -> Sequence[BackendServer]:
        """Return the servers of a pool that stay; those with valid leases if there are any."""
        if closed_domains is not self._closed_domains:
            self._by_pool.clear()
            self._closed_domains = closed_domains
        preferred = self._by_pool.get(pool)
        if preferred is None:
            staying = self.staying(pool)
            # An expired lease doesn't prove a server gone.
            valid = [server for server in staying if not server.is_lease_expired]
            preferred = self._by_pool[pool] = valid or staying
        return preferred
