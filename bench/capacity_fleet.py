"""Run entry VMs as real processes before a few stand-ins, for the capacity slopes."""

import asyncio
import hashlib
import json
import time
from typing import Any, Self

import aiohttp
import yaml
from attrs import define, field, frozen

from bench.capacity_sockets import SocketId, SocketTotals, growth, read_sockets
from harness.processes import Processes, free_ports

HOST = "127.0.0.1"
KEY = {"id": "k1", "secret": "a-shared-secret-of-the-fleet"}
ENGINES = 4
SLOTS = 16
READY_TIMEOUT_S = 60.0
START_AT_ONCE = 4
POLL_S = 0.1


@frozen(kw_only=True)
class FleetSize:
    """Say how many daemons, regions, servers and accounts a fleet has."""

    daemons: int
    regions: int = 1
    servers_per_region: int = 5
    accounts: int = 40

    @property
    def label(self) -> str:
        """Return the name of this size in tables."""
        return f"{self.daemons} daemons, {self.regions} regions, {self.servers_per_region} servers"


@frozen(kw_only=True)
class Usage:
    """Hold what an average daemon used over a while without requests."""

    size: FleetSize
    cpu_s_per_s: float
    resident_bytes: float
    peer_bytes_per_s: float
    peer_messages_per_s: float
    platform_bytes_per_s: float
    backend_bytes_per_s: float
    platform_reads_per_s: float
    change_in_force_s: float = 0.0

    @property
    def bytes_per_s(self) -> float:
        """Return all control bytes, sent and received."""
        return self.peer_bytes_per_s + self.platform_bytes_per_s + self.backend_bytes_per_s


@frozen
class _Reading:
    unix_s: float
    cpu_s: float
    sockets: dict[SocketId, SocketTotals]
    reads: int


@define
class CapacityFleet:
    """Hold the processes; daemons speak directly with each other, past no proxy."""

    size: FleetSize
    processes: Processes = field(factory=Processes)
    vms: list[str] = field(factory=list)
    _ports: dict[str, int] = field(factory=dict)
    _session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        self.processes.stop_all()
        if self._session is not None:
            await self._session.close()

    async def usage(self, settle_s: float, measure_s: float) -> Usage:
        """Return what an average daemon uses without requests."""
        await asyncio.sleep(settle_s)
        before = await self._read()
        await asyncio.sleep(measure_s)
        after = await self._read()
        elapsed_s = after.unix_s - before.unix_s
        daemon_s = elapsed_s * self.size.daemons
        peers, platform, backends = (
            growth(before.sockets, after.sockets, role) for role in ("peer", "platform", "backend")
        )
        return Usage(
            size=self.size,
            cpu_s_per_s=(after.cpu_s - before.cpu_s) / daemon_s,
            resident_bytes=sum(map(self._resident_bytes, self.vms)) / len(self.vms),
            peer_bytes_per_s=peers.bytes / daemon_s,
            peer_messages_per_s=peers.messages_sent / daemon_s,
            platform_bytes_per_s=platform.bytes / daemon_s,
            backend_bytes_per_s=backends.bytes / daemon_s,
            platform_reads_per_s=(after.reads - before.reads) / elapsed_s,
        )

    async def change_in_force_s(self) -> float:
        """Publish one change; return the seconds until every daemon has it in force."""
        value = {**account_value(0), "max_requests_per_s": 9_000}
        body = {"keyspace": "config", "changes": {"accounts/account-000": value}}
        started_s = time.monotonic()
        revision = (await self._post("/admin/publish", body))["revision"]
        while not await self._all_at(revision):
            await asyncio.sleep(POLL_S / 2)
        return time.monotonic() - started_s

    def port_of(self, vm: str) -> int:
        """Return the port on which a daemon serves callers."""
        return self._ports[f"caller/{vm}"]

    async def _all_at(self, revision: int) -> bool:
        answers = await asyncio.gather(*(self._revision(vm) for vm in self.vms))
        return min(answers) >= revision

    async def _revision(self, vm: str) -> int:
        status = await self._get(self._ports[f"caller/{vm}"], "/v1/status")
        return int(status["keyspaces"]["config"]["revision"])

    async def _start(self) -> None:
        size = self.size
        self.vms = [f"r{n % size.regions:02d}-vm{n:03d}" for n in range(size.daemons)]
        engines = [f"engine/{n}" for n in range(ENGINES)]
        names = [f"{kind}/{vm}" for vm in self.vms for kind in ("caller", "peer")]
        names += ["platform", *engines]
        self._ports = dict(zip(names, free_ports(len(names)), strict=True))
        self._start_standins(engines)
        for start in range(0, len(self.vms), START_AT_ONCE):
            batch = self.vms[start : start + START_AT_ONCE]
            for vm in batch:
                self._start_daemon(vm)
            await asyncio.gather(*(self._wait_ready(vm) for vm in batch))

    def _start_standins(self, engines: list[str]) -> None:
        seed = self.processes.folder / "seed.json"
        seed.write_text(json.dumps({"config": self._config_values(), "vms": self._vm_values()}))
        platform = ("platform", "--listen", self._address("platform"), "--seed-file", str(seed))
        self.processes.start("platform", ("pomelobarrow.standin", *platform))
        for name in engines:
            listen = ("engine", "--listen", self._address(name), "--slots", str(SLOTS))
            self.processes.start(name.replace("/", "-"), ("pomelobarrow.standin", *listen))
        self.processes.announcement("platform")
        for name in engines:
            self.processes.announcement(name.replace("/", "-"))

    def _start_daemon(self, vm: str) -> None:
        path = self.processes.folder / f"{vm}.yaml"
        path.write_text(yaml.safe_dump(self._settings(vm)))
        self.processes.start(
            vm, ("pomelobarrow", "serve", "--settings", str(path)), announces=False
        )

    async def _wait_ready(self, vm: str) -> None:
        assert self._session is not None
        url = f"http://{self._address(f'caller/{vm}')}/readyz"
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    async with self._session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    if self.processes.running[vm].poll() is not None:
                        raise RuntimeError(self.processes.log(vm)[-2000:]) from None
                await asyncio.sleep(POLL_S)

    async def _read(self) -> _Reading:
        reads = (await self._get(self._ports["platform"], "/admin/counters"))["reads"]
        roles = {port: name.partition("/")[0] for name, port in self._ports.items()}
        pids = {self.processes.running[vm].pid for vm in self.vms}
        return _Reading(
            unix_s=time.time(),
            cpu_s=sum(cpu_s(pid) for pid in pids),
            sockets=read_sockets(pids, roles),
            reads=int(reads),
        )

    def _resident_bytes(self, vm: str) -> int:
        return resident_bytes(self.processes.running[vm].pid)

    async def _get(self, port: int, path: str) -> Any:
        assert self._session is not None
        async with self._session.get(f"http://{HOST}:{port}{path}") as response:
            return await response.json(content_type=None)

    async def _post(self, path: str, body: Any) -> Any:
        assert self._session is not None
        url = f"http://{self._address('platform')}{path}"
        async with self._session.post(url, json=body) as response:
            return await response.json(content_type=None)

    def _address(self, name: str) -> str:
        return f"{HOST}:{self._ports[name]}"

    def _settings(self, vm: str) -> dict[str, Any]:
        caller, peer = self._address(f"caller/{vm}"), self._address(f"peer/{vm}")
        region = vm.partition("-")[0]
        return {
            "vm": vm,
            "region": region,
            "failure_domain": f"{region}-{'ab'[int(vm[-1]) // self.size.regions % 2]}",
            "callers": {"listen": caller, "advertise": caller},
            "peers": {"listen": peer, "advertise": peer, "keys": [KEY], "seeds": []},
            "platform": {"addresses": [f"http://{self._address('platform')}"]},
            "operators": {"log_level": "warning"},
        }

    def _config_values(self) -> dict[str, Any]:
        values: dict[str, Any] = {
            "deployment": {"objective": "cost"},
            "pools/drafting": {"kind": "engine"},
            "models/draft-large": {"pool": "drafting"},
            "classes/draft": {
                "pool": "drafting",
                "first_token_target_s": 10.0,
                "finish_target_s": 120.0,
            },
        }
        accounts = range(self.size.accounts)
        return values | {f"accounts/account-{n:03d}": account_value(n) for n in accounts}

    def _vm_values(self) -> dict[str, Any]:
        values = {f"vms/{vm}": self._vm_value(vm) for vm in self.vms}
        for region in range(self.size.regions):
            for number in range(self.size.servers_per_region):
                name = f"vms/drafting-r{region:02d}-{number:03d}"
                values[name] = self._server_value(region, number)
        return values

    def _vm_value(self, vm: str) -> dict[str, Any]:
        settings = self._settings(vm)
        return {
            "role": "entry",
            "state": "live",
            "region": settings["region"],
            "failure_domain": settings["failure_domain"],
            "caller_address": settings["callers"]["advertise"],
            "peer_address": settings["peers"]["advertise"],
        }

    def _server_value(self, region: int, number: int) -> dict[str, Any]:
        return {
            "role": "backend_server",
            "state": "live",
            "region": f"r{region:02d}",
            "failure_domain": f"r{region:02d}-{'ab'[number % 2]}",
            "address": self._address(f"engine/{number % ENGINES}"),
            "pool": "drafting",
            "slots": SLOTS,
        }


def account_value(number: int) -> dict[str, Any]:
    """Return how an account is published."""
    return {
        "token_sha256": [hashlib.sha256(f"token-{number}".encode()).hexdigest()],
        "rank": "paying" if number % 2 else "trial",
        "home_region": "r00",
        "max_requests_per_s": 10_000,
        "max_requests_in_flight": 10_000,
    }


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii", errors="replace") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds in RAM."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


TICKS_PER_S = 100
PAGE_BYTES = 4096
