"""Run relays of several regions in this process in front of scripted servers."""

from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import aiohttp
from attrs import define, evolve, field, frozen
from scripted_server import Script, ScriptedServer

from harness.processes import free_ports
from pomelobarrow.backends.reach_monitor import ReachMonitor
from pomelobarrow.backends.sessions import BackendSessions
from pomelobarrow.decision.admission.retry_share import RetryBound, RetryShare
from pomelobarrow.decision.members.live_members import LiveMembers
from pomelobarrow.decision.members.member import Member
from pomelobarrow.decision.members.membership import MembershipView
from pomelobarrow.decision.placement.placement import Placer
from pomelobarrow.decision.published.accounts import Account
from pomelobarrow.decision.published.routing import (
    PoolShare,
    RelayPool,
    Route,
    RouteKind,
    Routing,
)
from pomelobarrow.decision.requests.planned_stop import PlannedStop
from pomelobarrow.decision.requests.work import BackendServer
from pomelobarrow.decision.servers.cold_start import ColdLimiter
from pomelobarrow.decision.servers.load_table import LoadTable
from pomelobarrow.decision.streams.software_history import STREAM_RETENTION_S
from pomelobarrow.decision.streams.stream_software import StreamSoftware
from pomelobarrow.dispatch.crash_guard import CrashGuard
from pomelobarrow.kernel.clock import now_unix_s
from pomelobarrow.platform.wire import platform_wire
from pomelobarrow.relay.access import RelayAccess
from pomelobarrow.relay.front import RelayFront
from pomelobarrow.relay.health_monitor import ServerHealthMonitor
from pomelobarrow.relay.listeners import Listener, RelayListeners
from pomelobarrow.relay.relay import Relay
from pomelobarrow.relay.stream_joins import ResumedStreams, StreamJoins
from pomelobarrow.relay.wire import naming_probe

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
    # Overrides of the addresses that the VM connects to.
    dial: dict[str, str]
    events: list[object] = field(factory=list)

    @property
    def url(self) -> str:
        """Return the URL that clients connect to."""
        return f"http://{self.host}:{self.front_port}"


@define(kw_only=True)
class RelayFleet:
    """Represent the running VMs and all servers.

    The first VM of a region has the region's name as its key; the others add their number.
    """

    vms: Mapping[str, RelayVm]
    servers: Mapping[str, ScriptedServer]

    def lose_links(self, key: str, address: str) -> None:
        """Make a VM connect to this address in place of all servers."""
        dial = {server.address: address for server in self.servers.values()}
        self.vms[key].dial.update(dial)

    def restore_links(self, key: str) -> None:
        """Let a VM connect to the servers again."""
        self.vms[key].dial.clear()


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
    vms_per_region: int = 1,
    slots: int = 8,
    versions: Mapping[str, str] | None = None,
    pools: tuple[RelayPool, ...] = (),
    list_known_for_s: float = STREAM_RETENTION_S,
    pool_by_server: Mapping[str, str] | None = None,
    born_unix_ms: int = 0,
) -> AsyncIterator[RelayFleet]:
    """Run the VMs, each on its own loopback address; accounts make keys necessary.

    Versions are those of the servers' software; servers that aren't named have none. The VMs have
    known the list of servers and the routes for the given time. Servers that are named with no pool
    are of the routes' one. All servers are listed with the given start time, if it isn't 0.
    """
    async with AsyncExitStack() as stack:
        front_port, hop_port = free_ports(2)
        places = _places(servers_by_region, vms_per_region)
        servers: dict[str, ScriptedServer] = {}
        listed: list[BackendServer] = []
        for region, scripts in servers_by_region.items():
            for name, script in scripts.items():
                server = ScriptedServer(
                    name=name,
                    host=places[region].host,
                    script=script,
                    born_unix_ms=born_unix_ms,
                )
                servers[name] = await stack.enter_async_context(server)
                version = (versions or {}).get(name, "")
                pool = (pool_by_server or {}).get(name, POOL)
                entry = _listed(name, region, server.address, slots, version, pool)
                listed.append(evolve(entry, born_unix_ms=born_unix_ms))
        routing = Routing(
            version=1,
            routes=routes,
            pools=pools,
            accounts=accounts or (),
            needs_account=accounts is not None,
        )
        vms = {}
        for key, place in places.items():
            options = access_of(place.region)
            vm = _vm(place, places, front_port, hop_port, routing, listed, bound, options)
            known_unix_s = now_unix_s() - list_known_for_s
            vm.relay.joins.streams.observe_servers(
                {each.name: each for each in listed}, known_unix_s
            )
            vm.relay.joins.streams.observe_routing(routing, known_unix_s)
            await vm.listeners.start()
            stack.push_async_callback(vm.listeners.stop)
            stack.push_async_callback(vm.relay.sessions.close)
            stack.push_async_callback(vm.relay.reach.close)
            vms[key] = vm
        yield RelayFleet(vms=vms, servers=servers)


@frozen(kw_only=True)
class _Place:
    """Name, region and host of a VM."""

    vm: str
    region: str
    host: str


def _places(regions: Iterable[str], vms_per_region: int) -> dict[str, _Place]:
    keys = [
        (region, region if number == 1 else f"{region}-{number}")
        for region in regions
        for number in range(1, vms_per_region + 1)
    ]
    return {
        key: _Place(vm=f"vm-{key}", region=region, host=f"127.0.0.{index}")
        for index, (region, key) in enumerate(keys, 1)
    }


def _listed(
    name: str, region: str, address: str, slots: int, version: str, pool: str
) -> BackendServer:
    return BackendServer(
        name=name,
        region=region,
        failure_domain=f"{region}-a",
        address=address,
        pool=pool,
        slots=slots,
        kv_capacity_tokens=100_000,
        software_version=version,
    )


def _vm(
    place: _Place,
    places: Mapping[str, _Place],
    front_port: int,
    hop_port: int,
    routing: Routing,
    listed: list[BackendServer],
    bound: RetryBound,
    access_options: dict[str, Any],
) -> RelayVm:
    region, dial = place.region, dict[str, str]()
    table = LoadTable(region)
    table.set_servers(listed)
    by_name = {server.name: server for server in listed}
    streams = StreamSoftware()
    events: list[object] = []
    access = RelayAccess(**{"routing": lambda: routing, "observe": events.append, **access_options})
    view, stop = _view(place, places.values()), PlannedStop()
    monitor = ServerHealthMonitor(table=table, observe=events.append)
    sessions = BackendSessions(dial)
    relay = Relay(
        own_vm=place.vm,
        own_region=region,
        hop_port=hop_port,
        placer=Placer(
            own_region=region,
            own_failure_domain=f"{region}-a",
            table=table,
            members=LiveMembers(view=view),
            cold=ColdLimiter(own_vm=place.vm),
            region_loads=lambda pool: {},
            servers=lambda: by_name,
        ),
        sessions=sessions,
        wire=platform_wire(),
        retries=RetryShare(bound=bound),
        monitor=monitor,
        reach=ReachMonitor(
            reachability=table.reachability,
            sessions=sessions,
            probe_path="/",
            probe_headers=dict(platform_wire().probe_headers),
            naming_probe=naming_probe(platform_wire()),
            is_current=table.is_current_incarnation,
            forgive=monitor.forgive,
            observe=events.append,
        ),
        observe=events.append,
        guard=CrashGuard(observe=events.append),
        may_still_run=access.may_still_run,
        joins=StreamJoins(streams=streams),
    )
    front = RelayFront(
        own_region=region,
        relay=relay,
        wire=relay.wire,
        routing=lambda: routing,
        is_draining=lambda: stop.has_begun,
        planned_stop=stop,
        access=access,
        resumed=ResumedStreams(streams=streams, servers=lambda: by_name, observe=events.append),
    )
    listeners = RelayListeners(
        (
            Listener(
                name="clients", address=f"{place.host}:{front_port}", handler=front.from_client
            ),
            Listener(name="peers", address=f"{place.host}:{hop_port}", handler=front.from_peer),
        ),
        planned_stop=stop,
    )
    return RelayVm(
        region=region,
        host=place.host,
        front_port=front_port,
        relay=relay,
        front=front,
        listeners=listeners,
        events=events,
        planned_stop=stop,
        dial=dial,
    )


def _view(own: _Place, places: Iterable[_Place]) -> MembershipView:
    view = MembershipView(own.vm, own.region)
    for place in places:
        member = Member(
            vm=place.vm,
            incarnation=1,
            region=place.region,
            peer_address=f"{place.host}:1",
            sequence=1,
        )
        view.observe_heartbeat(member, now_unix_s())
    return view
