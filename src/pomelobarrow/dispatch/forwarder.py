"""What the dispatcher needs of the peers."""

from collections.abc import Mapping
from typing import Protocol

from pomelobarrow.decision.attempt import Attempt
from pomelobarrow.decision.region_choice import RegionLoad
from pomelobarrow.decision.work import Work
from pomelobarrow.dispatch.answers import AnswerSink, AttemptResult
from pomelobarrow.dispatch.request import GatewayRequest


class Forwarder(Protocol):
    """Pass a request on to one peer, which runs it or refuses it."""

    def region_loads(self, work: Work) -> Mapping[str, RegionLoad]:
        """Return what is known of the other regions' pools."""

    async def forward_to_region(
        self,
        region: str,
        request: GatewayRequest,
        attempt: Attempt,
        sink: AnswerSink,
        excluded: frozenset[str],
    ) -> AttemptResult:
        """Send to a live peer of a region, leaving out the excluded ones."""

    async def forward_to_issuer(
        self, vm: str, incarnation: int, request: GatewayRequest, attempt: Attempt, sink: AnswerSink
    ) -> AttemptResult:
        """Send to the VM that issued the request's id, or to its successor."""
