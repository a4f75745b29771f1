"""A small deployment on loopback addresses: daemons as processes, a store and workers as stand-ins.

Each run takes a /24 of 127.0.0.0/8 at random, in which every machine has an address of its own.
"""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from messages import HOST, new_id, read_answer, request_head
from store import Store
from worker import Worker, answer_after, stream_of

__all__ = [
    "Stage",
    "Worker",
    "answer_after",
    "new_id",
    "play",
    "read_answer",
    "request_head",
    "stream_of",
]

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, DIRECTORY, STORE, WORKER = 8144, 8140, 8146, 8143, 8142, 8101
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
DISRUPTED = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Write what happens, with the seconds since the start, to record.txt of a case."""

    def __init__(self, folder):
        self._file = Path(folder, "record.txt").open("w", encoding="utf-8")  # noqa: SIM115
        self._started = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._started:8.3f}  {text}"
        print(line, file=self._file, flush=True)


class Machine:
    """A front machine and its daemon."""

    def __init__(self, stage, name, ip, zone):
        self.stage, self.name, self.ip, self.zone = stage, name, ip, zone
        self.process = None
        # True for the first start of the whole system.
        self.is_first_start = True
        self.path = Path(stage.folder) / f"{name}.yaml"

    def settings(self):
        stage = self.stage
        return {
            "Node": self.name,
            "Role": "gateway",
            "MachineClass": "front",
            "Serves": ["front", "control", "directory"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": stage.zones[self.zone],
            "Zones": stage.zones,
            "Listen": {
                "Front": f"{self.ip}:{FRONT}",
                "Ready": f"{self.ip}:{READY}",
                "Control": f"{self.ip}:{CONTROL}",
                "Directory": f"{self.ip}:{DIRECTORY}",
            },
            "InternalPorts": [7660, 7675],
            "Seeds": [f"{m.ip}:{CONTROL}" for m in stage.machines[:3]],
            "Bootstrap": self.is_first_start,
            "CountsAsLoss": False,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "FileDescriptors": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "directory",
            "HeartbeatMs": 1200,
            "Contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "places",
                "platform",
            ],
            "FaultTolerance": {"Machines": 2, "Zones": 1, "Regions": 1},
            "Bounds": stage.bounds,
            "Platform": {
                "Address": stage.store_address(self),
                "form": "read",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "HistoryS": 20,
                "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
        }

    def write_settings(self):
        self.path.write_text(json.dumps(self.settings()), encoding="utf-8")

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split(" ")
        if words[0] == "python3":
            words[0] = sys.executable
        self.write_settings()
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"POMELOBARROW_SETTINGS": str(self.path), "PYTHONPATH": str(ROOT / "target/deps")}
        with Path(self.stage.folder, f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.stage.record(f"{self.name} started ({self.ip}, {self.zone})")

    def signal(self, number):
        self.stage.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def lose_power(self, for_s):
        """Stay dark for a while and start again.

        A stopped process answers nothing, as a machine without power; a killed one would reset
        its connections.
        """
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.is_first_start = False
        self.start()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, READY), 0.5)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Stage:
    """All of a case: machines, workers and the store."""

    def __init__(self, folder, zones):
        self.case = Path(folder)
        self.record = Record(folder)
        self.zones, self.bounds = zones, dict(BOUNDS)
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self._temporary.name
        self.machines, self.workers = [], []
        self.store = Store(f"{self.net}.250:{STORE}", self.record)
        self.store_address = lambda machine: self.store.address
        self.routes, self.services, self.version, self.extra = [], [], 3, {}

    def machine(self, zone):
        in_zone = 1 + sum(machine.zone == zone for machine in self.machines)
        ip = f"{self.net}.{len(self.machines) + 1}"
        machine = Machine(self, f"front-{zone}-{in_zone}", ip, zone)
        self.machines.append(machine)
        return machine

    def worker(self, service, zone, handler, **options):
        number = 100 + len(self.workers)
        worker = Worker(
            f"i-{number:04x}",
            f"{self.net}.{number}:{WORKER}",
            service,
            zone,
            self.record,
            **options,
        )
        worker.handler = handler
        self.workers.append(worker)
        return worker

    def service(self, name, **more):
        self.services.append(
            {
                "Name": name,
                "HealthPath": "/health",
                "MaxConnections": 360,
                "ColdPerS": 0,
                "ColdS": 0,
            }
            | more
        )

    def route(self, name, prefix, kind, service, timeout_ms=6000, goal_ms=1000, **more):
        self.routes.append(
            {
                "Name": name,
                "Host": HOST,
                "Prefix": prefix,
                "Kind": kind,
                "Service": service,
                "Attempts": 3,
                "TimeoutMs": timeout_ms,
                "GoalMs": goal_ms,
                "Priority": 1,
            }
            | more
        )

    def publish(self):
        self.version += 4
        self.store.put(
            "op/config",
            {
                "Version": self.version,
                "Routes": self.routes,
                "Services": self.services,
                "Limits": LIMITS,
            }
            | self.extra,
        )
        self.record(f"the store acknowledges configuration {self.version}")

    async def start(self, timeout_s=25):
        await self.store.start()
        for worker in self.workers:
            await worker.start()
            self.store.put(f"servers/{worker.id}", worker.entry())
        self.publish()
        for machine in self.machines:
            machine.start()
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all([await machine.is_ready() for machine in self.machines]):
                self.record("all machines are ready")
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the machines didn't become ready")

    def end(self):
        for machine in self.machines:
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self._temporary.cleanup()


def play(folder, scenario, limit_s=110):
    """Run a scenario; exit with its result."""

    async def main():
        stage = None
        try:
            stage = scenario.build(folder)
            async with asyncio.timeout(limit_s):
                await stage.start()
                return await scenario.run(stage)
        except Exception as error:
            import traceback

            if stage:
                stage.record("could not run: " + traceback.format_exc())
            print(repr(error), file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            if stage:
                stage.end()

    sys.exit(asyncio.run(main()))
