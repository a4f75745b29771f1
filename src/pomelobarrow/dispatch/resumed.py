"""Fetch the rest of a stream that another entry VM of this region relayed until now."""

from collections.abc import Awaitable, Callable

from attrs import define

from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.dispatch.answers import AnswerSink, AttemptResult
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.dispatch.request import GatewayRequest

# Fetches the events of a request from a given number on; never sends the request itself.
RestFetcher = Callable[[GatewayRequest, BackendServer, int, AnswerSink], Awaitable[AttemptResult]]


@define(kw_only=True)
class ResumedDispatch:
    """Relay the rest of a stream from the server that runs its request."""

    table: LoadTable
    fetch_rest: RestFetcher

    async def fetch(
        self, request: GatewayRequest, server_name: str, from_event: int, sink: AnswerSink
    ) -> Refusal | None:
        """Relay the rest from the server that runs the request, or return a refusal."""
        listed = self.table.pool_servers(request.work.pool)
        server = next((each for each in listed if each.name == server_name), None)
        if server is None:
            detail = f"{server_name} is not listed in this region"
            return refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, detail)
        result = await self.fetch_rest(request, server, from_event, sink)
        if result.is_finished:
            return None
        refusal = refuse(ErrorKind.OUTCOME_UNKNOWN, RunStatus.UNKNOWN, result.detail)
        if result.head_passed:
            await sink.abort(refusal)
        return refusal
