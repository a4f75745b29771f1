"""The relay plug-in: its listeners and shared parts; inactive without relay settings."""

import math
from collections.abc import Awaitable

from pomelobarrow.backends.reach_monitor import ReachMonitor
from pomelobarrow.backends.reports import LOAD_PATH, load_probe
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.callers.client_budgets import ClientBudgets
from pomelobarrow.callers.operations import Operations
from pomelobarrow.decision.admission.budget_limits import ListenerGroup
from pomelobarrow.decision.admission.retry_share import RetryShare
from pomelobarrow.decision.members.live_members import LiveMembers
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.placement.placement import Placer
from pomelobarrow.decision.published.routing import CallerLimits, Routing
from pomelobarrow.decision.requests.planned_stop import PlannedStop
from pomelobarrow.decision.servers.cold_start import ColdLimiter
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.servers.reachability import PeerReachability
from pomelobarrow.decision.streams.list_evidence import ListEvidence
from pomelobarrow.decision.streams.stream_software import StreamSoftware
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import PhasedService, StartPhase, StatusSection, hookimpl
from pomelobarrow.kernel.settings import RelaySettings
from pomelobarrow.peers.config_proofs import ConfigProofs
from pomelobarrow.peers.joining import Joining
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.peers.stream_software import StreamSoftwareUpdates
from pomelobarrow.peers.token_grants import TokenGrants
from pomelobarrow.published.keyspaces import VMS, PublishedState
from pomelobarrow.published.shared_read import SharedRead
from pomelobarrow.relay.access import RelayAccess
from pomelobarrow.relay.directory import ANSWER_VALID_S, RelayDirectory
from pomelobarrow.relay.front import RelayFront
from pomelobarrow.relay.health_monitor import ServerHealthMonitor
from pomelobarrow.relay.listeners import Listener, RelayListeners
from pomelobarrow.relay.prompts import MAX_BODY_BYTES
from pomelobarrow.relay.relay import Relay
from pomelobarrow.relay.stream_joins import ResumedStreams, StreamJoins
from pomelobarrow.relay.wire import RELAY_PROBE_PATH, RelayWire, naming_probe

# Clients keep a directory answer for three times its validity and connect to the VMs it names until
# then.
LATE_CLIENTS_S = 3 * ANSWER_VALID_S
# Time reserved at the end of a planned stop to close the sockets and to leave the peers.
CLOSING_S = 1.0


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the parts of the relay."""
    context.provide(Placer, _placer)
    context.provide(ServerHealthMonitor, _health_monitor)
    context.provide(ReachMonitor, _reach_monitor)
    context.provide(Relay, _relay)
    context.provide(PlannedStop, lambda _: PlannedStop())
    context.provide(RelayAccess, _access)
    context.provide(RelayFront, _front)
    context.provide(RelayDirectory, _directory)
    context.provide(RelayListeners, _listeners)


@hookimpl
def services(context: Context) -> list[PhasedService]:
    """Start the listeners last, after all other services."""
    if context.settings.relay is None:
        return []
    return [PhasedService(StartPhase.CALLERS, context.get(RelayListeners))]


@hookimpl
def status(context: Context) -> StatusSection:
    """Report the requests in progress, the confirmation of keys and the metered accounts."""
    if context.settings.relay is None:
        return StatusSection("relay", {})
    proofs, grants = context.get(ConfigProofs), context.get(TokenGrants)
    streams = context.get(StreamSoftware)
    age_s = proofs.proof.age_s(now_unix_s())
    values = {
        "in_progress": len(context.get(Relay).timeouts.in_progress),
        # The age of the proof that the configuration in force is current; None without one.
        "configuration_proof_age_s": age_s if math.isfinite(age_s) else None,
        "configuration_is_confirmed": proofs.is_confirmed(),
        "metered_accounts": grants.metered_accounts(),
        # Pools whose streams may be of several software versions, and the records kept for peers.
        "pools_of_several_versions": sorted(streams.mixed_pools),
        "stream_records_kept": streams.kept_records,
    }
    return StatusSection("relay", values)


@hookimpl
def drain(context: Context) -> Awaitable[None]:
    """Serve late clients and finish the requests in progress."""
    return _drain(context)


@hookimpl
def close(context: Context) -> Awaitable[None]:
    """Close the sockets once every answer has been sent."""
    return _close(context)


async def _drain(context: Context) -> None:
    relay = context.settings.relay
    if relay is None:
        return
    now = now_unix_s()
    late_until, finish_by = now + LATE_CLIENTS_S, now + relay.stop_timeout_s - CLOSING_S
    stop = context.get(PlannedStop)
    stop.begin(late_until, finish_by)
    context.get(Relay).timeouts.end_by(stop.answer_by_unix_s)
    await context.get(RelayListeners).wait_until_idle(late_until, finish_by)


async def _close(context: Context) -> None:
    if context.settings.relay is not None:
        await context.get(RelayListeners).close()
    await context.get(ReachMonitor).close()


def _routing(context: Context) -> Routing | None:
    return context.get(PublishedState).routing


def _relay_settings(context: Context) -> RelaySettings:
    assert context.settings.relay is not None
    return context.settings.relay


def _placer(context: Context) -> Placer:
    loads, published = context.get(RegionLoads), context.get(PublishedState)
    return Placer(
        own_region=context.settings.region,
        own_failure_domain=context.settings.failure_domain,
        table=context.get(LoadTable),
        members=LiveMembers(view=context.get(MembershipView)),
        cold=ColdLimiter(own_vm=context.settings.vm),
        region_loads=loads.for_pool,
        servers=lambda: published.backend_servers,
        peer_reachability=context.get(PeerReachability),
    )


def _reach_monitor(context: Context) -> ReachMonitor:
    is_relay = context.settings.relay is not None
    wire = context.get(RelayWire) if is_relay else None
    table = context.get(LoadTable)
    monitor = ReachMonitor(
        reachability=table.reachability,
        sessions=context.get(BackendSessions),
        probe_path=RELAY_PROBE_PATH if is_relay else LOAD_PATH,
        probe_headers=dict(wire.probe_headers) if wire else {},
        naming_probe=naming_probe(wire) if wire else load_probe,
        is_current=table.is_current_incarnation,
        forgive=context.get(ServerHealthMonitor).forgive,
        observe=context.observe,
    )
    context.get(PeerReachability).listeners.append(monitor.note_peer_statement)
    return monitor


def _health_monitor(context: Context) -> ServerHealthMonitor:
    return ServerHealthMonitor(table=context.get(LoadTable), observe=context.observe)


def _relay(context: Context) -> Relay:
    settings = _relay_settings(context)
    return Relay(
        own_vm=context.settings.vm,
        own_region=context.settings.region,
        hop_port=settings.hop_port,
        placer=context.get(Placer),
        sessions=context.get(BackendSessions),
        wire=context.get(RelayWire),
        retries=RetryShare(bound=settings.retry_bound),
        monitor=context.get(ServerHealthMonitor),
        observe=context.observe,
        reach=context.get(ReachMonitor),
        guard=context.get(CrashGuard),
        may_still_run=context.get(RelayAccess).may_still_run,
        joins=StreamJoins(streams=context.get(StreamSoftware)),
    )


def _access(context: Context) -> RelayAccess:
    proofs, grants = context.get(ConfigProofs), context.get(TokenGrants)
    return RelayAccess(
        routing=lambda: _routing(context),
        is_revocation_strict=_relay_settings(context).is_revocation_strict,
        is_confirmed=proofs.is_confirmed,
        confirmed_age_s=lambda: proofs.proof.age_s(now_unix_s()),
        admit_tokens=grants.admit,
        observe=context.observe,
    )


def _front(context: Context) -> RelayFront:
    return RelayFront(
        own_region=context.settings.region,
        relay=context.get(Relay),
        wire=context.get(RelayWire),
        routing=lambda: _routing(context),
        is_draining=lambda: context.is_draining,
        planned_stop=context.get(PlannedStop),
        access=context.get(RelayAccess),
        resumed=_resumed(context),
        has_server_list=lambda: context.get(PublishedState).copies[VMS].observed_revision > 0,
        read_lists=context.get(SharedRead),
    )


def _resumed(context: Context) -> ResumedStreams:
    published = context.get(PublishedState)
    return ResumedStreams(
        streams=context.get(StreamSoftware),
        servers=lambda: published.backend_servers,
        ask_peers=context.get(StreamSoftwareUpdates).find,
        is_joined=lambda: context.get(Joining).is_joined,
        list_age_s=context.get(ListEvidence).age_s,
        read_lists=context.get(StreamSoftwareUpdates).read_in_time,
        observe=context.observe,
    )


def _directory(context: Context) -> RelayDirectory:
    return RelayDirectory(
        view=context.get(MembershipView),
        wire=context.get(RelayWire),
        routing=lambda: _routing(context),
        not_ready_reason=context.get(Operations).not_ready_reason,
        observe=context.observe,
    )


def _listeners(context: Context) -> RelayListeners:
    settings = _relay_settings(context)
    front, directory = context.get(RelayFront), context.get(RelayDirectory)

    def limits() -> CallerLimits:
        routing = _routing(context)
        return routing.limits if routing is not None else CallerLimits()

    return RelayListeners(
        listeners=(
            Listener(
                name="clients",
                address=settings.front_listen,
                handler=front.from_client,
                max_body_bytes=MAX_BODY_BYTES,
                published=limits,
            ),
            Listener(
                name="peers",
                address=settings.hop_listen,
                handler=front.from_peer,
                group=ListenerGroup.PEERS,
                max_body_bytes=MAX_BODY_BYTES,
                published=limits,
            ),
            Listener(
                name="readiness",
                address=settings.readiness_listen,
                handler=directory.readiness,
                group=ListenerGroup.OPERATIONS,
            ),
            Listener(
                name="directory",
                address=settings.directory_listen,
                handler=directory.answer,
                group=ListenerGroup.OPERATIONS,
            ),
        ),
        observe=context.observe,
        budgets=context.get(ClientBudgets),
        planned_stop=context.get(PlannedStop),
    )
