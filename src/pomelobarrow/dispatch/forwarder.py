"""Interface through which the dispatcher forwards requests to peers."""

from collections.abc import Mapping
from typing import Protocol

from pomelobarrow.decision.placement.region_choice import RegionLoad
from pomelobarrow.decision.requests.attempt import Attempt
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.dispatch.answers import AnswerSink, AttemptResult
from pomelobarrow.dispatch.request import GatewayRequest


class Forwarder(Protocol):
    """Forward a request to one peer, which runs or refuses it."""

    def region_loads(self, work: Work) -> Mapping[str, RegionLoad]:
        """Return the known load of the pool in other regions."""

    def has_peer(self, region: str, pool: str, excluded: frozenset[str]) -> bool:
        """Return whether a live peer of a region may reach a server of a pool."""

    async def forward_to_region(
        self,
        region: str,
        request: GatewayRequest,
        attempt: Attempt,
        sink: AnswerSink,
        excluded: frozenset[str],
    ) -> AttemptResult:
        """Send to a live peer of a region other than the excluded ones."""

    async def forward_to_issuer(
        self, vm: str, incarnation: int, request: GatewayRequest, attempt: Attempt, sink: AnswerSink
    ) -> AttemptResult:
        """Send to the VM that issued the request's id, or to its successor."""
