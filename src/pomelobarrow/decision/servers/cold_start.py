"""Limit the rate of requests to a cold (recently started) backend server."""

from collections.abc import Iterable

from attrs import define, field

from pomelobarrow.decision.common.shared_rate import SharedRates
from pomelobarrow.decision.requests.work import BackendServer

# Only this many VMs send to a cold server, each at its share of the rate. If every VM of a large
# region sent its first request immediately, the server would get them all in one second and crash.
MAX_SENDERS = 3
# VMs whose views of the region differ may select more senders, so only this fraction of the rate is
# used.
RATE_SHARE = 0.8


@define(kw_only=True)
class ColdLimiter:
    """This VM's share of the request rate of each cold server."""

    own_vm: str
    _rates: SharedRates = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rates = SharedRates(
            own_vm=self.own_vm,
            purpose="cold",
            senders=lambda rate_per_s: MAX_SENDERS,
            used_share=RATE_SHARE,
        )

    def allows(
        self,
        server: BackendServer,
        rate_per_s: float,
        region_vms: Iterable[str],
        now_unix_s: float,
    ) -> bool:
        """Return whether this VM may send a request to a cold server now."""
        key = server.incarnation
        return (
            self._rates.next_unix_s(key, rate_per_s, lambda: region_vms, now_unix_s) <= now_unix_s
        )

    def take(self, server: BackendServer, now_unix_s: float) -> None:
        """Count a placement against the share of a cold server; a warm server has none."""
        self._rates.take(server.incarnation, now_unix_s)
