"""Keep the in-flight counts that a peer sent with its last two heartbeats."""

from collections.abc import Iterator, Mapping

from attrs import evolve, field, frozen

from pomelobarrow.decision.requests.work import InFlight

NOTHING = InFlight()
NEVER = float("-inf")


@frozen(kw_only=True)
class PeerCounts:
    """In-flight counts by server from a peer's last two heartbeats."""

    latest: Mapping[str, InFlight] = field(factory=dict)
    latest_unix_s: float = NEVER
    previous: Mapping[str, InFlight] = field(factory=dict)
    previous_unix_s: float = NEVER

    def after(self, in_flight: Mapping[str, InFlight], now_unix_s: float) -> "PeerCounts":
        """Return the counts after one more heartbeat."""
        return PeerCounts(
            latest=dict(in_flight),
            latest_unix_s=now_unix_s,
            previous=self.latest,
            previous_unix_s=self.latest_unix_s,
        )

    def changes(
        self, in_flight: Mapping[str, InFlight]
    ) -> Iterator[tuple[str, InFlight, InFlight]]:
        """Yield each server whose count may differ in a new heartbeat, with both counts."""
        for name in self.latest.keys() | in_flight.keys():
            old, new = self.latest.get(name, NOTHING), in_flight.get(name, NOTHING)
            if old is not new:
                yield name, old, new

    def without(self, server: str) -> "PeerCounts":
        """Return the counts without a server that is gone or has restarted."""
        return evolve(
            self,
            latest={name: count for name, count in self.latest.items() if name != server},
            previous={name: count for name, count in self.previous.items() if name != server},
        )

    def near(self, server: str, unix_s: float) -> InFlight:
        """Return the count from the heartbeat that is nearest to a time."""
        is_latest = abs(self.latest_unix_s - unix_s) <= abs(self.previous_unix_s - unix_s)
        return (self.latest if is_latest else self.previous).get(server, NOTHING)


def counts_near(peers: Mapping[str, PeerCounts], server: str, unix_s: float) -> dict[str, InFlight]:
    """Return the counts of the peers that had requests on a server near a time."""
    counts = {}
    for vm, peer in peers.items():
        # Most peers have no requests on a given server.
        if server in peer.latest or server in peer.previous:
            count = peer.near(server, unix_s)
            if count is not NOTHING:
                counts[vm] = count
    return counts
