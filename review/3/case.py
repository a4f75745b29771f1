"""A route moves while one machine is frozen: does another go back to the old service?"""

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
ZONES = {"mi-sesto": ("milano", 3), "to-lingotto": ("torino", 2), "bo-navile": ("bologna", 2)}
HOMES = ["milano", "torino"]
HOST = "shops.example"
SERVICES = ("bot-gateway", "bot-gateway-next")
# The machine that the clients use; it is outside the route's home regions and stays undisturbed.
ENTRY = "front-bo-navile-1"
FROZEN = "front-mi-sesto-1"
# node_freeze: one machine for 4 s.
FROZEN_S = 4.0
# Heartbeats and load updates are exchanged for this long before anything happens.
CALM_S = 10.0
CHANGED_AFTER_S = 0.1
AFTERWARDS_S = 7.0
ROUNDS = 3
CHECKS_PER_S = 30.0
DEADLINE_S = 3.0
DOWNGRADE_S = BOUNDS["DowngradeMs"] / 1000
# The bound of a slowed machine, which the clients' machine is not.
SLOWED_DOWNGRADE_S = 8 * DOWNGRADE_S

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
            "Service": SERVICES[0],
            "Attempts": 2,
            "HomeRegions": HOMES,
        }
    ],
    "Services": [
        {"Name": name, "HealthPath": "/health", "MaxConnections": 100, "ColdS": 0, "ColdPerS": 0}
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
    answer = await call(machine.front, "GET", "/status/1", headers, timeout_s=DEADLINE_S)
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


async def freeze(deployment: Deployment) -> None:
    """Let one machine stand still for a while."""
    frozen = deployment.machine(FROZEN)
    deployment.signal(frozen, signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    deployment.signal(frozen, signal.SIGCONT)


async def play(deployment: Deployment) -> int:
    """Move the route to the other service a few times, each time while a machine is frozen."""
    machine = deployment.machine(ENTRY)
    end = time.monotonic() + ROUNDS * (CALM_S + CHANGED_AFTER_S + AFTERWARDS_S)
    sent: dict[str, float] = {}
    clients = asyncio.create_task(load(deployment, machine, end, sent))
    moves = []
    for number in range(1, ROUNDS + 1):
        await asyncio.sleep(CALM_S)
        trouble = asyncio.create_task(freeze(deployment)) if HAS_TROUBLE else None
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
    after_long = sum(since_s > SLOWED_DOWNGRADE_S for since_s, _, _ in regressed)
    note(f"{len(runs)} runs after the move to {service}")
    note(f"{len(regressed)} of them by the old service, {after_long} over {SLOWED_DOWNGRADE_S} s")
    return len(regressed)


async def main() -> int:
    """Play the case and return the exit code."""
    record = Record(HERE / "record.txt")
    deployment = Deployment(ZONES, record)
    try:
        for service in SERVICES:
            for zone in ZONES:
                await deployment.add_worker(f"i-{service}-{zone}", service, zone, work_s=0.09)
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
