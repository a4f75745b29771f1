"""The dispatch plug-in: queues, id claims and the dispatcher."""

import secrets

from pomelobarrow.backends.plugin import AttemptRunnerPart
from pomelobarrow.backends.server_watch import ServerWatch
from pomelobarrow.decision.admission.limits import AccountLimits
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.placement.region_choice import ShareOutsideHome
from pomelobarrow.decision.published.configuration import Rank
from pomelobarrow.decision.requests.fingerprint import format_fingerprint
from pomelobarrow.decision.requests.request_ids import RequestIdLedger
from pomelobarrow.decision.servers.crash_suspects import CrashSuspects
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.dispatch.claims import ClaimedDispatch
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.dispatch.dispatcher import Dispatcher
from pomelobarrow.dispatch.entry import EntryDispatch
from pomelobarrow.dispatch.forwarder import Forwarder
from pomelobarrow.dispatch.local import LocalDispatch, QueueSweeper
from pomelobarrow.dispatch.resumed import ResumedDispatch
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import PhasedService, StartPhase, StatusSection, hookimpl
from pomelobarrow.operators.traces import Traces
from pomelobarrow.peers.crash_updates import CrashUpdates
from pomelobarrow.published.keyspaces import CONFIG, PublishedState

SECRET_BYTES = 32


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the parts that dispatch requests."""
    context.provide(AccountLimits, lambda _: AccountLimits())
    context.provide(ShareOutsideHome, lambda _: ShareOutsideHome())
    context.provide(CrashSuspects, lambda c: CrashSuspects(own_vm=c.settings.vm))
    context.provide(CrashGuard, _guard)
    context.provide(LocalDispatch, _local)
    context.provide(Dispatcher, _dispatcher)
    context.provide(RequestIdLedger, _ledger)
    context.provide(ClaimedDispatch, _claims)
    context.provide(EntryDispatch, _entry)


@hookimpl
def services(context: Context) -> list[PhasedService]:
    """Start the queue sweeper and apply the published shares of the classes."""
    published, share = context.get(PublishedState), context.get(ShareOutsideHome)

    def on_applied(name: str, source: str) -> None:
        if name == CONFIG and published.configuration is not None:
            classes = published.configuration.classes.values()
            share.set_max_shares({each.name: each.max_share_outside_home for each in classes})

    published.listeners.append(on_applied)
    sweeper = QueueSweeper(context.get(LocalDispatch))
    return [PhasedService(StartPhase.DISPATCH, sweeper)]


@hookimpl
def status(context: Context) -> StatusSection:
    """Report the requests in progress, waiting and blocked, and the pools that can't be reached."""
    local, entry = context.get(LocalDispatch), context.get(EntryDispatch)
    table, now = context.get(LoadTable), now_unix_s()
    values = {
        "in_progress": entry.in_progress,
        "used_request_ids": len(context.get(RequestIdLedger)),
        "waiting": {
            pool: {rank.value: queue.waiting(rank) for rank in Rank}
            for pool, queue in local.queues.items()
        },
        "in_flight": {name: each.requests for name, each in table.in_flight().items()},
        "unreachable_pools": sorted(table.reachability.unreachable_pools),
        "blocked_requests": {
            format_fingerprint(each): {
                "servers_ended": evidence.servers_ended,
                "newest_age_s": now - evidence.newest_unix_s,
            }
            for each, evidence in context.get(CrashSuspects).blocked(now).items()
        },
    }
    return StatusSection("dispatch", values)


def _guard(context: Context) -> CrashGuard:
    view = context.get(MembershipView)
    return CrashGuard(
        suspects=context.get(CrashSuspects),
        watch=context.get(ServerWatch),
        live_vms=lambda: [member.vm for member in view.live(now_unix_s=now_unix_s())],
        notify_peers=context.get(CrashUpdates).notify_peers,
        observe=context.observe,
    )


def _local(context: Context) -> LocalDispatch:
    return LocalDispatch(
        table=context.get(LoadTable),
        run_attempt=context.get(AttemptRunnerPart).run,
        observe=context.observe,
        guard=context.get(CrashGuard),
    )


def _dispatcher(context: Context) -> Dispatcher:
    return Dispatcher(
        own_region=context.settings.region,
        local=context.get(LocalDispatch),
        forwarder=context.get(Forwarder),  # type: ignore[type-abstract]
        share=context.get(ShareOutsideHome),
        observe=context.observe,
        guard=context.get(CrashGuard),
    )


def _ledger(context: Context) -> RequestIdLedger:
    return RequestIdLedger(
        context.settings.vm, context.incarnation, secrets.token_bytes(SECRET_BYTES)
    )


def _claims(context: Context) -> ClaimedDispatch:
    return ClaimedDispatch(ledger=context.get(RequestIdLedger), dispatcher=context.get(Dispatcher))


def _entry(context: Context) -> EntryDispatch:
    return EntryDispatch(
        dispatcher=context.get(Dispatcher),
        claims=context.get(ClaimedDispatch),
        resumed=ResumedDispatch(
            table=context.get(LoadTable), fetch_rest=context.get(AttemptRunnerPart).fetch_rest
        ),
        limits=context.get(AccountLimits),
        traces=context.get(Traces),
    )
