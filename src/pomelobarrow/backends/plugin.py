"""Plug-in for backend servers: sessions, attempts, orders and load reports."""

from collections.abc import Callable, Mapping
from functools import partial

from attrs import evolve
from mode import Service

from pomelobarrow.backends.engine import EngineAttempt
from pomelobarrow.backends.orders import OrderSender
from pomelobarrow.backends.reach_monitor import ReachMonitor
from pomelobarrow.backends.reports import LoadPoller
from pomelobarrow.backends.server_watch import ServerWatch
from pomelobarrow.backends.service import ServiceAttempt
from pomelobarrow.backends.sessions import (
    REJECTED_STATUS,
    RETRY_AFTER_HEADER,
    SERVER_BRITTLE_HEADER,
    SERVER_LEAVING_HEADER,
    SERVER_LIMIT_HEADER,
    BackendSessions,
)
from pomelobarrow.backends.shares import ServerShare
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.published.announcements import ServerAnnouncement, parse_decimal
from pomelobarrow.decision.published.configuration import PoolKind
from pomelobarrow.decision.requests.attempt import Attempt, AttemptEvent, AttemptState
from pomelobarrow.decision.requests.orders import OrderBook
from pomelobarrow.decision.requests.work import BackendServer, Placement
from pomelobarrow.decision.servers.brittle_servers import BrittleServers
from pomelobarrow.decision.servers.departures import Departures
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.servers.server_limits import ServerLimits
from pomelobarrow.decision.streams.event_counter import EventCounter
from pomelobarrow.dispatch.answers import AnswerSink, AttemptResult
from pomelobarrow.dispatch.local import AttemptRunner, LocalDispatch
from pomelobarrow.dispatch.request import GatewayRequest
from pomelobarrow.dispatch.resumed import RestFetcher
from pomelobarrow.dispatch.server_announcements import record_announcement
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import PhasedService, StartPhase, hookimpl
from pomelobarrow.operators.traces import Traces
from pomelobarrow.peers.events import ProcessPauseDetected
from pomelobarrow.published.keyspaces import PublishedState


class SessionsService(Service):
    """Close the HTTP sessions when the process stops."""

    def __init__(self, sessions: BackendSessions) -> None:
        super().__init__()
        self._sessions = sessions

    async def on_stop(self) -> None:
        """Close the connections to backend servers."""
        await self._sessions.close()


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the parts that communicate with backend servers."""
    context.provide(BackendSessions, lambda c: BackendSessions(c.settings.dial))
    context.provide(LoadTable, _table)
    context.provide(LoadPoller, _poller)
    context.provide(ServerWatch, _watch)
    context.provide(AttemptRunnerPart, lambda c: AttemptRunnerPart(_runner(c), _fetcher(c)))
    context.provide(OrderBook, lambda _: OrderBook())
    context.hooks.register(_PauseObserver(context))


@hookimpl
def services(context: Context) -> list[PhasedService]:
    """Return the services that poll loads and send orders; keep the list of servers current."""
    published, table = context.get(PublishedState), context.get(LoadTable)

    def on_applied(name: str, source: str) -> None:
        configuration = published.configuration
        table.closed_domains = configuration.evacuated_domains if configuration else frozenset()
        table.set_servers(_servers_with_capacity(published))

    published.listeners.append(on_applied)
    return [
        PhasedService(StartPhase.BACKENDS, SessionsService(context.get(BackendSessions))),
        PhasedService(StartPhase.BACKENDS, context.get(LoadPoller)),
        PhasedService(StartPhase.BACKENDS, _order_sender(context)),
    ]


class _PauseObserver:
    """Notify the order book of process pauses."""

    def __init__(self, context: Context) -> None:
        self._context = context

    @hookimpl
    def observe(self, event: object) -> None:
        """Invalidate the ownership of engines after a pause."""
        if isinstance(event, ProcessPauseDetected):
            self._context.get(OrderBook).observe_pause(now_unix_s())


class AttemptRunnerPart:
    """Provide the functions that run an attempt and that fetch the rest of an answer."""

    def __init__(self, run: AttemptRunner, fetch_rest: RestFetcher) -> None:
        self.run = run
        self.fetch_rest = fetch_rest


def _runner(context: Context) -> AttemptRunner:
    sessions, traces = context.get(BackendSessions), context.get(Traces)
    table, reach = context.get(LoadTable), context.get(ReachMonitor)
    attempt_by_is_chat: dict[bool, Callable[..., EngineAttempt | ServiceAttempt]] = {
        True: partial(EngineAttempt, is_running=reach.is_running),
        False: partial(ServiceAttempt, is_running=reach.is_running),
    }

    async def run(
        request: GatewayRequest,
        placement: Placement,
        attempt: Attempt,
        number: int,
        sink: AnswerSink,
        on_first_byte: Callable[[], None],
    ) -> AttemptResult:
        server, attempt_class = placement.server, attempt_by_is_chat[request.is_chat]
        opened_unix_s, is_connected = now_unix_s(), False

        def may_send() -> bool:
            nonlocal is_connected
            is_connected = True
            return table.takes_requests(server, now_unix_s())

        def on_head(status: int, headers: Mapping[str, str]) -> None:
            _record_announcement(context, server, status, headers)
            reach.note_answer(server, opened_unix_s)

        with traces.span("attempt", request.traceparent, server=server.name, number=number) as span:
            result = await attempt_class(
                sessions=sessions,
                request=request.with_traceparent(span.traceparent),
                server=server,
                attempt=attempt,
                number=number,
                sink=sink,
                on_first_byte=on_first_byte,
                may_send=may_send,
                on_head=on_head,
            ).run()
            span.set("state", result.state.value)
        is_unopened = result.state is AttemptState.NOT_SENT and not is_connected
        is_unanswered = result.state is AttemptState.UNKNOWN and not result.head_passed
        if is_unopened or is_unanswered:
            reach.note_silence(server)
        return result

    return run


def _record_announcement(
    context: Context, server: BackendServer, status: int, headers: Mapping[str, str]
) -> None:
    is_rejected = status == REJECTED_STATUS
    announced = ServerAnnouncement(
        limit_per_s=parse_decimal(headers.get(SERVER_LIMIT_HEADER, "")),
        limit_header=SERVER_LIMIT_HEADER,
        is_leaving=headers.get(SERVER_LEAVING_HEADER, "").strip() == "1",
        backoff_s=parse_decimal(headers.get(RETRY_AFTER_HEADER, "")) if is_rejected else None,
        max_rejected_per_s=parse_decimal(headers.get(SERVER_BRITTLE_HEADER, "")),
        is_rejected=is_rejected,
    )
    record_announcement(context.get(LoadTable), server, announced, context.observe)


def _fetcher(context: Context) -> RestFetcher:
    sessions, traces = context.get(BackendSessions), context.get(Traces)

    async def fetch_rest(
        request: GatewayRequest, server: BackendServer, from_event: int, sink: AnswerSink
    ) -> AttemptResult:
        attempt = Attempt()
        # Another VM has sent the request.
        attempt.apply(AttemptEvent.SEND)
        with traces.span("rest", request.traceparent, server=server.name) as span:
            result = await EngineAttempt(
                sessions=sessions,
                request=request,
                server=server,
                attempt=attempt,
                number=1,
                sink=sink,
                on_first_byte=lambda: None,
                counter=EventCounter(complete_events=from_event),
                is_continuation=True,
            ).run()
            span.set("state", result.state.value)
            return result

    return fetch_rest


def _table(context: Context) -> LoadTable:
    table = LoadTable(context.settings.region, context.get(Departures))
    own_vm = context.settings.vm
    table.limits = ServerLimits(
        own_vm=own_vm,
        region_vms=lambda: _live_vms(context),
        brittle=BrittleServers(
            own_vm=own_vm,
            region_vms=lambda: _live_vms(context),
            own_requests=table.own_requests,
        ),
    )
    return table


def _watch(context: Context) -> ServerWatch:
    return ServerWatch(
        dial=context.settings.dial,
        is_in_service=context.get(LoadTable).is_in_service,
        other_servers=lambda server: _others_in_region(context, server),
        observe=context.observe,
    )


def _others_in_region(context: Context, server: BackendServer) -> list[BackendServer]:
    servers = context.get(PublishedState).backend_servers.values()
    return [s for s in servers if s.region == server.region and s.name != server.name]


def _poller(context: Context) -> LoadPoller:
    return LoadPoller(
        observe=context.observe,
        own_vm=context.settings.vm,
        sessions=context.get(BackendSessions),
        table=context.get(LoadTable),
        servers=lambda: _reporting_servers(context),
        live_vms=lambda: _live_vms(context),
        is_engine=lambda server: _is_engine(context, server),
        on_report=lambda pool: context.get(LocalDispatch).place_waiting(pool),
    )


def _is_engine(context: Context, server: BackendServer) -> bool:
    configuration = context.get(PublishedState).configuration
    pool = configuration.pools.get(server.pool) if configuration else None
    return pool is not None and pool.kind is PoolKind.ENGINE


def _order_sender(context: Context) -> OrderSender:
    share = ServerShare(own_vm=context.settings.vm, purpose="orders", vms_per_server=1)
    return OrderSender(
        book=context.get(OrderBook),
        sessions=context.get(BackendSessions),
        owned=lambda: share.of(_reporting_servers(context), _live_vms(context)),
        configuration=lambda: context.get(PublishedState).configuration,
    )


def _servers_with_capacity(published: PublishedState) -> list[BackendServer]:
    """Return the listed servers, with the KV-cache capacity that their pool states, if any."""
    routing = published.routing
    tokens_by_pool = {p.name: p.kv_capacity_tokens for p in routing.pools} if routing else {}
    return [
        (
            evolve(server, kv_capacity_tokens=tokens)
            if (tokens := tokens_by_pool.get(server.pool))
            else server
        )
        for server in published.backend_servers.values()
    ]


def _reporting_servers(context: Context) -> list[BackendServer]:
    """Return this region's servers that implement the protocol of engines or plain services."""
    published = context.get(PublishedState)
    pools = published.configuration.pools if published.configuration else {}
    return [
        server
        for server in published.backend_servers.values()
        if server.region == context.settings.region and server.pool in pools
    ]


def _live_vms(context: Context) -> list[str]:
    members = context.get(MembershipView).live(context.settings.region, now_unix_s())
    return [member.vm for member in members]
