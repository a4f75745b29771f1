"""The operators' plug-in: metrics, traces and log lines for events."""

import zlib
from collections.abc import Callable
from typing import Any

import structlog
from aiohttp import web

from pomelobarrow.backends.server_watch import ServerEnded
from pomelobarrow.callers.client_connection import ClientLimited
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.dispatch.crash_guard import RequestBlocked
from pomelobarrow.dispatch.events import (
    AttemptEnded,
    Forwarded,
    PoolBrittle,
    PoolReachable,
    PoolUnreachable,
    RequestEnded,
    ServerBackoffRequested,
    ServerLimitNamed,
    ServerLoadInvalid,
    ServerSlowdownInvalid,
)
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.kernel.background import StepFailed
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import hookimpl
from pomelobarrow.operators.event_fields import event_fields
from pomelobarrow.operators.line_limiter import LineLimiter
from pomelobarrow.operators.metrics import Metrics
from pomelobarrow.operators.traces import Traces
from pomelobarrow.peers.events import MemberLivenessChanged, PeerRefused, ProcessPauseDetected
from pomelobarrow.peers.message_codec import PeerMessageRefused
from pomelobarrow.peers.message_size import PeerMessageTooLong, PeerNotReading
from pomelobarrow.published.events import (
    ItemUnreadable,
    KeyspaceApplied,
    KeyspaceRefused,
    PlatformReachable,
    PlatformUnreachable,
    ServerLeaving,
    StoreAnswerTooLong,
    StoreReturned,
)
from pomelobarrow.relay.events import (
    DirectoryChanged,
    RelayAttemptEnded,
    RelayDenied,
    RelayEnded,
    RelayNotPlaced,
    RelayPlaced,
    RequestTooLong,
    ServerEjected,
    ServerReadmitted,
    StreamTakenUp,
)

# Clients that misbehave do so thousands of times a second.
LIMITED_LINE_EVERY_S = 1.0
# Of each group of unreadable items one is logged in that time.
UNREADABLE_GROUPS = 16

log = structlog.get_logger(__name__)


class Observer:
    """Observer that updates the metrics and writes the log lines for events."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        # Bound once, because the lazy logger would create a bound logger for each event.
        self._log = log.bind()
        self._limited_lines = LineLimiter(interval_s=LIMITED_LINE_EVERY_S)
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestEnded: self._request_ended,
            AttemptEnded: self._attempt_ended,
            Forwarded: self._forwarded,
            KeyspaceApplied: self._keyspace_applied,
            KeyspaceRefused: self._keyspace_refused,
            ItemUnreadable: self._item_unreadable,
            StoreAnswerTooLong: self._store_answer_too_long,
            StoreReturned: self._store_returned,
            PlatformUnreachable: self._platform_unreachable,
            PlatformReachable: self._platform_reachable,
            ProcessPauseDetected: self._process_pause_detected,
            RelayPlaced: self._relay_placed,
            RelayNotPlaced: self._relay_not_placed,
            RelayDenied: self._relay_denied,
            RequestTooLong: self._request_too_long,
            ClientLimited: self._client_limited,
            StreamTakenUp: self._stream_taken_up,
            RelayAttemptEnded: self._relay_attempt_ended,
            RelayEnded: self._relay_ended,
            ServerEjected: self._server_ejected,
            PoolUnreachable: self._pool_unreachable,
            PoolReachable: self._pool_reachable,
            PoolBrittle: self._pool_brittle,
            ServerLimitNamed: self._server_limit_named,
            ServerLoadInvalid: self._server_load_invalid,
            ServerSlowdownInvalid: self._server_slowdown_invalid,
            ServerLeaving: self._server_leaving,
            ServerBackoffRequested: self._server_backoff_requested,
            ServerEnded: self._server_ended,
            RequestBlocked: self._request_blocked,
            ServerReadmitted: self._server_readmitted,
            PeerRefused: self._peer_refused,
            PeerMessageTooLong: self._peer_message_too_long,
            PeerNotReading: self._peer_not_reading,
            PeerMessageRefused: self._peer_message_refused,
            MemberLivenessChanged: self._member_liveness_changed,
            DirectoryChanged: self._directory_changed,
            StepFailed: self._step_failed,
        }

    def observe(self, event: object) -> None:
        """Handle an event; types without a handler are ignored."""
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)

    def _request_ended(self, event: RequestEnded) -> None:
        metrics = self._metrics
        metrics.requests.inc(event.class_name, event.outcome)
        if event.kind:
            metrics.refusals.inc(event.kind, event.run)
        duration_s = event.ended_unix_s - event.accepted_unix_s
        metrics.duration_s.observe(duration_s, event.class_name, event.outcome)
        if event.first_byte_unix_s is not None:
            first_s = event.first_byte_unix_s - event.accepted_unix_s
            metrics.first_token_s.observe(first_s, event.class_name)
            metrics.observe_stream(
                event.class_name,
                event.first_byte_unix_s,
                event.ended_unix_s,
                event.chunks,
                event.max_gap_s,
            )
        self._log.info(
            "request ended",
            request_id=event.request_id,
            class_name=event.class_name,
            account=event.account,
            outcome=event.outcome,
            kind=event.kind,
            run=event.run,
            server=event.server,
            duration_s=round(duration_s, 4),
        )

    def _attempt_ended(self, event: AttemptEnded) -> None:
        if event.detail:
            self._metrics.retries.inc(event.class_name)
            self._log.warning(
                "attempt failed",
                request_id=event.request_id,
                server=event.server,
                state=event.state,
                detail=event.detail,
            )

    def _forwarded(self, event: Forwarded) -> None:
        self._metrics.forwards.inc(event.class_name, event.region)
        self._log.info(
            "forwarded",
            request_id=event.request_id,
            region=event.region,
            reason=event.reason,
        )

    def _keyspace_applied(self, event: KeyspaceApplied) -> None:
        self._metrics.revision.set(event.revision, event.keyspace)
        self._metrics.era.set(event.era, event.keyspace)

    def _item_unreadable(self, event: ItemUnreadable) -> None:
        self._metrics.unreadable_items.inc(event.keyspace)
        # A store may hold any number of such items.
        group = zlib.crc32(event.key.encode(errors="replace")) % UNREADABLE_GROUPS
        suppressed = self._limited_lines.admit((event.keyspace, group), now_unix_s())
        if suppressed is not None:
            fields = event_fields(event)
            self._log.warning("item can't be decoded", suppressed=suppressed, **fields)

    def _store_answer_too_long(self, event: StoreAnswerTooLong) -> None:
        self._metrics.inputs_too_long.inc("store")
        self._log.warning("store's answer too long", **event_fields(event))

    def _store_returned(self, event: StoreReturned) -> None:
        self._metrics.store_returns.inc()
        self._log.warning("store came back from an older copy", **event_fields(event))

    def _keyspace_refused(self, event: KeyspaceRefused) -> None:
        self._metrics.refused_revisions.inc(event.keyspace)

    def _platform_unreachable(self, event: PlatformUnreachable) -> None:
        self._log.warning(
            "platform unreachable",
            reason=event.reason,
            remedy="check platform.addresses; until then this VM receives updates from peers",
        )

    def _platform_reachable(self, event: PlatformReachable) -> None:
        self._log.info("platform reachable again")

    def _relay_placed(self, event: RelayPlaced) -> None:
        if event.copy_from:
            self._metrics.prefix_copies.inc(event.pool)
        self._log.info("relay placed", **event_fields(event))

    def _relay_not_placed(self, event: RelayNotPlaced) -> None:
        self._log.warning("relay placed nowhere", **event_fields(event))

    def _relay_denied(self, event: RelayDenied) -> None:
        self._metrics.relay_denied.inc(event.kind)
        self._log.info("relay denied", **event_fields(event))

    def _request_too_long(self, event: RequestTooLong) -> None:
        self._metrics.inputs_too_long.inc(event.listener)
        self._log.warning("request too long", **event_fields(event))

    def _client_limited(self, event: ClientLimited) -> None:
        key = (event.listener, event.limit, event.action)
        self._metrics.clients_limited.inc(*key)
        suppressed = self._limited_lines.admit(key, now_unix_s())
        if suppressed is not None:
            self._log.warning("client limited", suppressed=suppressed, **event_fields(event))

    def _stream_taken_up(self, event: StreamTakenUp) -> None:
        self._metrics.streams_taken_up.inc(event.source)
        self._log.info("stream taken up", **event_fields(event))

    def _relay_attempt_ended(self, event: RelayAttemptEnded) -> None:
        self._metrics.relay_attempts.inc(event.pool, event.end)
        self._metrics.relay_attempt_s.observe(event.took_s, event.pool, event.end)
        if event.is_join_rejected:
            self._metrics.join_rejections.inc(event.pool)
        if event.over_limit:
            self._metrics.answers_over_limit.inc(event.pool, event.over_limit)
        self._log.info("relay attempt ended", **event_fields(event))

    def _relay_ended(self, event: RelayEnded) -> None:
        self._metrics.relay_requests.inc(event.route, event.outcome, str(event.status))
        if event.first_answer_s is not None:
            self._metrics.relay_first_answer_s.observe(event.first_answer_s, event.route)
        self._log.info("relay ended", **event_fields(event))

    def _server_ejected(self, event: ServerEjected) -> None:
        self._metrics.ejections.inc(event.pool)
        self._log.warning("server ejected", **event_fields(event))

    def _server_ended(self, event: ServerEnded) -> None:
        self._metrics.servers_ended.inc(event.pool)
        self._log.warning("server ended", **event_fields(event))

    def _request_blocked(self, event: RequestBlocked) -> None:
        self._metrics.blocked.inc(event.pool)
        self._log.warning("request blocked", **event_fields(event))

    def _pool_unreachable(self, event: PoolUnreachable) -> None:
        self._metrics.pools_unreachable.inc(event.pool)
        self._log.warning("pool unreachable", **event_fields(event))

    def _pool_reachable(self, event: PoolReachable) -> None:
        self._log.info("pool reachable again", **event_fields(event))

    def _pool_brittle(self, event: PoolBrittle) -> None:
        self._log.info("pool brittle", **event_fields(event))

    def _server_limit_named(self, event: ServerLimitNamed) -> None:
        self._log.info("server limit named", **event_fields(event))

    def _server_load_invalid(self, event: ServerLoadInvalid) -> None:
        self._metrics.loads_invalid.inc(event.pool)
        self._log.warning("server states an invalid load", **event_fields(event))

    def _server_slowdown_invalid(self, event: ServerSlowdownInvalid) -> None:
        # Without a log line: a server that states one does so with each answer.
        self._metrics.slowdowns_invalid.inc(event.pool)

    def _server_backoff_requested(self, event: ServerBackoffRequested) -> None:
        self._metrics.server_backoffs.inc(event.pool)
        self._log.info("server requests a backoff", **event_fields(event))

    def _server_leaving(self, event: ServerLeaving) -> None:
        self._metrics.servers_leaving.inc(event.pool, event.source)
        self._log.info("server leaving", **event_fields(event))

    def _server_readmitted(self, event: ServerReadmitted) -> None:
        self._log.info("server back", **event_fields(event))

    def _process_pause_detected(self, event: ProcessPauseDetected) -> None:
        self._log.warning("this process stood still", gap_s=round(event.gap_s, 3))

    def _member_liveness_changed(self, event: MemberLivenessChanged) -> None:
        change = "heard" if event.is_live else "silent"
        self._metrics.member_changes.inc(change, "peer" if event.told_by else "itself")
        self._log.info(f"member {change}", **event_fields(event))

    def _directory_changed(self, event: DirectoryChanged) -> None:
        self._log.info("directory changed", **event_fields(event))

    def _step_failed(self, event: StepFailed) -> None:
        self._metrics.steps_failed.inc(event.step)
        self._log.error("step failed", **event_fields(event))

    def _peer_refused(self, event: PeerRefused) -> None:
        self._log.warning(
            "call refused", path=event.path, remedy="give both VMs the same peers.keys"
        )

    def _peer_message_too_long(self, event: PeerMessageTooLong) -> None:
        self._metrics.inputs_too_long.inc("peer stream")
        self._log.warning("peer message too long", **event_fields(event))

    def _peer_message_refused(self, event: PeerMessageRefused) -> None:
        self._metrics.inputs_too_long.inc("peer message")
        self._log.warning("peer message refused", **event_fields(event))

    def _peer_not_reading(self, event: PeerNotReading) -> None:
        self._metrics.inputs_too_long.inc("peer connection")
        self._log.warning("peer doesn't read its answers", **event_fields(event))


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the metrics, the traces and the observer."""
    settings = context.settings
    context.provide(Metrics, lambda _: Metrics())
    context.provide(
        Traces, lambda _: Traces(settings.operators.trace, settings.vm, settings.region)
    )
    observer = Observer(context.get(Metrics))
    context.hooks.register(_ObserverPlugin(observer))


class _ObserverPlugin:
    """Hook implementation that passes events to this daemon's observer."""

    def __init__(self, observer: Observer) -> None:
        self._observer = observer

    @hookimpl
    def observe(self, event: object) -> None:
        """Pass the event to the observer."""
        self._observer.observe(event)


@hookimpl
def routes(context: Context) -> list[web.RouteDef]:
    """Return the route of the metrics."""
    metrics = context.get(Metrics)

    async def render(request: web.Request) -> web.Response:
        _set_gauges(metrics, context.get(LocalDispatch))
        content, content_type = metrics.render()
        return web.Response(body=content, headers={"Content-Type": content_type})

    return [web.get("/metrics", render)]


def _set_gauges(metrics: Metrics, local: LocalDispatch) -> None:
    for pool, queue in local.queues.items():
        metrics.queue_depth.set(sum(queue.waiting(rank) for rank in Rank), pool)
    slow = local.table.speeds.slow_servers(now_unix_s())
    metrics.server_slowdown.read_from(lambda: {(name,): factor for name, factor in slow.items()})
