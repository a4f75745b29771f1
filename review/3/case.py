"""A worker spoils a few of its answers: do machines of the system end by themselves?"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import (  # noqa: E402
    LIMITS,
    Deployment,
    Machine,
    describe,
    new_id,
    run_case,
)
from record import Record  # noqa: E402
from wire import call  # noqa: E402
from worker import Worker  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"mi-sesto": ("milano", 3), "to-lingotto": ("torino", 2), "bo-navile": ("bologna", 2)}
# A region with two machines, so that wrong answers meet both.
ZONE = "to-lingotto"
HOST = "shops.example"
SERVICE = "bot-gateway"
# garble: share = 0.35 of the workers, x = 0.02 of their answers, for 5.5 s in the site file. Here:
# one of three workers, every fiftieth answer.
SPOILED_EVERY = 50
TROUBLE_S = 5.5
PAUSE_S = 2.5
TROUBLES = 10
# The sheet has 41.3 plain requests a second in three zones.
CHECKS_PER_S = 13.8
# The site file has so many clients in this zone.
CLIENTS = 10
# The site file's mean; the sheet has 90 ms.
WORK_S = 0.06
DEADLINE_S = 3.0
# The platform starts a process that ended again after a short delay.
RESTART_S = 0.5
# Fault: on a tenth of the machines, two at least, processes end by themselves three times.
MACHINES_AT_LEAST = 2
ENDS_AT_LEAST = 3

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "status-check",
            "Host": HOST,
            "Prefix": "/status/",
            "Kind": "idempotent",
            "TimeoutMs": 1500,
            "GoalMs": 500,
            "Priority": 2,
            "Service": SERVICE,
            "Attempts": 2,
            "HomeRegions": [],
        }
    ],
    "Services": [
        {"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 100, "ColdS": 0, "ColdPerS": 0}
    ],
    "Limits": LIMITS,
}


class Client:
    """A client that picks a machine at random among those that haven't failed it."""

    def __init__(self, deployment: Deployment, fronts: list[str]) -> None:
        self._deployment = deployment
        self._fronts = fronts
        self._failed: set[str] = set()

    async def send(self) -> None:
        """Send one request; on another connection if the machine takes none."""
        note, request_id = self._deployment.record.note, new_id()
        headers = {
            "Host": HOST,
            "Pomelobarrow-Request-Id": request_id,
            "Pomelobarrow-Request-Deadline": str(int(DEADLINE_S * 1000)),
        }
        for _ in self._fronts:
            front = self._pick()
            note(f"client sends {request_id} to {front}")
            answer = await call(front, "GET", "/status/1", headers, timeout_s=DEADLINE_S)
            note(f"client gets {describe(answer)} to {request_id}")
            if answer.detail != "ConnectionRefusedError":
                return
            self._failed.add(front)

    def _pick(self) -> str:
        if self._failed.issuperset(self._fronts):
            self._failed.clear()
        return random.choice([each for each in self._fronts if each not in self._failed])


async def restart_ended(deployment: Deployment, ends: dict[str, int]) -> None:
    """Start processes that ended again, as the platform does, and count how often each ended."""
    while True:
        for machine in deployment.machines:
            await _restart_if_ended(deployment, machine, ends)
        await asyncio.sleep(0.1)


async def _restart_if_ended(deployment: Deployment, machine: Machine, ends: dict[str, int]) -> None:
    assert machine.process is not None
    code = machine.process.poll()
    if code is None:
        return
    ends[machine.name] = ends.get(machine.name, 0) + 1
    deployment.record.note(f"machine {machine.name} ended by itself with code {code}")
    await asyncio.sleep(RESTART_S)
    deployment.start_machine(machine)


async def play(deployment: Deployment, worker: Worker) -> int:
    """Send requests all the while; let the worker spoil some answers now and then."""
    fronts = [machine.front for machine in deployment.machines if machine.zone == ZONE]
    clients = [Client(deployment, fronts) for _ in range(CLIENTS)]
    ends: dict[str, int] = {}
    platform = asyncio.create_task(restart_ended(deployment, ends))
    tasks = []
    started = time.monotonic()
    while (passed_s := time.monotonic() - started) < TROUBLES * (TROUBLE_S + PAUSE_S):
        is_on = HAS_TROUBLE and passed_s % (TROUBLE_S + PAUSE_S) < TROUBLE_S
        worker.spoils = spoils if is_on else None
        tasks.append(asyncio.create_task(random.choice(clients).send()))
        await asyncio.sleep(1.0 / CHECKS_PER_S)
    await asyncio.gather(*tasks)
    # A process that has begun to end exits within this time.
    await asyncio.sleep(6.0)
    platform.cancel()
    return judge(deployment, ends)


def spoils(answered: int) -> bool:
    """Return whether an answer is spoiled."""
    return answered % SPOILED_EVERY == 0


def judge(deployment: Deployment, ends: dict[str, int]) -> int:
    """Check Fault: processes don't end by themselves three times on two machines."""
    deployment.record.note(f"processes that ended by themselves, by machine: {ends}")
    often = [name for name, count in ends.items() if count >= ENDS_AT_LEAST]
    is_broken = len(often) >= MACHINES_AT_LEAST
    deployment.record.note(f"Fault {'shown' if is_broken else 'not shown'} on {often}")
    return 1 if is_broken else 0


async def main() -> int:
    """Play the case and return the exit code."""
    record = Record(HERE / "record.txt")
    deployment = Deployment(ZONES, record)
    try:
        for zone in ZONES:
            await deployment.add_worker(f"i-{zone}", SERVICE, zone, work_s=WORK_S)
        deployment.store.put("op/config", CONFIG, "version 7")
        await deployment.start()
        await asyncio.sleep(3.0)
        return await play(deployment, deployment.workers[f"i-{ZONE}"])
    except (OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(run_case(main))
