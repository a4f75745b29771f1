"""A route moves while two machines are dark: does another go back to the old service?"""

import asyncio
import os
import signal
import sys
import time
from copy import deepcopy
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import BOUNDS, LIMITS, Deployment, Machine, Record, describe, new_id  # noqa: E402
from wire import call  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {
    "tln-hall-d": ("tallinn", 3),
    "rtm-hall-b": ("rotterdam", 2),
    "waw-hall-c": ("warsaw", 1),
}
HOMES = ["tallinn", "rotterdam"]
HOST = "desk.example"
SERVICES = ("desk-app", "desk-app-next")
# The machine that the clients use; it is outside the route's home regions and stays undisturbed.
ENTRY = "front-waw-hall-c-1"
DARK = ("front-tln-hall-d-1", "front-tln-hall-d-2")
# herd_kill, how power: share 0.55 of the machines, for 2 s. Here two of six.
DARK_S = 2.0
# Heartbeats and load updates are exchanged for this long before anything happens.
CALM_S = 12.0
CHANGED_AFTER_S = 0.1
AFTERWARDS_S = 7.0
ROUNDS = 3
CHECKS_PER_S = 30.0
DEADLINE_S = 2.0
DOWNGRADE_S = BOUNDS["DowngradeMs"] / 1000

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "assay-fetch",
            "Host": HOST,
            "Prefix": "/assays/",
            "Kind": "idempotent",
            "TimeoutMs": 1000,
            "GoalMs": 300,
            "Priority": 2,
            "Service": SERVICES[0],
            "Attempts": 2,
            "HomeRegions": HOMES,
        }
    ],
    "Services": [
        {"Name": name, "HealthPath": "/health", "MaxConnections": 96, "ColdS": 0, "ColdPerS": 0}
        for name in SERVICES
    ],
    "Limits": LIMITS,
}


async def send(deployment: Deployment, machine: Machine, sent: dict[str, float]) -> None:
    """Send one request to a machine."""
    request_id = new_id()
    headers = {
        "Host": HOST,
        "Pomelobarrow-Request-Id": request_id,
        "Pomelobarrow-Request-Deadline": str(int(DEADLINE_S * 1000)),
    }
    sent[request_id] = time.monotonic()
    deployment.record.note(f"client sends {request_id} to {machine.name}")
    answer = await call(machine.front, "GET", "/assays/1", headers, timeout_s=DEADLINE_S)
    deployment.record.note(f"client gets {describe(answer)} to {request_id}")


async def load(
    deployment: Deployment, machine: Machine, until: float, sent: dict[str, float]
) -> None:
    """Send requests at a steady rate and note when each was sent."""
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(send(deployment, machine, sent)))
        await asyncio.sleep(1.0 / CHECKS_PER_S)
    await asyncio.gather(*tasks)


async def lose_power(deployment: Deployment) -> None:
    """Let two machines of a region fall silent at once, and start them again after a while.

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
    """Move the route to the other service a few times, each time while two machines are dark."""
    machine = deployment.machine(ENTRY)
    end = time.monotonic() + ROUNDS * (CALM_S + CHANGED_AFTER_S + AFTERWARDS_S)
    sent: dict[str, float] = {}
    clients = asyncio.create_task(load(deployment, machine, end, sent))
    moves = []
    for number in range(1, ROUNDS + 1):
        await asyncio.sleep(CALM_S)
        trouble = asyncio.create_task(lose_power(deployment)) if HAS_TROUBLE else None
        await asyncio.sleep(CHANGED_AFTER_S)
        service, version = SERVICES[number % 2], CONFIG["Version"] + 2 * number
        changed = deepcopy(CONFIG) | {"Version": version}
        changed["Routes"][0]["Service"] = service
        deployment.store.put("op/config", changed, f"version {version}, the route is on {service}")
        moves.append((time.monotonic(), service))
        await asyncio.sleep(AFTERWARDS_S)
        if trouble is not None:
            await trouble
    await clients
    ends = [moved for moved, _ in moves[1:]] + [end + DEADLINE_S]
    broken = sum(
        judge(deployment, sent, moved, until, service)
        for (moved, service), until in zip(moves, ends, strict=True)
    )
    deployment.record.note(f"CONFIG broken {broken} times")
    return 1 if broken else 0


def judge(
    deployment: Deployment, sent: dict[str, float], moved: float, until: float, service: str
) -> int:
    """Check CONFIG: once a worker saw a version's effect, no request is handled as before it."""
    note = deployment.record.note
    runs = [
        (run, worker.service)
        for worker in deployment.workers.values()
        for run in worker.runs
        if moved <= sent[run.request_id] < until
    ]
    seen = min(run.started for run, run_by in runs if run_by == service)
    regressed = sorted(
        (sent[run.request_id] - seen, run.request_id, run.worker)
        for run, run_by in runs
        if run_by != service and sent[run.request_id] > seen + DOWNGRADE_S
    )
    for since_s, request_id, worker in regressed:
        note(
            f"CONFIG broken: {request_id}, sent to {ENTRY} {since_s:.3f} s after a worker of "
            f"{service} had run a request from there, was run by {worker}"
        )
    note(f"{len(runs)} runs after the move to {service}, {len(regressed)} too late by the old one")
    return len(regressed)


async def main() -> int:
    """Play the case and return the exit code."""
    record = Record(HERE / "record.txt")
    deployment = Deployment(ZONES, record)
    try:
        for service in SERVICES:
            for zone in ZONES:
                await deployment.add_worker(f"i-{service}-{zone}", service, zone, work_s=0.0225)
        deployment.store.put("op/config", CONFIG, "version 7")
        await deployment.start()
        return await play(deployment)
    except (OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
