"""The peers' plug-in: membership, configuration relay, forwarding and hand-over."""

from collections.abc import Awaitable
from functools import partial

from pomelobarrow.backends.reports import LoadPoller
from pomelobarrow.decision.admission.limits import AccountLimits
from pomelobarrow.decision.members.clocks import ClockOffsets
from pomelobarrow.decision.members.member import ListedVm, Member, Phase
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.published.config_proof import ConfigProof
from pomelobarrow.decision.requests.request_ids import RequestIdLedger
from pomelobarrow.decision.servers.crash_suspects import CrashSuspects
from pomelobarrow.decision.servers.reachability import PeerReachability
from pomelobarrow.decision.streams.list_evidence import ListEvidence
from pomelobarrow.decision.streams.software_history import FIRST_LISTS_S, SoftwareHistory
from pomelobarrow.decision.streams.stream_software import StreamSoftware
from pomelobarrow.dispatch.claims import ClaimedDispatch
from pomelobarrow.dispatch.entry import EntryDispatch
from pomelobarrow.dispatch.events import PoolReachable, PoolUnreachable
from pomelobarrow.dispatch.forwarder import Forwarder
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import PhasedService, StartPhase, StatusSection, hookimpl
from pomelobarrow.operators.traces import Traces
from pomelobarrow.peers import peers_pb2 as pb
from pomelobarrow.peers.config_proofs import ConfigProofs
from pomelobarrow.peers.crash_updates import CrashUpdates
from pomelobarrow.peers.datagrams import PeerDatagrams
from pomelobarrow.peers.exchange import Exchange
from pomelobarrow.peers.forward_client import PeerForwarder
from pomelobarrow.peers.forward_server import ForwardServer
from pomelobarrow.peers.hand_over import hand_over
from pomelobarrow.peers.heartbeats import Heartbeats
from pomelobarrow.peers.incarnations import keep_incarnation_newest
from pomelobarrow.peers.joining import Joining
from pomelobarrow.peers.keys import PeerKeys
from pomelobarrow.peers.links import PeerLink, StreamFactory
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.peers.server import PeerHandlers, PeerServer
from pomelobarrow.peers.stream_software import StreamSoftwareUpdates, follow_published
from pomelobarrow.peers.streams import AcceptedStreams, PeerStream
from pomelobarrow.peers.table import PeerTable
from pomelobarrow.peers.token_grants import Accounts, TokenGrants
from pomelobarrow.published.keyspaces import PublishedState
from pomelobarrow.published.shared_read import SharedRead
from pomelobarrow.published.watcher import PlatformWatcher

# The rest covers what the regions' meters don't know of each other yet.
BURST_TOLERANCE_SHARE = 0.5
# The rest covers the time until the last VM has the configuration.
LOWERED_AFTER_SHARE = 0.7


class PoolObserver:
    """Let peers know at once which pools this VM stops or starts to reach.

    Others of the region may have lost the same links, and find that before they lose requests.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    @hookimpl
    def observe(self, event: object) -> None:
        """Send the heartbeats that state the pools."""
        if isinstance(event, PoolUnreachable | PoolReachable):
            self._context.get(PeerTable).send_heartbeats()


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the components of this package."""
    context.hooks.register(PoolObserver(context))
    context.provide(MembershipView, _view)
    context.provide(ClockOffsets, lambda _: ClockOffsets())
    context.provide(PeerReachability, lambda _: PeerReachability())
    context.provide(RegionLoads, lambda _: RegionLoads(started_unix_s=now_unix_s()))
    context.provide(PeerKeys, lambda c: PeerKeys(c.settings.peers.keys))
    context.provide(Heartbeats, _heartbeats)
    context.provide(CrashUpdates, _crash_updates)
    context.provide(Exchange, _exchange)
    context.provide(AcceptedStreams, lambda _: AcceptedStreams())
    context.provide(PeerTable, _table)
    context.provide(Forwarder, _forwarder)  # type: ignore[type-abstract]
    context.provide(ForwardServer, _forward_server)
    context.provide(Joining, _joining)
    context.provide(PeerServer, _server)
    context.provide(PeerDatagrams, _datagrams)
    context.provide(ConfigProofs, _config_proofs)
    context.provide(TokenGrants, _token_grants)
    context.provide(StreamSoftware, _streams)
    context.provide(StreamSoftwareUpdates, _stream_software)


@hookimpl
def services(context: Context) -> list[PhasedService]:
    """Serve peers and keep links to them."""
    started = [
        PhasedService(StartPhase.PEERS, context.get(PeerServer)),
        PhasedService(StartPhase.PEERS, context.get(PeerTable)),
        PhasedService(StartPhase.BACKENDS, context.get(Joining)),
    ]
    if context.settings.relay is None:
        return started
    streams = context.get(StreamSoftware)
    follow_published(context.get(PublishedState), streams)
    context.get(PeerTable).review_listeners.append(lambda: streams.review(now_unix_s()))
    of_relay = (PeerDatagrams, ConfigProofs, TokenGrants)
    return started + [PhasedService(StartPhase.PEERS, context.get(each)) for each in of_relay]


@hookimpl
def not_ready_reason(context: Context) -> str | None:
    """Return a reason while this VM hasn't joined the fleet yet."""
    return None if context.get(Joining).is_joined else "joining the fleet"


@hookimpl
def status(context: Context) -> StatusSection:
    """Report the known peers and whether they are linked."""
    view, table, now = context.get(MembershipView), context.get(PeerTable), now_unix_s()
    suspects = view.suspects(now)
    members = {
        member.vm: {
            "region": member.region,
            "phase": member.phase,
            "suspect": member.vm in suspects,
            "linked": table.is_linked(member.vm),
        }
        for member in view.known()
    }
    return StatusSection("peers", members)


@hookimpl
def reloaded(context: Context) -> None:
    """Use the seeds of the reloaded settings."""
    context.get(PeerTable).set_seeds(context.settings.peers.seeds)


@hookimpl
def drain(context: Context) -> Awaitable[None]:
    """Announce that this VM leaves, wait for work in progress and hand the request ids over."""
    return _drain(context)


@hookimpl
def close(context: Context) -> Awaitable[None]:
    """Wait until the answers to peers are sent."""
    return context.get(PeerServer).close()


async def _drain(context: Context) -> None:
    table, ledger = context.get(PeerTable), context.get(RequestIdLedger)
    ledger.retire()
    table.set_phase(Phase.LEAVING)
    await context.get(EntryDispatch).wait_until_idle()
    await _leave(context, table, ledger)


async def _leave(context: Context, table: PeerTable, ledger: RequestIdLedger) -> None:
    own = context.get(MembershipView).own
    successor = _successor(context)
    issuers: tuple[tuple[str, int], ...] = ()
    context.get(ClaimedDispatch).is_handing_over = True
    if successor is not None:
        link = await table.link_to(successor)
        issuers = await hand_over(ledger, own, link, context.get(PeerKeys))
    for vm, incarnation in {*issuers, (own.vm, own.incarnation)}:
        name = successor.vm if successor and (vm, incarnation) in issuers else ""
        table.broadcast(
            pb.PeerMessage(leave=pb.Leave(vm=vm, incarnation=incarnation, successor=name))
        )
    await table.flush()


def _successor(context: Context) -> Member | None:
    view = context.get(MembershipView)
    entries = view.entries_for_callers(view.own_region, now_unix_s())
    others = [member for member in entries if member.vm != view.own_vm]
    return min(others, key=lambda member: member.vm, default=None)


def _datagrams(context: Context) -> PeerDatagrams:
    relay = context.settings.relay
    assert relay is not None
    host = relay.hop_listen.rpartition(":")[0]
    return PeerDatagrams(context.settings.peers.keys, host, relay.hop_port)


def _config_proofs(context: Context) -> ConfigProofs:
    return ConfigProofs(
        proof=context.get(ConfigProof),
        view=context.get(MembershipView),
        published=context.get(PublishedState),
        datagrams=context.get(PeerDatagrams),
        watcher=context.get(PlatformWatcher),
        is_watcher=context.get(PeerTable).is_watcher,
    )


def _token_grants(context: Context) -> TokenGrants:
    relay, published = context.settings.relay, context.get(PublishedState)
    assert relay is not None

    def accounts() -> Accounts:
        routing = published.routing
        return routing.account_by_name if routing else {}

    return TokenGrants(
        view=context.get(MembershipView),
        regions=relay.region_by_failure_domain.values(),
        accounts=accounts,
        datagrams=context.get(PeerDatagrams),
        tolerance=BURST_TOLERANCE_SHARE * relay.limit_tolerance,
        lowered_after_s=LOWERED_AFTER_SHARE * relay.config_apply_s,
    )


def _streams(context: Context) -> StreamSoftware:
    relay = context.settings.relay
    evidence = context.get(ListEvidence)
    history = SoftwareHistory(proven_unix_s=lambda: evidence.proven_unix_s)
    if relay is not None and relay.is_first_start:
        history.first_lists_until_unix_s = now_unix_s() + FIRST_LISTS_S
    return StreamSoftware(history=history, is_current=evidence.is_current)


def _stream_software(context: Context) -> StreamSoftwareUpdates:
    relay = context.settings.relay
    assert relay is not None
    return StreamSoftwareUpdates(
        view=context.get(MembershipView),
        regions=tuple(sorted({*relay.region_by_failure_domain.values(), context.settings.region})),
        datagrams=context.get(PeerDatagrams),
        streams=context.get(StreamSoftware),
        read_lists=context.get(SharedRead),
    )


def _view(context: Context) -> MembershipView:
    settings = context.settings
    view = MembershipView(settings.vm, settings.region)
    view.observe_own(
        Member(
            vm=settings.vm,
            incarnation=context.incarnation,
            region=settings.region,
            failure_domain=settings.failure_domain,
            caller_address=settings.callers.advertise,
            peer_address=settings.peers.advertise,
            phase=Phase.STARTING.value,
        )
    )
    return view


def _heartbeats(context: Context) -> Heartbeats:
    return Heartbeats(
        view=context.get(MembershipView),
        offsets=context.get(ClockOffsets),
        published=context.get(PublishedState),
        local=context.get(LocalDispatch),
        limits=context.get(AccountLimits),
        region_loads=context.get(RegionLoads),
        own_reports=lambda: context.get(LoadPoller).own_reports(),
        peer_reachability=context.get(PeerReachability),
    )


def _crash_updates(context: Context) -> CrashUpdates:
    return CrashUpdates(suspects=context.get(CrashSuspects), offsets=context.get(ClockOffsets))


def _exchange(context: Context) -> Exchange:
    return Exchange(
        view=context.get(MembershipView),
        published=context.get(PublishedState),
        heartbeats=context.get(Heartbeats),
        crash_updates=context.get(CrashUpdates),
    )


def _stream_factory(context: Context) -> StreamFactory:
    exchange, heartbeats = context.get(Exchange), context.get(Heartbeats)

    def make_stream(peer: ListedVm) -> PeerStream:
        return PeerStream(peer, context.settings.region, exchange, heartbeats)

    return make_stream


def _table(context: Context) -> PeerTable:
    def make_link(peer: ListedVm) -> PeerLink:
        return PeerLink(
            peer=peer,
            own_vm=context.settings.vm,
            dial=context.settings.address_to_dial,
            keys=context.get(PeerKeys),
            make_stream=_stream_factory(context),
        )

    table = PeerTable(
        view=context.get(MembershipView),
        published=context.get(PublishedState),
        heartbeats=context.get(Heartbeats),
        exchange=context.get(Exchange),
        seeds=context.settings.peers.seeds,
        make_link=make_link,
        accepted=context.get(AcceptedStreams),
        observe=context.observe,
    )
    context.get(CrashUpdates).broadcast = table.broadcast_except
    return table


def _forwarder(context: Context) -> PeerForwarder:
    return PeerForwarder(
        view=context.get(MembershipView),
        table=context.get(PeerTable),
        loads=context.get(RegionLoads),
        keys=context.get(PeerKeys),
        traces=context.get(Traces),
        reachability=context.get(PeerReachability),
    )


def _forward_server(context: Context) -> ForwardServer:
    return ForwardServer(
        incarnation=context.incarnation,
        configuration=lambda: context.get(PublishedState).configuration,
        entry=context.get(EntryDispatch),
        offsets=context.get(ClockOffsets),
        is_draining=lambda: context.is_draining,
    )


def _server(context: Context) -> PeerServer:
    handlers = PeerHandlers(
        context=context,
        keys=context.get(PeerKeys),
        make_stream=_stream_factory(context),
        accepted=context.get(AcceptedStreams),
        forwards=context.get(ForwardServer),
        ledger=context.get(RequestIdLedger),
    )
    return PeerServer(context, handlers)


def _joining(context: Context) -> Joining:
    return Joining(
        context.get(PeerTable),
        context.get(Exchange),
        context.get(PublishedState),
        context.get(PlatformWatcher),
        partial(keep_incarnation_newest, context),
    )
