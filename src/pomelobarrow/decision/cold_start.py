"""Limit what a backend server gets while it is cold."""

from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.decision.rendezvous import rendezvous
from pomelobarrow.decision.work import BackendServer

# Few VMs send to a cold server, each at its part of the rate. Were every VM of a large region to
# send its first request at once, the server would get them all in one second and crash.
MAX_SENDERS = 3
# VMs whose views of the region differ may name more senders; this much of the rate is left free.
RATE_SHARE = 0.8


@define
class _Bucket:
    tokens: float = 1.0
    filled_unix_s: float = 0.0


@define(kw_only=True)
class ColdLimiter:
    """Hold this VM's allowance for each cold server."""

    own_vm: str
    _buckets: dict[str, _Bucket] = field(factory=dict)

    def allows(
        self,
        server: BackendServer,
        rate_per_s: float,
        region_vms: Iterable[str],
        now_unix_s: float,
    ) -> bool:
        """Say whether this VM may send one more request to a cold server now."""
        senders = rendezvous(f"cold/{server.incarnation}", region_vms, MAX_SENDERS)
        if self.own_vm not in senders:
            return False
        rate = RATE_SHARE * rate_per_s / len(senders)
        bucket = self._buckets.setdefault(server.incarnation, _Bucket(filled_unix_s=now_unix_s))
        elapsed_s = max(0.0, now_unix_s - bucket.filled_unix_s)
        bucket.tokens = min(1.0, bucket.tokens + elapsed_s * rate)
        bucket.filled_unix_s = now_unix_s
        return bucket.tokens >= 1.0

    def take(self, server: BackendServer) -> None:
        """Spend the allowance on a placement; a warm server has none."""
        if server.incarnation in self._buckets:
            self._buckets[server.incarnation].tokens = 0.0
