"""A worker leaves the list while two machines are dark: how long does the third send to it?"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import (  # noqa: E402
    BOUNDS,
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
ZONES = {
    "tln-hall-d": ("tallinn", 3),
    "rtm-hall-b": ("rotterdam", 2),
    "waw-hall-c": ("warsaw", 1),
}
ZONE = "tln-hall-d"
HOST = "desk.example"
SERVICE = "desk-app"
WORK_S = 0.0225
# The machine that the clients use; it stays up all the while.
UNDISTURBED = "front-tln-hall-d-3"
DARK = ("front-tln-hall-d-1", "front-tln-hall-d-2")
# herd_kill, how power: share 0.55 of the machines, for 2 s. Here two of six.
DARK_S = 2.0
ROUNDS = 3
# Heartbeats and load updates are exchanged for this long before anything happens.
CALM_S = 12.0
REMOVED_AFTER_S = 0.1
DRAIN_S = BOUNDS["DrainMs"] / 1000
# The worker serves for DrainMs and a little longer, then it exits.
SERVES_ON_S = DRAIN_S + 0.3
# What is under way gets its answer.
ANSWERS_S = 5.0
# The site file has 42 lookups a second in a zone at its peak.
LOOKUPS_PER_S = 40.0
LOST = "dropped, the worker exited"

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "lot-lookup",
            "Host": HOST,
            "Prefix": "/lots/",
            "Kind": "non_idempotent",
            "TimeoutMs": 1000,
            "GoalMs": 300,
            "Priority": 2,
            "Service": SERVICE,
            "Attempts": 1,
            "HomeRegions": [],
        }
    ],
    "Services": [
        {"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 96, "ColdS": 0, "ColdPerS": 0}
    ],
    "Limits": LIMITS,
}


async def send(deployment: Deployment, machine: Machine) -> None:
    """Send one request to a machine."""
    request_id = new_id()
    headers = {
        "Host": HOST,
        "Pomelobarrow-Request-Id": request_id,
        "Pomelobarrow-Request-Deadline": "2000",
    }
    deployment.record.note(f"client sends {request_id} to {machine.name}")
    body = f"lot {request_id}".encode()
    answer = await call(machine.front, "POST", "/lots/1", headers, body, timeout_s=2.0)
    deployment.record.note(f"client gets {describe(answer)} to {request_id}")


async def load(deployment: Deployment, machine: Machine, until: float) -> None:
    """Send requests at a steady rate."""
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(send(deployment, machine)))
        await asyncio.sleep(1.0 / LOOKUPS_PER_S)
    await asyncio.gather(*tasks)


async def lose_power(deployment: Deployment) -> None:
    """Let two machines of the region fall silent at once, and start them again after a while.

    A machine without power answers nothing. A stopped process does the same, where a killed one
    would reset its connections.
    """
    dark = [deployment.machine(name) for name in DARK]
    for machine in dark:
        deployment.signal(machine, signal.SIGSTOP)
    await asyncio.sleep(DARK_S)
    for machine in dark:
        deployment.signal(machine, signal.SIGKILL)
        deployment.wait(machine)
        deployment.start_machine(machine)


async def play(deployment: Deployment) -> int:
    """Take the region's only worker away a few times; return 1 if requests reached it too late."""
    machine = deployment.machine(UNDISTURBED)
    round_s = CALM_S + REMOVED_AFTER_S + SERVES_ON_S + ANSWERS_S
    end = time.monotonic() + ROUNDS * round_s
    clients = asyncio.create_task(load(deployment, machine, end))
    late = 0
    for number in range(1, ROUNDS + 1):
        worker = await deployment.add_worker(f"i-{ZONE}-{number}", SERVICE, ZONE, work_s=WORK_S)
        await asyncio.sleep(CALM_S)
        trouble = asyncio.create_task(lose_power(deployment)) if HAS_TROUBLE else None
        await asyncio.sleep(REMOVED_AFTER_S)
        deployment.store.put(worker.key, None, "the entry is removed, the worker serves on")
        removed = time.monotonic()
        await asyncio.sleep(SERVES_ON_S)
        await deployment.end_worker(worker)
        await asyncio.sleep(ANSWERS_S)
        if trouble is not None:
            await trouble
        late += judge(deployment, worker, removed)
    await clients
    deployment.record.note(f"DRAIN broken {late} times")
    return 1 if late else 0


def judge(deployment: Deployment, worker: Worker, removed: float) -> int:
    """Check DRAIN: nothing reaches the worker later than DrainMs after the acknowledgement."""
    note = deployment.record.note
    after_s = [(arrived - removed, id_) for arrived, id_ in worker.arrivals if arrived > removed]
    late = [(since_s, id_) for since_s, id_ in after_s if since_s > DRAIN_S]
    for since_s, request_id in late:
        note(f"DRAIN broken: {request_id} reached {worker.id} {since_s:.3f} s after it was gone")
    last_s = max((since_s for since_s, _ in after_s), default=0.0)
    note(f"{len(after_s)} requests reached {worker.id} after it was gone, the last {last_s:.3f} s")
    lost = [run.request_id for run in worker.runs if run.ended == LOST]
    note(f"{len(lost)} accepted requests were lost when {worker.id} exited: {lost}")
    return len(late)


async def main() -> int:
    """Play the case and return the exit code."""
    record = Record(HERE / "record.txt")
    deployment = Deployment(ZONES, record)
    try:
        for zone in ZONES.keys() - {ZONE}:
            await deployment.add_worker(f"i-{zone}", SERVICE, zone, work_s=WORK_S)
        deployment.store.put("op/config", CONFIG, "version 7")
        await deployment.start()
        return await play(deployment)
    except (OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(run_case(main))
