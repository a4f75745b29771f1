"""A small deployment on loopback addresses: daemons as processes, the rest as stand-ins.

The addresses of a run are in one /24 of 127.0.0.0/8 that the run picks at random, so that several
runs at a time don't meet.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from record import Record
from store import Store
from wire import Answer, call, serve
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY, STORE, SERVER = 8144, 8140, 8146, 8143, 8142, 8101
INTERNAL = (7660, 7675)
METRICS = 9464
# A case that takes longer could not run.
RUN_LIMIT_S = 112.0
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "StableMs": 5000,
    "AckMs": 6000,
    "CatchUpS": 4,
    "DrainMs": 3000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ApplyMs": 3000,
    "DowngradeMs": 250,
    "StretchMaxMs": 8000,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetSlack": 54,
    "ColdOver": 1.5,
    "ColdSlack": 3,
    "EvacuationMs": 5000,
    "RecoverS": 12,
    "PassMs": 600,
    "ReuseWindowS": 10,
    "ttl_max_s": 5,
}
LIMITS = {"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderMs": 3000, "IdleMs": 15000}
# A request id is 16 hexadecimal digits.
ID_BITS = 64


@dataclass
class Machine:
    """One machine of the system: its place, address and process."""

    name: str
    region: str
    zone: str
    ip: str
    process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{FRONT}"


class Deployment:
    """Machines, workers and a store, started and ended together."""

    def __init__(self, zones: dict[str, tuple[str, int]], record: Record) -> None:
        """`zones` gives the region and the number of machines by zone."""
        self.record = record
        self.store = Store(record)
        self.zones = zones
        self.prefix = _free_prefix()
        self.machines: list[Machine] = []
        self.workers: dict[str, Worker] = {}
        self._servers: list[asyncio.Server] = []
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._next_worker = 101
        for zone, (region, count) in zones.items():
            for number in range(1, count + 1):
                ip = f"{self.prefix}.{len(self.machines) + 1}"
                self.machines.append(Machine(f"front-{zone}-{number}", region, zone, ip))

    @property
    def store_address(self) -> str:
        """Return the store's address."""
        return f"{self.prefix}.250:{STORE}"

    def machine(self, name: str) -> Machine:
        """Return a machine by its name."""
        return next(each for each in self.machines if each.name == name)

    async def add_worker(self, id_: str, service: str, zone: str, **more: Any) -> Worker:
        """Start a worker and list it in the store."""
        address = f"{self.prefix}.{self._next_worker}:{SERVER}"
        self._next_worker += 1
        worker = Worker(id_, service, zone, address, self.record, **more)
        host, _, port = address.rpartition(":")
        worker.listener = await serve(host, int(port), worker.handle)
        self._servers.append(worker.listener)
        self.workers[id_] = worker
        self.store.put(worker.key, worker.entry(), f"worker of {service} in {zone} is ready")
        return worker

    def drain_worker(self, worker: Worker) -> None:
        """Let a worker report that it leaves; it serves on."""
        worker.is_draining = True
        self.store.put(worker.key, worker.entry("draining"), "the worker reports `draining`")

    async def end_worker(self, worker: Worker) -> None:
        """Let a worker exit."""
        self.record.note(f"worker {worker.id} exits")
        worker.exit()

    async def start(self) -> None:
        """Start the store and all machines, and wait until each names all in its region."""
        host, _, port = self.store_address.rpartition(":")
        self._servers.append(await serve(host, int(port), self.store.handle))
        for machine in self.machines:
            self.start_machine(machine)
        async with asyncio.timeout(40):
            for machine in self.machines:
                while not await self._is_ready(machine):
                    await asyncio.sleep(0.1)
            while not await self._all_known():
                await asyncio.sleep(0.1)

    def start_machine(self, machine: Machine) -> None:
        """Start a machine's daemon with the command of the deploy file."""
        settings = self._folder / f"{machine.name}.yaml"
        settings.write_text(json.dumps(self._settings(machine), indent=1))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["POMELOBARROW_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self._folder / f"{machine.name}.log").open("ab")
        machine.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.record.note(f"machine {machine.name} starts")

    async def _is_ready(self, machine: Machine) -> bool:
        return (await call(f"{machine.ip}:{READY}", "GET", "/readiness", {})).status == 200

    async def _all_known(self) -> bool:
        for machine in self.machines:
            named = await self.resolve(machine, machine.zone)
            wanted = {m.front for m in self.machines if m.zone == machine.zone}
            if wanted - set(named):
                return False
        return True

    async def resolve(self, machine: Machine, zone: str) -> list[str]:
        """Ask a machine's directory where to connect, as a client in a zone does."""
        target = f"/resolution?Name=any.example&Region={self.zones[zone][0]}&Zone={zone}"
        answer = await call(f"{machine.ip}:{DIRECTORY}", "GET", target, {}, timeout_s=1.0)
        return list(json.loads(answer.body)["Addresses"]) if answer.status == 200 else []

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a machine's process."""
        assert machine.process is not None
        self.record.note(f"{number.name} to machine {machine.name}")
        machine.process.send_signal(number)

    @staticmethod
    def wait(machine: Machine) -> None:
        """Wait until a machine's process has ended."""
        assert machine.process is not None
        machine.process.wait()

    async def stop(self) -> None:
        """End all that was started."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        for server in self._servers:
            server.close()
        if keep := os.environ.get("REVIEW_KEEP_LOGS"):
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)

    def _settings(self, machine: Machine) -> dict[str, Any]:
        seeds = {m.region: f"{m.ip}:{CONTROL}" for m in reversed(self.machines)}
        return {
            "Node": machine.name,
            "Role": "gateway",
            "MachineClass": "front",
            "Serves": ["front", "control", "directory"],
            "Ip": machine.ip,
            "Zone": machine.zone,
            "Region": machine.region,
            "Zones": {zone: region for zone, (region, _) in self.zones.items()},
            "Listen": {
                "Front": f"{machine.ip}:{FRONT}",
                "Ready": f"{machine.ip}:{READY}",
                "Control": f"{machine.ip}:{CONTROL}",
                "Directory": f"{machine.ip}:{DIRECTORY}",
            },
            "InternalPorts": list(INTERNAL),
            "Seeds": list(seeds.values())[:3],
            "Bootstrap": True,
            "CountsAsLoss": False,
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "directory",
            "HeartbeatMs": 1200,
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 1},
            "Bounds": BOUNDS,
            "Platform": {
                "Address": self.store_address,
                "form": "read",
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
            },
        }


def _free_prefix() -> str:
    """Return the first three bytes of loopback addresses whose ports are free."""
    while True:
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        ports = (FRONT, READY, CONTROL, DIRECTORY, STORE, SERVER, METRICS, *INTERNAL)
        if all(_is_free(f"{prefix}.{last}", port) for last in (1, 250) for port in ports):
            return prefix


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def run_case(main: Callable[[], Awaitable[int]]) -> int:
    """Run a case and return its exit code; 2 if it ended in any way but its own."""

    async def until_stopped() -> int:
        task = asyncio.current_task()
        assert task is not None
        # Without this, all that was started would go on after a timeout.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(RUN_LIMIT_S):
            return await main()

    try:
        return asyncio.run(until_stopped())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2


def new_id() -> str:
    """Return a request id that no other request has."""
    return f"{random.getrandbits(ID_BITS):016x}"


def describe(answer: Answer) -> str:
    """Return a client's view of an answer in words."""
    if not answer.status:
        return f"no answer ({answer.detail})"
    after = answer.headers.get("retry-after")
    return f"status {answer.status}" + (f", Retry-After {after}" if after else "")
