"""A small deployment on loopback addresses: daemons as processes, the rest as stand-ins.

The addresses of a run are in one /24 of 127.0.0.0/8 that the run picks at random, so that several
runs at a time don't meet.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from wire import Answer, Connection, Request, call, serve

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY, STORE, SERVER = 8144, 8140, 8146, 8143, 8142, 8101
INTERNAL = (7660, 7675)
METRICS = 9464
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


class Record:
    """The record of a run: one line for each thing that was sent, answered, run or done."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now():9.3f} s  {text}\n")
        self._file.flush()


class Store:
    """The platform's store, as far as daemons read it."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 1
        # By key: the revision of the last change, that of the creation, and the value.
        self._items: dict[str, tuple[int, int, Any]] = {}
        self._changed = asyncio.Event()
        self.acknowledged: dict[str, float] = {}

    def put(self, key: str, value: Any, why: str = "") -> None:
        """Write an item; None removes it. The acknowledgement is at once."""
        self._revision += 1
        old = self._items.get(key)
        created = old[1] if old and old[2] is not None else self._revision
        self._items[key] = (self._revision, created, value)
        self.acknowledged[key] = time.monotonic()
        if why:
            self._record.note(f"store acknowledges {key}: {why}")
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request: Request, connection: Connection) -> None:
        """Answer a call of a daemon."""
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/kv-range":
            await self._send(connection, self._range(query))
        elif url.path == "/kv-watch":
            await self._send(connection, await self._watch(query))
        elif url.path == "/kv-key" and self._is_present(query.get("Key", "")):
            found = self._item(query["Key"]) | {"StoreRevision": self._revision}
            await self._send(connection, found)
        else:
            await connection.send(404, {})

    def _is_present(self, key: str) -> bool:
        return key in self._items and self._items[key][2] is not None

    async def _send(self, connection: Connection, body: dict[str, Any]) -> None:
        await connection.send(200, {"Content-Type": "application/json"}, json.dumps(body).encode())

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("Prefix", ""), query.get("after", "")
        keys = sorted(
            key
            for key, (_, _, value) in self._items.items()
            if key.startswith(prefix) and key > after and value is not None
        )
        return {
            "items": [self._item(key) for key in keys[:500]],
            "HasMore": len(keys) > 500,
            "StoreRevision": self._revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("Prefix", ""), int(query["after"])
        try:
            async with asyncio.timeout(int(query.get("WaitMs", "0")) / 1000):
                while not self._events(prefix, after):
                    await self._changed.wait()
        except TimeoutError:
            pass
        return {"events": self._events(prefix, after), "StoreRevision": self._revision}

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        found = sorted(
            (revision, key)
            for key, (revision, _, _) in self._items.items()
            if revision > after and key.startswith(prefix)
        )
        return [self._item(key) for _, key in found]

    def _item(self, key: str) -> dict[str, Any]:
        revision, created, value = self._items[key]
        if value is None:
            return {"Key": key, "Revision": revision, "Tombstone": True}
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        return {
            "Key": key,
            "Value": encoded,
            "Revision": revision,
            "Created": created,
            "Lease": 0,
        }


@dataclass
class Run:
    """One run of a request at a worker."""

    request_id: str
    body: str
    worker: str
    started: float
    ended: str = "runs"


@dataclass
class Worker:
    """A worker of a plain service: `slots` requests at a time, a short queue, then 503."""

    id: str
    service: str
    zone: str
    address: str
    record: Record
    slots: int = 6
    queue: int = 24
    work_s: float = 0.09
    # How many times as long work takes now.
    slowdown: float = 1.0
    # Loses the answer of each request for which this returns true: it resets the connection.
    loses: Any = None
    # Returns the wrong load to state with an answer, by the number of the answer; None if sound.
    spoils: Any = None
    runs: list[Run] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    listener: Any = None
    _waiting: int = 0
    _running: int = 0
    _answered: int = 0
    _free: asyncio.Condition = field(default_factory=asyncio.Condition)

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the worker's entry in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdLeftMs": 0,
            "Sequence": 1,
        }

    @property
    def key(self) -> str:
        """Return the key of the entry."""
        return f"servers/{self.id}"

    async def handle(self, request: Request, connection: Connection) -> None:
        """Answer one request."""
        request_id = request.headers.get("pomelobarrow-request-id", "")
        if request.target == "/health" and request.method == "GET":
            await connection.send(200, {"Pomelobarrow-Instance-Id": self.id})
        elif request.headers.get("pomelobarrow-target-instance", self.id) != self.id:
            await connection.send(421, {"Pomelobarrow-Instance-Id": self.id})
        elif not request_id:
            await connection.send(400, {"Pomelobarrow-Not-Executed": "1"})
        else:
            await self._take(request, request_id, connection)

    async def _take(self, request: Request, request_id: str, connection: Connection) -> None:
        self.arrivals.append((time.monotonic(), request_id))
        self.record.note(f"request {request_id} reaches worker {self.id}")
        if self._waiting >= self.queue:
            await self._reject(request_id, connection)
            return
        gone = asyncio.create_task(connection.closed_by_peer())
        work = asyncio.create_task(self._work(request, request_id))
        await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
        gone.cancel()
        if work.done():
            await self._answer(request_id, work.result(), connection)
            return
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)

    async def _reject(self, request_id: str, connection: Connection) -> None:
        self.record.note(f"worker {self.id} is full and rejects {request_id}")
        headers = {"Pomelobarrow-Not-Executed": "1", "Pomelobarrow-Request-Id": request_id}
        await connection.send(503, headers)

    async def _work(self, request: Request, request_id: str) -> Run:
        self._waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self._running < self.slots)
                self._running += 1
        finally:
            self._waiting -= 1
        run = Run(request_id, request.body.decode(), self.id, time.monotonic())
        self.runs.append(run)
        self.record.note(f"worker {self.id} runs {request_id} ({run.body})")
        try:
            await asyncio.sleep(self.work_s * self.slowdown)
            run.ended = "done"
            return run
        except asyncio.CancelledError:
            run.ended = "dropped, the connection was closed"
            self.record.note(f"worker {self.id} drops {request_id}: its connection was closed")
            raise
        finally:
            async with self._free:
                self._running -= 1
                self._free.notify()

    async def _answer(self, request_id: str, run: Run, connection: Connection) -> None:
        if self.loses is not None and self.loses(run):
            run.ended = "done, answer lost"
            took_ms = (time.monotonic() - run.started) * 1000
            self.record.note(
                f"worker {self.id} has run {request_id} for {took_ms:.0f} ms and loses its answer"
            )
            connection.reset()
            return
        self._answered += 1
        load = f"{self._running},{self._waiting},{self.slots}"
        if self.spoils is not None and (wrong := self.spoils(self._answered)):
            load = wrong
            self.record.note(f"worker {self.id} states a wrong load to {request_id}: {wrong}")
        self.record.note(f"worker {self.id} answers {request_id}")
        headers = {
            "Pomelobarrow-Request-Id": request_id,
            "Pomelobarrow-Response-Seal": f"seal-{request_id}",
            "Pomelobarrow-Server-Load": load,
        }
        await connection.send(200, headers, f"done {run.body}".encode())


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

    async def end_worker(self, worker: Worker) -> None:
        """Let a worker exit."""
        self.record.note(f"worker {worker.id} exits")
        worker.listener.close()

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
