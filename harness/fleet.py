"""Run one deployment: platform, backend servers, entry VMs and the proxy between them."""

import asyncio
import json
import signal
from typing import Any, Self

import aiohttp
import yaml
from attrs import define, field, frozen

from harness.deployments import Deployment, PoolPlan, configuration_values, token_of
from harness.processes import Processes, free_ports

HOST = "127.0.0.1"
PEER_KEY = {"id": "k1", "secret": "a-shared-secret-of-the-fleet"}
READY_TIMEOUT_S = 20.0
POLL_S = 0.02


@frozen(kw_only=True)
class EntryPlan:
    """Location and addresses of one entry VM."""

    vm: str
    region: str
    failure_domain: str
    caller_port: int
    peer_port: int
    advertised_caller: str
    advertised_peer: str


@frozen(kw_only=True)
class ServerPlan:
    """Location and addresses of one backend server."""

    name: str
    region: str
    pool: PoolPlan
    port: int
    advertised: str


@define
class Fleet:
    """Running deployment of separate processes.

    All connections go through the fault-injecting proxy, on routes named `caller/VM`,
    `peer/REGION/VM` (from a region to a VM's peer port), `server/REGION/NAME` and
    `platform/REGION`; if VMs have links of their own, from a VM to a server of its region on
    `link/VM/NAME`.
    """

    deployment: Deployment
    seeds: bool = True
    log_level: str = "info"
    has_vm_links: bool = False
    daemon_options: dict[str, Any] = field(factory=dict)
    processes: Processes = field(factory=Processes)
    entries: dict[str, EntryPlan] = field(factory=dict)
    servers: dict[str, ServerPlan] = field(factory=dict)
    platform_port: int = 0
    control: str = ""
    session: aiohttp.ClientSession | None = None
    _routes: list[str] = field(factory=list)
    _route_ports: dict[str, int] = field(factory=dict)

    async def __aenter__(self) -> Self:
        self.session = aiohttp.ClientSession()
        try:
            self._plan()
            self._start_standins()
            for vm in self.entries:
                self.start_entry(vm)
            await self.wait_ready(*self.entries)
            await self.wait_connected()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        self.processes.stop_all()
        if self.session is not None:
            await self.session.close()

    def start_entry(self, vm: str) -> None:
        """Start an entry VM's daemon."""
        path = self.processes.folder / f"{vm}.yaml"
        path.write_text(yaml.safe_dump(self._settings(self.entries[vm])))
        self.processes.start(
            vm, ("pomelobarrow", "serve", "--settings", str(path)), announces=False
        )

    async def wait_ready(self, *vms: str) -> None:
        """Wait until these entry VMs report that they are ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for vm in vms:
                while not await self._is_ready(vm):
                    await asyncio.sleep(POLL_S)

    async def wait_connected(self) -> None:
        """Wait until all entry VMs see each other as ready.

        A VM is ready for its own callers one network delay before other regions receive that
        update. Until then, VMs of other regions refuse work that is bound to its region.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_connected():
                await asyncio.sleep(POLL_S)

    async def is_connected(self) -> bool:
        """Return whether every entry VM sees all others as ready."""
        statuses = await asyncio.gather(*(self.status(vm) for vm in self.entries))
        return all(self._sees_all_ready(each) for each in statuses)

    def _sees_all_ready(self, status: dict[str, Any]) -> bool:
        ready = {
            vm
            for vm, member in status["peers"].items()
            if member["phase"] == "ready" and not member["suspect"]
        }
        return ready | {status["vm"]} == set(self.entries)

    def freeze(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.processes.signal(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a suspended process."""
        self.processes.signal(name, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Start the planned stop of a process."""
        self.processes.signal(name, signal.SIGTERM)

    async def fault(self, routes: str, mode: str, **more: Any) -> None:
        """Set a fault mode on the proxy routes that match a pattern."""
        await self.post(self.control, "/faults", {"routes": routes, "mode": mode, **more})

    async def publish(self, keyspace: str, changes: dict[str, Any]) -> int:
        """Publish changes to a keyspace as an operator and return the revision."""
        body = {"keyspace": keyspace, "changes": changes}
        answer = await self.post(self.platform, "/admin/publish", body)
        return int(answer["revision"])

    async def platform_mode(self, mode: str, **more: Any) -> None:
        """Set the platform's fault mode."""
        await self.post(self.platform, "/admin/mode", {"mode": mode, **more})

    async def runs(self) -> list[dict[str, Any]]:
        """Return the runs of all backend servers, each with its server and region."""
        found: list[dict[str, Any]] = []
        for name, server in self.servers.items():
            answer = await self.get(f"{HOST}:{server.port}", "/admin/runs")
            found += [{**run, "server": name, "region": server.region} for run in answer["runs"]]
        return found

    async def status(self, vm: str) -> dict[str, Any]:
        """Return an entry VM's status page, bypassing the proxy."""
        answer: dict[str, Any] = await self.get(self.direct(vm), "/v1/status")
        return answer

    async def get(self, address: str, path: str, **more: Any) -> Any:
        """Return the JSON answer of a GET."""
        assert self.session is not None
        async with self.session.get(f"http://{address}{path}", **more) as response:
            return await response.json(content_type=None)

    async def post(self, address: str, path: str, body: Any) -> Any:
        """Return the JSON answer of a POST."""
        assert self.session is not None
        async with self.session.post(f"http://{address}{path}", json=body) as response:
            response.raise_for_status()
            return await response.json(content_type=None)

    @property
    def platform(self) -> str:
        """Return the platform's address, bypassing the proxy."""
        return f"{HOST}:{self.platform_port}"

    def direct(self, vm: str) -> str:
        """Return an entry VM's caller address, bypassing the proxy."""
        return f"{HOST}:{self.entries[vm].caller_port}"

    def in_region(self, region: str) -> list[str]:
        """Return the entry VMs of a region."""
        return [vm for vm, plan in self.entries.items() if plan.region == region]

    def headers(self, account: str, class_name: str, **more: str) -> dict[str, str]:
        """Return a caller's headers."""
        return {
            "Authorization": f"Bearer {token_of(account)}",
            "Pomelobarrow-Class": class_name,
            **{name.replace("_", "-"): value for name, value in more.items()},
        }

    def _plan(self) -> None:
        deployment = self.deployment
        names = [(r, n) for r in deployment.regions for n in range(deployment.vms_per_region)]
        server_names = [
            (pool, region, number)
            for pool in deployment.pools
            for region, count in pool.servers_by_region.items()
            for number in range(count)
        ]
        routes = len(names) * (1 + len(deployment.regions)) + len(server_names)
        links = deployment.vms_per_region * len(server_names) if self.has_vm_links else 0
        ports = iter(free_ports(2 * len(names) + len(server_names) + routes + links + 5))
        self.platform_port = next(ports)
        for region in deployment.regions:
            self._route(f"platform/{region}", next(ports), self.platform_port, 0.0)
        for region, number in names:
            self._plan_entry(region, number, ports)
        for pool, region, number in server_names:
            self._plan_server(pool, region, number, ports)
        if self.has_vm_links:
            self._plan_links(ports)

    def _plan_entry(self, region: str, number: int, ports: Any) -> None:
        deployment, vm = self.deployment, f"{region}-{number + 1}"
        caller_port, peer_port, advertised_port = next(ports), next(ports), next(ports)
        self._route(f"caller/{vm}", advertised_port, caller_port, deployment.caller_delay_s)
        for other in deployment.regions:
            is_local = other == region
            delay_s = deployment.domain_delay_s if is_local else deployment.region_delay_s
            self._route(f"peer/{other}/{vm}", next(ports), peer_port, delay_s)
        self.entries[vm] = EntryPlan(
            vm=vm,
            region=region,
            failure_domain=f"{region}-{'ab'[number % 2]}",
            caller_port=caller_port,
            peer_port=peer_port,
            advertised_caller=f"{HOST}:{advertised_port}",
            advertised_peer=f"{HOST}:{peer_port}",
        )

    def _plan_server(self, pool: PoolPlan, region: str, number: int, ports: Any) -> None:
        name = f"{pool.name}-{region}-{number + 1}"
        port, advertised_port = next(ports), next(ports)
        self._route(
            f"server/{region}/{name}", advertised_port, port, self.deployment.domain_delay_s
        )
        self.servers[name] = ServerPlan(
            name=name, region=region, pool=pool, port=port, advertised=f"{HOST}:{advertised_port}"
        )

    def _plan_links(self, ports: Any) -> None:
        for server in self.servers.values():
            for vm in self.in_region(server.region):
                delay_s = self.deployment.domain_delay_s
                self._route(f"link/{vm}/{server.name}", next(ports), server.port, delay_s)

    def _route(self, name: str, listen: int, target: int, delay_s: float) -> None:
        self._route_ports[name] = listen
        self._routes.append(f"{name}={HOST}:{listen},{HOST}:{target},{delay_s}")

    def _start_standins(self) -> None:
        seed = self.processes.folder / "seed.json"
        values = {"config": configuration_values(self.deployment), "vms": self.vm_values()}
        seed.write_text(json.dumps(values))
        self.processes.start(
            "platform",
            (
                "pomelobarrow.standin",
                "platform",
                "--listen",
                self.platform,
                "--seed-file",
                str(seed),
            ),
        )
        for name in self.servers:
            self._start_server(name)
        arguments = ["pomelobarrow.standin", "proxy", "--control", f"{HOST}:0"]
        for route in self._routes:
            arguments += ["--route", route]
        self.processes.start("proxy", arguments)
        for name in ("platform", *self.servers):
            self.processes.announcement(name)
        self.control = self.processes.announcement("proxy")["control"]

    def start_server(self, name: str, *options: str) -> None:
        """Restart a backend server's stand-in and wait until it is ready."""
        self._start_server(name, *options)
        self.processes.announcement(name)

    def _start_server(self, name: str, *options: str) -> None:
        plan = self.servers[name]
        arguments = [
            "pomelobarrow.standin",
            plan.pool.kind,
            "--listen",
            f"{HOST}:{plan.port}",
            "--name",
            name,
            "--slots",
            str(plan.pool.slots),
            *plan.pool.options,
            *options,
        ]
        self.processes.start(name, arguments)

    def vm_values(self) -> dict[str, Any]:
        """Return the platform's list of VMs, by key."""
        values: dict[str, Any] = {}
        for entry in self.entries.values():
            values[f"vms/{entry.vm}"] = {
                "role": "entry",
                "region": entry.region,
                "failure_domain": entry.failure_domain,
                "state": "live",
                "caller_address": entry.advertised_caller,
                "peer_address": entry.advertised_peer,
            }
        for server in self.servers.values():
            values[f"vms/{server.name}"] = self.server_value(server.name)
        return values

    def server_value(self, name: str, state: str = "live") -> dict[str, Any]:
        """Return a backend server's entry in the platform's list."""
        server = self.servers[name]
        return {
            "role": "backend_server",
            "region": server.region,
            "failure_domain": f"{server.region}-a",
            "state": state,
            "address": server.advertised,
            "pool": server.pool.name,
            "slots": server.pool.slots,
        }

    def _settings(self, entry: EntryPlan) -> dict[str, Any]:
        dial = {
            other.advertised_peer: f"{HOST}:{self._route_ports[f'peer/{entry.region}/{other.vm}']}"
            for other in self.entries.values()
        }
        if self.has_vm_links:
            dial |= {
                server.advertised: f"{HOST}:{self._route_ports[f'link/{entry.vm}/{server.name}']}"
                for server in self.servers.values()
                if server.region == entry.region
            }
        seeds = [e.advertised_peer for e in self.entries.values() if e.vm != entry.vm]
        platform_port = self._route_ports[f"platform/{entry.region}"]
        return {
            "vm": entry.vm,
            "region": entry.region,
            "failure_domain": entry.failure_domain,
            "callers": {
                "listen": f"{HOST}:{entry.caller_port}",
                "advertise": entry.advertised_caller,
                **self.daemon_options.get("callers", {}),
            },
            "peers": {
                "listen": f"{HOST}:{entry.peer_port}",
                "advertise": entry.advertised_peer,
                "keys": [PEER_KEY],
                "seeds": seeds if self.seeds else [],
            },
            "platform": {"addresses": [f"http://{HOST}:{platform_port}"]},
            "operators": {
                "log_level": self.log_level,
                **self.daemon_options.get("operators", {}),
            },
            "dial": dial,
        }

    async def _is_ready(self, vm: str) -> bool:
        assert self.session is not None
        try:
            async with self.session.get(f"http://{self.direct(vm)}/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            if self.processes.running[vm].poll() is not None:
                log = self.processes.log(vm)[-3000:]
                raise RuntimeError(f"{vm} exited during startup: {log}") from None
            return False
