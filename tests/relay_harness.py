"""Run relays of several regions in this process in front of scripted servers."""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import aiohttp
from attrs import define, field, frozen
from scripted_server import Script, ScriptedServer

from harness.processes import free_ports
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.accounts import Account
from pomelobarrow.decision.cold_start import ColdLimiter
from pomelobarrow.decision.live_members import LiveMembers
from pomelobarrow.decision.load_table import LoadTable
from pomelobarrow.decision.member import Member
from pomelobarrow.decision.membership import MembershipView
from pomelobarrow.decision.placement import Placer
from pomelobarrow.decision.reachability import ServerReachability
from pomelobarrow.decision.retry_share import RetryBound, RetryShare
from pomelobarrow.decision.routing import PoolShare, Route, RouteKind, Routing
from pomelobarrow.decision.work import BackendServer
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.platform.wire import platform_wire
from pomelobarrow.relay.access import RelayAccess
from pomelobarrow.relay.front import RelayFront
from pomelobarrow.relay.health_monitor import ServerHealthMonitor
from pomelobarrow.relay.listeners import Listener, RelayListeners
from pomelobarrow.relay.planned_stop import PlannedStop
from pomelobarrow.relay.reach_monitor import ReachMonitor
from pomelobarrow.relay.relay import Relay

HOST = "shop.example"
POOL = "engines"
AMPLE_RETRIES = RetryBound(ratio=1.0, slack=1_000.0, window_s=10.0)


def route(kind: RouteKind, **more: object) -> Route:
    """Return a route named after its kind."""
    fields: dict[str, object] = {
        "name": kind.value,
        "host": HOST,
        "path_prefix": f"/{kind.value}/",
        "kind": kind,
        "pools": (PoolShare(pool=POOL),),
        "timeout_s": 5.0,
        "first_answer_target_s": 1.0,
    }
    return Route(**{**fields, **more})  # type: ignore[arg-type]


@define(kw_only=True)
class RelayVm:
    """Represent the relay of one VM with its addresses and events."""

    region: str
    host: str
    front_port: int
    relay: Relay
    front: RelayFront
    listeners: RelayListeners
    planned_stop: PlannedStop
    events: list[object] = field(factory=list)

    @property
    def url(self) -> str:
        """Return the URL that clients connect to."""
        return f"http://{self.host}:{self.front_port}"


@define(kw_only=True)
class RelayFleet:
    """Represent one running VM per region and all servers."""

    vms: Mapping[str, RelayVm]
    servers: Mapping[str, ScriptedServer]


@frozen
class Answer:
    """Represent the complete answer that a client received."""

    status: int
    headers: dict[str, str]
    body: bytes


async def ask(vm: RelayVm, path: str, **more: Any) -> Answer:
    """Send a request to a VM like a client and return the complete answer."""
    headers = {
        "Host": HOST,
        "Pomelobarrow-Request-Id": "r1",
        "Pomelobarrow-Request-Deadline": "3000",
        **more.pop("headers", {}),
    }
    async with (
        aiohttp.ClientSession() as session,
        session.post(vm.url + path, headers=headers, **more) as response,
    ):
        return Answer(response.status, dict(response.headers), await response.read())


@asynccontextmanager
async def relay_fleet(
    routes: tuple[Route, ...],
    servers_by_region: Mapping[str, Mapping[str, Script]],
    bound: RetryBound = AMPLE_RETRIES,
    accounts: tuple[Account, ...] | None = None,
    access_of: Callable[[str], dict[str, Any]] = lambda region: {},
) -> AsyncIterator[RelayFleet]:
    """Run one VM per region, each on its own loopback address; accounts make keys necessary."""
    async with AsyncExitStack() as stack:
        front_port, hop_port = free_ports(2)
        hosts = {region: f"127.0.0.{index + 1}" for index, region in enumerate(servers_by_region)}
        servers: dict[str, ScriptedServer] = {}
        listed: list[BackendServer] = []
        for region, scripts in servers_by_region.items():
            for name, script in scripts.items():
                server = ScriptedServer(name=name, host=hosts[region], script=script)
                servers[name] = await stack.enter_async_context(server)
                listed.append(_listed(name, region, server.address))
        routing = Routing(
            version=1, routes=routes, accounts=accounts or (), needs_account=accounts is not None
        )
        vms = {}
        for region in servers_by_region:
            vm = _vm(region, hosts, front_port, hop_port, routing, listed, bound, access_of(region))
            await vm.listeners.start()
            stack.push_async_callback(vm.listeners.stop)
            stack.push_async_callback(vm.relay.sessions.close)
            vms[region] = vm
        yield RelayFleet(vms=vms, servers=servers)


def _listed(name: str, region: str, address: str) -> BackendServer:
    return BackendServer(
        name=name,
        region=region,
        failure_domain=f"{region}-a",
        address=address,
        pool=POOL,
        slots=8,
        kv_capacity_tokens=100_000,
    )


def _vm(
    region: str,
    hosts: Mapping[str, str],
    front_port: int,
    hop_port: int,
    routing: Routing,
    listed: list[BackendServer],
    bound: RetryBound,
    access_options: dict[str, Any],
) -> RelayVm:
    table = LoadTable(region)
    table.set_servers(listed)
    events: list[object] = []
    access = RelayAccess(**{"routing": lambda: routing, "observe": events.append, **access_options})
    view, stop = _view(region, hosts), PlannedStop()
    relay = Relay(
        own_vm=f"vm-{region}",
        own_region=region,
        hop_port=hop_port,
        placer=Placer(
            own_region=region,
            own_failure_domain=f"{region}-a",
            table=table,
            members=LiveMembers(view=view),
            cold=ColdLimiter(own_vm=f"vm-{region}"),
            region_loads=lambda pool: {},
            servers=lambda: {server.name: server for server in listed},
        ),
        sessions=BackendSessions({}),
        wire=platform_wire(),
        retries=RetryShare(bound=bound),
        monitor=ServerHealthMonitor(table=table, observe=events.append),
        reach=ReachMonitor(
            reachability=ServerReachability(pool_servers=table.pool_servers), observe=events.append
        ),
        observe=events.append,
        may_still_run=access.may_still_run,
    )
    front = RelayFront(
        own_region=region,
        relay=relay,
        wire=relay.wire,
        routing=lambda: routing,
        is_draining=lambda: False,
        planned_stop=stop,
        access=access,
    )
    listeners = RelayListeners(
        (
            Listener(
                name="clients", address=f"{hosts[region]}:{front_port}", handler=front.from_client
            ),
            Listener(name="peers", address=f"{hosts[region]}:{hop_port}", handler=front.from_peer),
        ),
        in_progress=lambda: relay.in_progress,
    )
    return RelayVm(
        region=region,
        host=hosts[region],
        front_port=front_port,
        relay=relay,
        front=front,
        listeners=listeners,
        events=events,
        planned_stop=stop,
    )


def _view(own_region: str, hosts: Mapping[str, str]) -> MembershipView:
    view = MembershipView(f"vm-{own_region}", own_region)
    for region, host in hosts.items():
        member = Member(
            vm=f"vm-{region}", incarnation=1, region=region, peer_address=f"{host}:1", sequence=1
        )
        view.observe_heartbeat(member, now_unix_s())
    return view
