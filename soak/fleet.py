"""Start the daemons, store and servers of one soak, the latter two behind a proxy."""

import asyncio
import signal
from collections import Counter
from collections.abc import Mapping
from contextlib import AsyncExitStack
from random import Random
from typing import Any, Self

import aiohttp
import yaml
from aiohttp import web
from attrs import define, field

from harness.partition import CutOrders
from harness.processes import Processes, free_ports
from soak.partitions import Partition, cut_of
from soak.servers import REQUEST_ID, Runs, SoakServer
from soak.store import SoakStore

ROOT_HOST = "127.0.0.1"
POOL = "pool"
HOST = "shop.example"
REGIONS = ("ra", "rb")
DAEMONS_PER_REGION = 2
KINDS = {
    "plain": ("idempotent", 2, False),
    "once": ("non_idempotent", 1, False),
    "stream": ("stream", 1, False),
    "resumable": ("stream", 3, True),
}
# Kept out of KINDS, so that the random choices among those stay the same for a given seed.
FRAGILE, LIMITED, KEYED, ANNOUNCING = "fragile", "limited", "keyed", "announcing"
BRITTLE, VERSIONED, PROMPTED, STREAMED = "brittle", "versioned", "prompted", "streamed"
# Pools whose servers run one software version until its next release.
RELEASED = ("released-1", "released-2", "released-3")
DEDICATED_POOLS = {
    FRAGILE: ("idempotent", 2, False),
    LIMITED: ("idempotent", 2, False),
    KEYED: ("non_idempotent", 1, False),
    ANNOUNCING: ("idempotent", 2, False),
    BRITTLE: ("idempotent", 2, False),
    VERSIONED: ("stream", 3, True),
    PROMPTED: ("stream", 3, True),
    STREAMED: ("stream", 3, True),
    **dict.fromkeys(RELEASED, ("stream", 3, True)),
}
# The second service of the route of streams, if that is split.
STREAMED_TOO = "streamed-too"
APPLY_S, REVOCATION_S, LIMIT_WINDOW_S = 5.0, 2.0, 8.0
TIMEOUT_MS = 3_000
READY_TIMEOUT_S, READY_CHECK_S = 30.0, 0.05
EXIT_TIMEOUT_S = 5.0
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


def link_route(vm: str, server: str) -> str:
    """Return the proxy's route from a daemon to a server; either may be a pattern."""
    return f"{vm}/{server}"


@define(kw_only=True)
class Daemon:
    """Daemon under test and its loopback address."""

    vm: str
    region: str
    ip: str


@define(kw_only=True, slots=False)
class SoakFleet:
    """Daemons, store, servers and proxy of one soak."""

    random: Random
    daemons_per_region: int = DAEMONS_PER_REGION
    servers_per_region: int = 2
    store: SoakStore = field(factory=SoakStore)
    runs: Runs = field(factory=Runs)
    processes: Processes = field(factory=Processes)
    daemons: list[Daemon] = field(factory=list)
    servers: dict[str, SoakServer] = field(factory=dict)
    version: int = 0
    # How often each server has started.
    starts: Counter[str] = field(factory=Counter)
    is_stream_route_split: bool = False
    # The daemons are told so when the fleet starts, not when they start again.
    is_first_start: bool = False
    # Daemons follow orders about what they are cut off from.
    is_cuttable: bool = False
    partitions: list[Partition] = field(factory=list)
    # The accounts of the configuration.
    tenants: list[dict[str, Any]] = field(factory=list)
    # Unset from when all daemons were killed at once until all are ready again.
    has_daemons: asyncio.Event = field(factory=asyncio.Event)
    _ports: Mapping[str, int] = field(factory=dict)
    _stack: AsyncExitStack = field(factory=AsyncExitStack)
    _control: str = ""
    _store_address: str = ""
    # By VM: the proxy's address for each server that the VM reaches.
    _dial: dict[str, dict[str, str]] = field(factory=dict)

    async def __aenter__(self) -> Self:
        names = ("Front", "Ready", "Control", "Directory", "hop", "metrics")
        self._ports = dict(zip(names, free_ports(len(names)), strict=True))
        self._plan_daemons()
        await self._start_store_and_servers()
        for daemon in self.daemons:
            self.start_daemon(daemon)
        self.is_first_start = False
        self.has_daemons.set()
        return self

    async def __aexit__(self, *error: object) -> None:
        self.processes.stop_all()
        await self._stack.aclose()

    def front(self, daemon: Daemon) -> str:
        """Return the address of a daemon for clients."""
        return f"{daemon.ip}:{self._ports['Front']}"

    def readiness(self, daemon: Daemon) -> str:
        """Return the URL of a daemon's readiness endpoint."""
        return f"http://{daemon.ip}:{self._ports['Ready']}/readiness"

    def in_region(self, region: str) -> list[Daemon]:
        """Return the daemons of a region."""
        return [daemon for daemon in self.daemons if daemon.region == region]

    async def wait_ready(self, daemon: Daemon) -> None:
        """Wait until a daemon reports that it is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S), aiohttp.ClientSession() as session:
            while not await _is_ready(session, self.readiness(daemon)):
                await asyncio.sleep(READY_CHECK_S)

    def start_daemon(self, daemon: Daemon) -> None:
        """Start a daemon's process."""
        path = self.processes.folder / f"{daemon.vm}.yaml"
        path.write_text(yaml.safe_dump(self._settings(daemon)))
        arguments = ("harness.serve", str(path), str(self._ports["metrics"]))
        self.processes.start(daemon.vm, arguments, announces=False)

    def kill_all_daemons(self) -> None:
        """Kill all daemons at once."""
        self.has_daemons.clear()
        for daemon in self.daemons:
            self.processes.signal(daemon.vm, signal.SIGKILL)
        for daemon in self.daemons:
            self.processes.wait(daemon.vm, EXIT_TIMEOUT_S)

    async def start_all_daemons(self) -> None:
        """Start all daemons and wait until each is ready."""
        for daemon in self.daemons:
            self.start_daemon(daemon)
        await asyncio.gather(*(self.wait_ready(daemon) for daemon in self.daemons))
        self.has_daemons.set()

    def begin_partition(self, partition: Partition) -> None:
        """Cut VMs off from all others, and maybe from the store."""
        assert self.is_cuttable
        self.partitions.append(partition)
        self._order_cuts()

    def end_partition(self, partition: Partition) -> None:
        """End a partition; what others cut stays cut."""
        self.partitions.remove(partition)
        self._order_cuts()

    def _order_cuts(self) -> None:
        ips = {daemon.vm: daemon.ip for daemon in self.daemons}
        for vm in ips:
            cut = cut_of(vm, self.partitions, ips, self._store_address)
            CutOrders(self.processes.folder, vm).give(cut)

    def ended_daemons(self) -> list[str]:
        """Return a line for each daemon that exited unexpectedly."""
        codes = {each.vm: self.processes.running[each.vm].poll() for each in self.daemons}
        return [f"{vm} exited early: {code}" for vm, code in codes.items() if code is not None]

    def publish_configuration(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 3
        routes = [
            {
                "Name": name,
                "Host": HOST,
                "Prefix": f"/{name}/",
                "Kind": kind,
                "TimeoutMs": TIMEOUT_MS,
                "GoalMs": 500,
                "Service": name if name in DEDICATED_POOLS else POOL,
                "Attempts": attempts,
                "Resumable": resumable,
                "Public": name != KEYED,
            }
            for name, (kind, attempts, resumable) in (KINDS | DEDICATED_POOLS).items()
        ]
        pools = [POOL, *DEDICATED_POOLS]
        if self.is_stream_route_split:
            pools.append(STREAMED_TOO)
            [streamed] = [route for route in routes if route["Name"] == STREAMED]
            streamed["Split"] = [
                {"Service": name, "Weight": 1.0} for name in (streamed.pop("Service"), STREAMED_TOO)
            ]
        services = [{"Name": name, "MaxConnections": 500} for name in pools]
        config = {"Version": self.version, "Routes": routes, "Services": services, "Limits": {}}
        self.store.put("op/config", config | {"Tenants": self.tenants})

    def list_server(self, name: str, state: str = "ready") -> None:
        """Write the store entry of a server."""
        server = self.servers[name]
        self.list_address(name, server.region, server.address, POOL, state)

    def list_address(
        self,
        name: str,
        region: str,
        address: str,
        pool: str,
        state: str = "ready",
        slots: int = 16,
        version: str = "",
    ) -> None:
        """Write the store entry of a server of any pool."""
        entry = {
            "Service": pool,
            "Address": address,
            "Zone": f"{region}-1",
            "Slots": slots,
            "State": state,
            "ColdLeftMs": 0,
            "born": self.starts[name],
        }
        if version:
            entry["Version"] = version
        self.store.put(f"servers/{name}", entry)

    async def send(
        self,
        session: aiohttp.ClientSession,
        daemon: Daemon,
        kind: str,
        id_: str,
        body: bytes,
        more_headers: Mapping[str, str] | None = None,
    ) -> int | None:
        """Send a request of any kind; return its status, or None if the connection failed."""
        headers = {"Host": HOST, REQUEST_ID: id_, "Pomelobarrow-Request-Deadline": "3000"}
        headers |= more_headers or {}
        url = f"http://{self.front(daemon)}/{kind}/x"
        try:
            async with session.post(url, headers=headers, data=body) as response:
                await response.read()
                return response.status
        except REQUEST_ERRORS:
            return None

    async def fault(self, routes: str, mode: str) -> None:
        """Set a fault mode on the proxy routes that match a pattern."""
        url = f"http://{self._control}/faults"
        order = {"routes": routes, "mode": mode}
        async with aiohttp.ClientSession() as session, session.post(url, json=order) as response:
            response.raise_for_status()

    def _plan_daemons(self) -> None:
        for region in REGIONS:
            for number in range(self.daemons_per_region):
                ip = f"127.0.{REGIONS.index(region) + 1}.{number + 1}"
                self.daemons.append(Daemon(vm=f"{region}-{number + 1}", region=region, ip=ip))

    async def _start_store_and_servers(self) -> None:
        app = web.Application()
        app.add_routes(self.store.routes())
        routes = {"store": await self._listen(web.AppRunner(app))}
        for region in REGIONS:
            for number in range(self.servers_per_region):
                name = f"server-{region}-{number + 1}"
                rng = Random(self.random.random())
                server = SoakServer(name=name, region=region, runs=self.runs, random=rng)
                runner = web.ServerRunner(web.Server(server.answer))
                address = await self._listen(runner)
                for daemon in self.in_region(region):
                    routes[link_route(daemon.vm, name)] = address
                server.address = address
                self.servers[name] = server
        ports = dict(zip(routes, free_ports(len(routes)), strict=True))
        arguments = ["pomelobarrow.standin", "proxy", "--control", f"{ROOT_HOST}:0"]
        for name, target in routes.items():
            arguments += ["--route", f"{name}={ROOT_HOST}:{ports[name]},{target},0.001"]
        self.processes.start("proxy", arguments)
        self._control = self.processes.announcement("proxy")["control"]
        self._store_address = f"{ROOT_HOST}:{ports['store']}"
        for name, server in self.servers.items():
            for daemon in self.in_region(server.region):
                proxied = f"{ROOT_HOST}:{ports[link_route(daemon.vm, name)]}"
                self._dial.setdefault(daemon.vm, {})[server.address] = proxied
        self.publish_configuration()
        for name in self.servers:
            self.list_server(name)

    async def _listen(self, runner: web.BaseRunner) -> str:
        await runner.setup()
        site = web.TCPSite(runner, ROOT_HOST, 0)
        await site.start()
        self._stack.push_async_callback(runner.cleanup)
        host, port = runner.addresses[0][:2]
        return f"{host}:{port}"

    def _settings(self, daemon: Daemon) -> dict[str, Any]:
        listen = {
            name: f"{daemon.ip}:{self._ports[name]}"
            for name in ("Front", "Ready", "Control", "Directory")
        }
        return {
            "Node": daemon.vm,
            "Ip": daemon.ip,
            "Zone": f"{daemon.region}-1",
            "Region": daemon.region,
            "Zones": {f"{region}-1": region for region in REGIONS},
            "Listen": listen,
            "InternalPorts": [self._ports["hop"], self._ports["hop"]],
            "Seeds": [f"{each.ip}:{self._ports['Control']}" for each in self.daemons[:3]],
            "Bounds": {
                "GraceS": 6,
                "BudgetRatio": 0.2,
                "BudgetWindowS": 10,
                "BudgetSlack": 50,
                "ttl_max_s": 5,
                "ApplyMs": int(APPLY_S * 1_000),
                "StrictRevoke": True,
                "RevokeMs": int(REVOCATION_S * 1_000),
                "QuotaWindowS": LIMIT_WINDOW_S,
                "QuotaOver": 0.25,
                "QuotaSlack": 0,
            },
            "Platform": {"Address": self._store_address},
            "Dial": self._dial.get(daemon.vm, {}),
            "Bootstrap": self.is_first_start,
            **(self._cut_orders() if self.is_cuttable else {}),
        }

    def _cut_orders(self) -> dict[str, Any]:
        vm_ips = [daemon.ip for daemon in self.daemons]
        return {"CutOrders": str(self.processes.folder), "VmIps": vm_ips}


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
