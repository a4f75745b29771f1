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
OLD, NEW = "bot-gateway", "bot-gateway-next"
# The machine that the clients use; it is outside the route's home regions and stays undisturbed.
ENTRY = "front-bo-navile-1"
FROZEN = "front-mi-sesto-1"
# node_freeze: one machine for 4 s.
FROZEN_S = 4.0
# Heartbeats and load updates are exchanged for this long before anything happens.
CALM_S = 10.0
CHANGED_AFTER_S = 0.1
AFTERWARDS_S = 7.0
CHECKS_PER_S = 30.0
DEADLINE_S = 3.0
DOWNGRADE_S = BOUNDS["DowngradeMs"] / 1000

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
            "Service": OLD,
            "Attempts": 2,
            "HomeRegions": HOMES,
        }
    ],
    "Services": [
        {"Name": name, "HealthPath": "/health", "MaxConnections": 100, "ColdS": 0, "ColdPerS": 0}
        for name in (OLD, NEW)
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


async def load(deployment: Deployment, machine: Machine, until: float) -> dict[str, float]:
    """Send requests at a steady rate; return when each was sent."""
    tasks, sent = [], {}
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(send(deployment, machine, sent)))
        await asyncio.sleep(1.0 / CHECKS_PER_S)
    await asyncio.gather(*tasks)
    return sent


async def freeze(deployment: Deployment) -> None:
    """Let one machine stand still for a while."""
    frozen = deployment.machine(FROZEN)
    deployment.signal(frozen, signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    deployment.signal(frozen, signal.SIGCONT)


async def play(deployment: Deployment) -> int:
    """Move the route to another service and judge what the entry machine did."""
    machine = deployment.machine(ENTRY)
    end = time.monotonic() + CALM_S + CHANGED_AFTER_S + AFTERWARDS_S
    clients = asyncio.create_task(load(deployment, machine, end))
    await asyncio.sleep(CALM_S)
    trouble = asyncio.create_task(freeze(deployment)) if HAS_TROUBLE else None
    await asyncio.sleep(CHANGED_AFTER_S)
    changed = deepcopy(CONFIG) | {"Version": 9}
    changed["Routes"][0]["Service"] = NEW
    deployment.store.put("op/config", changed, f"version 9, the route moves to {NEW}")
    sent = await clients
    if trouble is not None:
        await trouble
    return judge(deployment, sent)


def judge(deployment: Deployment, sent: dict[str, float]) -> int:
    """Check CONFIG: once a worker saw the new version's effect, no request is handled as before."""
    note = deployment.record.note
    runs = [(run, each.service) for each in deployment.workers.values() for run in each.runs]
    new_runs = [run for run, service in runs if service == NEW]
    if not new_runs:
        note("no request was run by the new service")
        return 2
    seen = min(run.started for run in new_runs)
    regressed = sorted(
        (sent[run.request_id] - seen, run)
        for run, service in runs
        if service == OLD and sent[run.request_id] > seen + DOWNGRADE_S
    )
    for since_s, run in regressed:
        note(
            f"CONFIG broken: {run.request_id}, sent to {ENTRY} {since_s:.3f} s after a worker of "
            f"{NEW} had run a request from there, was run by {run.worker} of {OLD}"
        )
    note(f"{len(sent)} requests, {len(new_runs)} run by {NEW}")
    note(f"CONFIG broken {len(regressed)} times")
    return 1 if regressed else 0


async def main() -> int:
    """Play the case and return the exit code."""
    record = Record(HERE / "record.txt")
    deployment = Deployment(ZONES, record)
    try:
        for service in (OLD, NEW):
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
