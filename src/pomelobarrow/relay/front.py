"""Read and validate requests of clients and peers and hand them to the relay."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from aiohttp import web
from attrs import define, evolve, field
from result import Err, Ok, Result

from pomelobarrow.callers.bodies import read_body
from pomelobarrow.callers.headers import check_text
from pomelobarrow.decision.accounts.access import Admission
from pomelobarrow.decision.common.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.published.accounts import Rank
from pomelobarrow.decision.published.routing import Route, Routing
from pomelobarrow.decision.requests.planned_stop import PlannedStop
from pomelobarrow.decision.requests.work import Work
from pomelobarrow.decision.streams.software_history import StreamTarget
from pomelobarrow.dispatch.answers import CallerGoneError
from pomelobarrow.dispatch.refusals import refuse, refuse_stopping
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.peers.token_grants import Refund
from pomelobarrow.published.shared_read import no_read
from pomelobarrow.relay.access import RelayAccess
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.hop import (
    ATTEMPTS_OF_PEER,
    read_forwarder,
    read_key_sha256,
    read_routing_version,
    read_software_key,
    states_other_routes,
)
from pomelobarrow.relay.messages import RelayRequest, RequestHead, path_of
from pomelobarrow.relay.prompts import shared_blocks
from pomelobarrow.relay.refusal_answer import send_refusal
from pomelobarrow.relay.relay import Relay
from pomelobarrow.relay.stream_joins import ResumedStreams
from pomelobarrow.relay.wire import RelayWire

# A VM that restarts listens shortly before it has read the configuration and the server list. After
# a power loss all clients connect in that moment. A refused client comes back late, whereas the
# lists take a few reads of some milliseconds. If the store doesn't answer, clients wait no longer
# than this.
STARTUP_WAIT_S = 0.3
CHECK_EVERY_S = 0.02
# Peers push changes within some milliseconds, without a call to the store.
DELTA_WAIT_S = 0.1
# Some round trips to the store of another region. The forwarding VM tries others after that.
CATCH_UP_WAIT_S = 0.3
STOPS_TOO_SOON = "this VM is stopping and might not finish the request in time"
REMEDY_REQUEST = "correct the request as the interface specification describes"


@define(kw_only=True)
class RelayFront:
    """Handle the requests of the client and peer listeners."""

    own_region: str
    relay: Relay
    wire: RelayWire
    routing: Callable[[], Routing | None]
    is_draining: Callable[[], bool]
    planned_stop: PlannedStop = field(factory=PlannedStop)
    access: RelayAccess = field(factory=RelayAccess)
    resumed: ResumedStreams = field(factory=ResumedStreams)
    # Returns whether this VM has received the list of backend servers.
    has_server_list: Callable[[], bool] = lambda: True
    # Returns once a read of the store has ended that began after the call.
    read_lists: Callable[[], Awaitable[None]] = no_read

    async def from_client(self, incoming: web.BaseRequest) -> web.StreamResponse:
        """Answer a client's request."""
        return await self._serve(incoming, "")

    async def from_peer(self, incoming: web.BaseRequest) -> web.StreamResponse:
        """Answer a request that a peer forwards."""
        forwarded_by = read_forwarder(incoming.headers)
        if not forwarded_by:
            return await self._refuse(
                incoming, _malformed("the header that names the forwarding peer is missing")
            )
        return await self._serve(incoming, forwarded_by)

    async def _serve(self, incoming: web.BaseRequest, forwarded_by: str) -> web.StreamResponse:
        accepted_unix_s = now_unix_s()
        routing = await self._wait_for_routing(accepted_unix_s)
        if routing is None:
            refusal = refuse(ErrorKind.NOT_READY, RunStatus.NO, "no configuration yet")
            return await self._refuse(incoming, refusal)
        if forwarded_by and states_other_routes(incoming.headers, routing):
            routing = await self._catch_up(routing, read_routing_version(incoming.headers))
            if routing is None:
                return await self._refuse(incoming, _routes_too_old())
        admitted = await self._admit(incoming, routing, forwarded_by, accepted_unix_s)
        if isinstance(admitted, Err):
            return await self._refuse(incoming, admitted.err_value)
        request = admitted.ok_value
        # The VM that the client sent the request to has charged it already.
        if forwarded_by:
            return await self._answer(incoming, request, routing)
        charged = await self.access.charge(routing, request)
        if isinstance(charged, Err):
            return await self._refuse(incoming, charged.err_value)
        return await self._answer(incoming, request, routing, charged.ok_value)

    async def _admit(
        self,
        incoming: web.BaseRequest,
        routing: Routing,
        forwarded_by: str,
        accepted_unix_s: float,
    ) -> Result[RelayRequest, Refusal]:
        """Read a request and check it: its form, route, key and size."""
        read = self._read(incoming, routing, forwarded_by)
        if isinstance(read, Err):
            return read
        head, route = read.ok_value
        checked = self.access.check(routing, route, head, forwarded_by)
        if isinstance(checked, Err):
            return checked
        body = await read_body(incoming, accepted_unix_s + _time_limit_s(head, route))
        if isinstance(body, Err):
            return body
        pool = checked.ok_value.route.choose_pool(self.relay.rng)
        stated = read_software_key(incoming.headers) if forwarded_by else None
        target = StreamTarget(incoming.headers["Host"], path_of(incoming.raw_path))
        bound = await self.resumed.bind(head, target, route, pool, stated)
        if isinstance(bound, Err):
            return bound
        pool, software = bound.ok_value
        request = self._request(
            incoming,
            head,
            checked.ok_value,
            forwarded_by,
            accepted_unix_s,
            body.ok_value,
            pool,
            software,
            routing.version_text,
        )
        # The body may have taken long to arrive.
        stop, deadline_unix_s = self.planned_stop, request.work.deadline_unix_s
        if stop.has_begun and not stop.can_finish(deadline_unix_s, now_unix_s()):
            return Err(refuse_stopping(STOPS_TOO_SOON))
        return Ok(request)

    async def _answer(
        self,
        incoming: web.BaseRequest,
        request: RelayRequest,
        routing: Routing,
        refund: Refund = lambda: None,
    ) -> web.StreamResponse:
        sink = ClientAnswer(incoming, closes=self.is_draining)
        if not await self.relay.answer(request, routing, sink):
            refund()
        return sink.response or _closed(incoming)

    async def _wait_for_routing(self, accepted_unix_s: float) -> Routing | None:
        """Return the published routing, waiting briefly if this VM has just started."""
        give_up_unix_s = accepted_unix_s + STARTUP_WAIT_S
        while self.routing() is None or not self.has_server_list():
            if now_unix_s() >= give_up_unix_s:
                break
            await asyncio.sleep(CHECK_EVERY_S)
        return self.routing()

    async def _catch_up(self, routing: Routing, stated_version: int) -> Routing | None:
        """Return routes that are as new as a peer's, None if they can't be read in time."""
        wait_until_unix_s = now_unix_s() + DELTA_WAIT_S
        while routing.version < stated_version and now_unix_s() < wait_until_unix_s:
            await asyncio.sleep(CHECK_EVERY_S)
            routing = self.routing() or routing
        if routing.version < stated_version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CATCH_UP_WAIT_S):
                    await self.read_lists()
            routing = self.routing() or routing
        return routing if routing.version >= stated_version else None

    def _read(
        self, incoming: web.BaseRequest, routing: Routing, forwarded_by: str
    ) -> Result[tuple[RequestHead, Route], Refusal]:
        checked = check_text(incoming.raw_path, incoming.headers)
        if isinstance(checked, Err):
            return checked
        if not incoming.raw_path.startswith("/"):
            return Err(_malformed("the request target does not begin with a slash"))
        route = routing.find(incoming.headers.get("Host", ""), path_of(incoming.raw_path))
        if route is None:
            return Err(_no_route(forwarded_by))
        head = self.wire.read_request(incoming.headers)
        if isinstance(head, Err):
            return Err(_malformed(head.err_value))
        if forwarded_by:
            hashed = read_key_sha256(incoming.headers)
            return Ok((evolve(head.ok_value, key_sha256=hashed), route))
        return Ok((head.ok_value, route))

    def _request(
        self,
        incoming: web.BaseRequest,
        head: RequestHead,
        admission: Admission,
        forwarded_by: str,
        accepted_unix_s: float,
        body: bytes,
        pool: str,
        software_key: int | None,
        routing_version: str,
    ) -> RelayRequest:
        route, account = admission.route, admission.account
        account_name = account.name if account else ""
        return RelayRequest(
            head=head,
            route=route,
            account=account,
            work=self._work(head, route, account_name, pool, accepted_unix_s),
            method=incoming.method,
            host=incoming.headers["Host"],
            target=incoming.raw_path,
            body=body,
            forwarded_by=forwarded_by,
            routing_version=routing_version,
            attempts_left=ATTEMPTS_OF_PEER if forwarded_by else route.max_attempts,
            software_key=software_key,
        )

    def _work(
        self, head: RequestHead, route: Route, account: str, pool: str, accepted_unix_s: float
    ) -> Work:
        return Work(
            request_id=head.request_id,
            class_name=route.name,
            account=account,
            rank=Rank.PAYING,
            pool=pool,
            model=head.model,
            home_region=self.own_region,
            home_bound=not route.may_run_in(self.own_region),
            repeatable=route.is_repeatable,
            prompt_tokens=head.prompt_tokens,
            expected_output_tokens=head.max_output_tokens,
            prefix_hashes=shared_blocks(head.prompt_parts),
            shared_tokens=head.shared_tokens,
            accepted_unix_s=accepted_unix_s,
            first_token_due_unix_s=accepted_unix_s + route.first_answer_target_s,
            deadline_unix_s=accepted_unix_s + _time_limit_s(head, route),
            gap_target_s=route.gap_target_s if route.is_stream else 0.0,
        )

    async def _refuse(self, incoming: web.BaseRequest, refusal: Refusal) -> web.StreamResponse:
        sink = ClientAnswer(incoming, closes=self.is_draining)
        try:
            await send_refusal(refusal, "", sink)
        except CallerGoneError:
            return _closed(incoming)
        return sink.response or _closed(incoming)


def _time_limit_s(head: RequestHead, route: Route) -> float:
    """Return the time that a request may take; a client may ask for less than its route allows."""
    stated_s = head.time_limit_s
    return route.timeout_s if stated_s is None else min(stated_s, route.timeout_s)


def _malformed(detail: str) -> Refusal:
    return refuse(ErrorKind.MALFORMED_REQUEST, RunStatus.NO, detail, remedy=REMEDY_REQUEST)


def _no_route(forwarded_by: str) -> Refusal:
    """Return the refusal of an unknown route.

    If a peer forwarded the request, the route exists and this VM's configuration is out of date, so
    it must not answer that there is no such route.
    """
    if forwarded_by:
        return refuse(ErrorKind.NOT_READY, RunStatus.NO, "this VM has not received the route yet")
    remedy = "use a host and path of a published route"
    return refuse(
        ErrorKind.UNKNOWN_SERVICE, RunStatus.NO, "no route matches the host and path", remedy=remedy
    )


def _routes_too_old() -> Refusal:
    detail = "this VM has not received the routes under which the request was forwarded yet"
    return refuse(ErrorKind.NOT_READY, RunStatus.NO, detail)


def _closed(incoming: web.BaseRequest) -> web.StreamResponse:
    """Close the connection of a client that has left; return the response that aiohttp requires."""
    if incoming.transport is not None:
        incoming.transport.close()
    return web.Response(status=499)
