"""Exchange with peers which backend servers leave."""

from attrs import define

from pomelobarrow.decision.servers.departures import Departures, DepartureSource
from pomelobarrow.peers import peers_pb2 as pb


@define
class SentDepartures:
    """Record the departures sent on one stream."""

    keys: frozenset[int] = frozenset()


@define
class DepartureUpdates:
    """Send each departure once on each stream, also those that peers sent.

    A departure holds for good, so a heartbeat that is overtaken by a later one still counts.
    """

    departures: Departures

    def write(self, heartbeat: pb.Heartbeat, sent: SentDepartures) -> None:
        """Add the departures that are new to this peer."""
        keys = self.departures.keys
        heartbeat.leaving_keys.extend(sorted(keys - sent.keys))
        sent.keys = keys

    def apply(self, heartbeat: pb.Heartbeat, now_unix_s: float) -> None:
        """Record the departures in a peer's heartbeat."""
        for key in heartbeat.leaving_keys:
            self.departures.observe(key, DepartureSource.PEER, now_unix_s)
