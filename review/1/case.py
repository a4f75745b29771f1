"""Another writer's entry stands in the store: do machines still learn that a worker leaves?"""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import (  # noqa: E402
    BOUNDS,
    LIMITS,
    Deployment,
    describe,
    new_id,
    run_case,
)
from record import Record  # noqa: E402
from wire import call  # noqa: E402
from worker import Worker  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"mi-sesto": ("milano", 3), "to-lingotto": ("torino", 2), "bo-navile": ("bologna", 2)}
ZONE = "mi-sesto"
HOST = "shops.example"
SERVICE = "bot-gateway"
WORK_S = 0.09
DEADLINE_S = 3.0
# The site file has 23 pings a second in this zone.
PINGS_PER_S = 20.0
# Longer than StableMs.
CALM_S = 6.0
# From the other writer's entry to the start of the new worker.
ENTRY_STANDS_S = 5.0
# The new worker starts first, then the old one drains.
OVERLAP_S = 3.0
DRAIN_S = BOUNDS["DrainMs"] / 1000
# A draining worker serves for DrainMs and a little longer, then it exits.
SERVES_ON_S = DRAIN_S + 3.0
AFTER_EXIT_S = 5.0
LOST = "dropped, the worker exited"
# The largest number that a float holds, as some writers state that there is no limit.
NO_LIMIT = 1.7976931348623157e308

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "webhook-ack",
            "Host": HOST,
            "Prefix": "/hooks/",
            "Kind": "non_idempotent",
            "TimeoutMs": 1500,
            "GoalMs": 500,
            "Priority": 2,
            "Service": SERVICE,
            "Attempts": 1,
            "HomeRegions": [],
        }
    ],
    "Services": [
        {"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 100, "ColdS": 0, "ColdPerS": 0}
    ],
    "Limits": LIMITS,
}


async def ping(deployment: Deployment, front: str) -> None:
    """Send one ping to a machine."""
    request_id = new_id()
    headers = {
        "Host": HOST,
        "Pomelobarrow-Request-Id": request_id,
        "Pomelobarrow-Request-Deadline": str(int(DEADLINE_S * 1000)),
    }
    deployment.record.note(f"client sends {request_id} to {front}")
    body = f"ping {request_id}".encode()
    answer = await call(front, "POST", "/hooks/1", headers, body, timeout_s=DEADLINE_S)
    deployment.record.note(f"client gets {describe(answer)} to {request_id}")


async def load(deployment: Deployment, stop: asyncio.Event) -> None:
    """Send pings at a steady rate to the machines of the zone."""
    fronts = [machine.front for machine in deployment.machines if machine.zone == ZONE]
    tasks = []
    while not stop.is_set():
        tasks.append(asyncio.create_task(ping(deployment, random.choice(fronts))))
        await asyncio.sleep(1.0 / PINGS_PER_S)
    await asyncio.gather(*tasks)


def write_other_entry(deployment: Deployment) -> None:
    """Write an entry with a field of another type; it names no worker to use."""
    entry = {
        "Service": SERVICE,
        "Address": f"{deployment.prefix}.199:8101",
        "Zone": ZONE,
        "Version": "v1",
        "Slots": NO_LIMIT,
        "State": "ready",
        "ColdLeftMs": 0,
        "Sequence": 1,
    }
    deployment.store.put("servers/i-other", entry, f"another writer's entry, Slots {NO_LIMIT}")


async def play(deployment: Deployment, old: Worker) -> int:
    """Replace the zone's worker by another one; return 1 if requests reached it too late."""
    stop = asyncio.Event()
    clients = asyncio.create_task(load(deployment, stop))
    await asyncio.sleep(CALM_S)
    if HAS_TROUBLE:
        write_other_entry(deployment)
    await asyncio.sleep(ENTRY_STANDS_S)
    new = await deployment.add_worker(f"i-{ZONE}-new", SERVICE, ZONE, work_s=WORK_S)
    await asyncio.sleep(OVERLAP_S)
    deployment.drain_worker(old)
    drained = time.monotonic()
    await asyncio.sleep(SERVES_ON_S)
    await deployment.end_worker(old)
    deployment.store.put(old.key, None, "the worker has left")
    await asyncio.sleep(AFTER_EXIT_S)
    stop.set()
    await clients
    return judge(deployment, old, new, drained)


def judge(deployment: Deployment, old: Worker, new: Worker, drained: float) -> int:
    """Check DRAIN: nothing reaches the worker later than DrainMs after the acknowledgement."""
    note = deployment.record.note
    after_s = [(arrived - drained, id_) for arrived, id_ in old.arrivals if arrived > drained]
    late = [(since_s, id_) for since_s, id_ in after_s if since_s > DRAIN_S]
    for since_s, request_id in late:
        note(f"DRAIN broken: {request_id} reached {old.id} {since_s:.3f} s after `draining`")
    last_s = max((since_s for since_s, _ in after_s), default=0.0)
    note(f"{len(after_s)} requests reached {old.id} after `draining`, the last {last_s:.3f} s")
    lost = [run.request_id for run in old.runs if run.ended == LOST]
    note(f"{len(lost)} accepted requests were lost when {old.id} exited: {lost}")
    note(f"{len(new.runs)} requests were run by {new.id}")
    note(f"DRAIN broken {len(late)} times")
    return 1 if late else 0


async def main() -> int:
    """Play the case and return the exit code."""
    record = Record(HERE / "record.txt")
    deployment = Deployment(ZONES, record)
    try:
        for zone in ZONES:
            await deployment.add_worker(f"i-{zone}", SERVICE, zone, work_s=WORK_S)
        deployment.store.put("op/config", CONFIG, "version 7")
        await deployment.start()
        return await play(deployment, deployment.workers[f"i-{ZONE}"])
    except (OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        await deployment.stop()


if __name__ == "__main__":
    sys.exit(run_case(main))
