"""Plug-in for callers: the HTTP server and its routes."""

from collections.abc import Awaitable

from aiohttp import web
from result import Err

from pomelobarrow.callers import parsing
from pomelobarrow.callers.client_budgets import ClientBudgets, within_process_limits
from pomelobarrow.callers.entries import EntryDirectory
from pomelobarrow.callers.gateway import CallerGateway
from pomelobarrow.callers.operations import Operations, json_response
from pomelobarrow.callers.problems import problem_response
from pomelobarrow.callers.server import CallerServer
from pomelobarrow.decision.admission.budget_limits import MAX_PUBLISHED_BODY_BYTES, ListenerGroup
from pomelobarrow.decision.common.errors import ErrorKind, RunStatus
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.requests.request_ids import RequestIdLedger
from pomelobarrow.dispatch.dispatcher import Dispatcher
from pomelobarrow.dispatch.entry import EntryDispatch
from pomelobarrow.dispatch.local import LocalDispatch
from pomelobarrow.dispatch.refusals import refuse
from pomelobarrow.kernel.context import Context
from pomelobarrow.kernel.hooks import PhasedService, StartPhase, hookimpl
from pomelobarrow.peers.region_loads import RegionLoads
from pomelobarrow.published.keyspaces import PublishedState


@hookimpl
def provide_parts(context: Context) -> None:
    """Register the parts that handle callers' requests."""
    context.provide(Operations, _operations)
    context.provide(CallerGateway, _gateway)
    context.provide(EntryDirectory, _directory)
    context.provide(CallerServer, CallerServer)
    context.provide(ClientBudgets, _budgets)


@hookimpl
def services(context: Context) -> list[PhasedService]:
    """Return the server for callers, which starts last."""
    return [PhasedService(StartPhase.CALLERS, context.get(CallerServer))]


@hookimpl
def close(context: Context) -> Awaitable[None]:
    """Close the callers' sockets once every answer is sent."""
    return context.get(CallerServer).close()


@hookimpl
def reloaded(context: Context) -> None:
    """Use the resources of the reloaded settings."""
    context.get(ClientBudgets).refresh()


@hookimpl
def routes(context: Context) -> list[web.RouteDef]:
    """Return the routes for callers and operators."""
    gateway, operations = context.get(CallerGateway), context.get(Operations)
    return [
        web.get("/v1/entries", _entries_handler(context)),
        web.post("/v1/chat/completions", gateway.chat),
        web.route("*", "/services/{name}", gateway.service),
        web.route("*", "/services/{name}/{rest:.*}", gateway.service),
        web.get("/healthz", operations.health),
        web.get("/readyz", operations.readiness),
        web.get("/v1/status", operations.status),
        web.get("/v1/explain", operations.explain),
    ]


def _entries_handler(context: Context):  # type: ignore[no-untyped-def]
    published, gateway = context.get(PublishedState), context.get(CallerGateway)
    directory, loads = context.get(EntryDirectory), context.get(RegionLoads)

    async def entries(request: web.Request) -> web.Response:
        configuration = published.configuration
        if configuration is None:
            return problem_response(
                refuse(ErrorKind.NOT_READY, RunStatus.NO, "no configuration yet")
            )
        account = parsing.find_account(request.headers, configuration)
        if isinstance(account, Err):
            return problem_response(account.err_value)
        work_class = parsing.find_class(request.query.get("class"), configuration)
        if isinstance(work_class, Err):
            return problem_response(work_class.err_value)
        home = account.ok_value.home_region or gateway.region
        round_trips_s = {
            region: load.round_trip_s
            for region, load in loads.for_pool(work_class.ok_value.pool).items()
        }
        answer = directory.answer(account.ok_value, home, round_trips_s)
        if isinstance(answer, Err):
            return problem_response(answer.err_value)
        return json_response(answer.ok_value)

    return entries


def _budgets(context: Context) -> ClientBudgets:
    published = context.get(PublishedState)

    def max_body_bytes(group: ListenerGroup) -> int:
        if group is ListenerGroup.OPERATIONS:
            return 0
        routing = published.routing
        routed_bytes = routing.limits.body_bytes if routing is not None else 0
        own_bytes = context.settings.callers.max_body_bytes
        return max(own_bytes, min(routed_bytes, MAX_PUBLISHED_BODY_BYTES))

    budgets = ClientBudgets(
        resources=lambda: within_process_limits(context.settings.resources),
        max_body_bytes=max_body_bytes,
    )
    published.listeners.append(lambda name, source: budgets.refresh())
    return budgets


def _operations(context: Context) -> Operations:
    return Operations(
        context=context,
        published=context.get(PublishedState),
        dispatcher=context.get(Dispatcher),
    )


def _gateway(context: Context) -> CallerGateway:
    settings, published = context.settings, context.get(PublishedState)

    def regions() -> frozenset[str]:
        vms = published.entry_vms.values()
        return frozenset(vm.region for vm in vms) | {settings.region}

    def not_ready_reason() -> str | None:
        if context.is_draining:
            return None
        return context.get(Operations).not_ready_reason()

    return CallerGateway(
        vm=settings.vm,
        region=settings.region,
        incarnation=context.incarnation,
        configuration=lambda: published.configuration,
        regions=regions,
        entry=context.get(EntryDispatch),
        observe=context.observe,
        is_draining=lambda: context.is_draining,
        not_ready_reason=not_ready_reason,
        expected_output_tokens=context.get(LocalDispatch).output_estimate.expected_tokens,
    )


def _directory(context: Context) -> EntryDirectory:
    return EntryDirectory(view=context.get(MembershipView), ledger=context.get(RequestIdLedger))
