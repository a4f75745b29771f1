"""Take requests from clients and peers and hand them to the relay."""

import asyncio
from collections.abc import Callable
from functools import partial

from aiohttp import web
from attrs import define, field
from result import Err, Ok, Result

from pomelobarrow.callers.headers import check_text
from pomelobarrow.decision.configuration import Rank
from pomelobarrow.decision.errors import ErrorKind, Refusal, RunStatus
from pomelobarrow.decision.routing import Route, Routing
from pomelobarrow.decision.stream_admission import MIN_RETRY_AFTER_S
from pomelobarrow.decision.work import Work
from pomelobarrow.dispatch.answers import CallerGoneError
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.relay.answer import ClientAnswer
from pomelobarrow.relay.hop import ATTEMPTS_OF_PEER, read_forwarder
from pomelobarrow.relay.messages import RelayRequest, RequestHead
from pomelobarrow.relay.planned_stop import PlannedStop
from pomelobarrow.relay.prompts import shared_blocks
from pomelobarrow.relay.relay import Relay
from pomelobarrow.relay.wire import RelayWire

# A VM that starts again listens a moment before it has read its lists. After a loss of power all
# clients come in that moment: refused, each comes back late, where the lists take a few reads of
# some milliseconds. A store that doesn't answer must not hold callers for longer than this.
HOLD_AT_START_S = 0.3
CHECK_EVERY_S = 0.02
REMEDY_REQUEST = "send the request as the interface describes it"


@define(kw_only=True)
class RelayFront:
    """Hold what the listeners for clients and for peers share."""

    own_region: str
    relay: Relay
    wire: RelayWire
    routing: Callable[[], Routing | None]
    is_draining: Callable[[], bool]
    planned_stop: PlannedStop = field(factory=PlannedStop)
    # Whether this VM has heard which backend servers there are.
    knows_servers: Callable[[], bool] = lambda: True

    async def from_client(self, incoming: web.BaseRequest) -> web.StreamResponse:
        """Answer a client."""
        return await self._serve(incoming, "")

    async def from_peer(self, incoming: web.BaseRequest) -> web.StreamResponse:
        """Answer a peer that passes a request on."""
        forwarded_by = read_forwarder(incoming.headers)
        if not forwarded_by:
            return await self._refuse(incoming, _malformed("the peer that sends it isn't named"))
        return await self._serve(incoming, forwarded_by)

    async def _serve(self, incoming: web.BaseRequest, forwarded_by: str) -> web.StreamResponse:
        accepted_unix_s = now_unix_s()
        routing = await self._routing_once_known(accepted_unix_s)
        if routing is None:
            refusal = refuse(ErrorKind.NOT_READY, RunStatus.NO, "no configuration yet")
            return await self._refuse(incoming, refusal)
        read = self._read(incoming, routing, forwarded_by)
        if isinstance(read, Err):
            return await self._refuse(incoming, read.err_value)
        head, route = read.ok_value
        body = await _read_body(incoming)
        if isinstance(body, Err):
            return await self._refuse(incoming, body.err_value)
        request = self._request(incoming, head, route, forwarded_by, accepted_unix_s, body.ok_value)
        if not self.planned_stop.leaves_time_for(request.work, accepted_unix_s):
            return await self._refuse(incoming, _stops_too_soon(accepted_unix_s))
        sink = ClientAnswer(incoming, closes=self.is_draining())
        await self.relay.answer(request, routing, sink)
        return sink.response or _closed(incoming)

    async def _routing_once_known(self, accepted_unix_s: float) -> Routing | None:
        """Return what is published, waiting a moment where this VM has just started."""
        give_up_unix_s = accepted_unix_s + HOLD_AT_START_S
        while self.routing() is None or not self.knows_servers():
            if now_unix_s() >= give_up_unix_s:
                break
            await asyncio.sleep(CHECK_EVERY_S)
        return self.routing()

    def _read(
        self, incoming: web.BaseRequest, routing: Routing, forwarded_by: str
    ) -> Result[tuple[RequestHead, Route], Refusal]:
        readable = check_text(incoming.raw_path, incoming.headers)
        if isinstance(readable, Err):
            return readable
        if not incoming.raw_path.startswith("/"):
            return Err(_malformed("the target is no path"))
        route = routing.find(incoming.headers.get("Host", ""), _path(incoming.raw_path))
        if route is None:
            return Err(_no_route(forwarded_by))
        head = self.wire.read_request(incoming.headers)
        if isinstance(head, Err):
            return Err(_malformed(head.err_value))
        return Ok((head.ok_value, route))

    def _request(
        self,
        incoming: web.BaseRequest,
        head: RequestHead,
        route: Route,
        forwarded_by: str,
        accepted_unix_s: float,
        body: bytes,
    ) -> RelayRequest:
        return RelayRequest(
            head=head,
            route=route,
            work=self._work(head, route, accepted_unix_s),
            method=incoming.method,
            host=incoming.headers["Host"],
            target=incoming.raw_path,
            body=body,
            forwarded_by=forwarded_by,
            attempts_left=ATTEMPTS_OF_PEER if forwarded_by else route.max_attempts,
        )

    def _work(self, head: RequestHead, route: Route, accepted_unix_s: float) -> Work:
        time_limit_s = route.timeout_s
        if head.time_limit_s is not None:
            time_limit_s = min(head.time_limit_s, time_limit_s)
        return Work(
            request_id=head.request_id,
            class_name=route.name,
            account="",
            rank=Rank.PAYING,
            pool=route.choose_pool(self.relay.rng),
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
            deadline_unix_s=accepted_unix_s + time_limit_s,
            gap_target_s=route.gap_target_s if route.is_stream else 0.0,
        )

    async def _refuse(self, incoming: web.BaseRequest, refusal: Refusal) -> web.StreamResponse:
        sink = ClientAnswer(incoming, closes=self.is_draining())
        try:
            await self.relay.refuse(refusal, "", sink)
        except CallerGoneError:
            return _closed(incoming)
        return sink.response or _closed(incoming)


async def _read_body(incoming: web.BaseRequest) -> Result[bytes, Refusal]:
    try:
        return Ok(await incoming.read() if incoming.can_read_body else b"")
    except web.HTTPRequestEntityTooLarge:
        detail = "the body is too large"
        return Err(refuse(ErrorKind.BODY_TOO_LARGE, RunStatus.NO, detail, remedy="send less"))
    except web.RequestPayloadError:
        return Err(_malformed("the body's framing is broken"))


def _path(target: str) -> str:
    return target.partition("?")[0]


def _malformed(detail: str) -> Refusal:
    return refuse(ErrorKind.MALFORMED_REQUEST, RunStatus.NO, detail, remedy=REMEDY_REQUEST)


def _no_route(forwarded_by: str) -> Refusal:
    """Return the refusal of an unknown route.

    A peer that passed it on knows the route: this VM is behind and must not say that there is none.
    """
    if forwarded_by:
        return refuse(ErrorKind.NOT_READY, RunStatus.NO, "the route is not known here yet")
    remedy = "ask for a host and path that are published"
    return refuse(ErrorKind.UNKNOWN_SERVICE, RunStatus.NO, "no route matches", remedy=remedy)


def _stops_too_soon(now_unix_s: float) -> Refusal:
    detail = "this VM stops before it could surely finish"
    return refuse(ErrorKind.DRAINING, RunStatus.NO, detail, now_unix_s + MIN_RETRY_AFTER_S)


def _closed(incoming: web.BaseRequest) -> web.StreamResponse:
    """Close the connection of a client that has left and return what aiohttp wants to see."""
    if incoming.transport is not None:
        incoming.transport.close()
    return web.Response(status=499)


def request_factory(
    max_body_bytes: int, loop: asyncio.AbstractEventLoop
) -> Callable[..., web.BaseRequest]:
    """Return what builds requests whose bodies may have a certain size."""
    return partial(web.BaseRequest, loop=loop, client_max_size=max_body_bytes)
