"""A worker's answer is lost shortly before the route's timeout: is the request called not run?"""

import asyncio
import os
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from deployment import (  # noqa: E402
    LIMITS,
    Deployment,
    describe,
    new_id,
    run_case,
)
from record import Record  # noqa: E402
from wire import Answer, call  # noqa: E402
from worker import Run, Worker  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"mi-sesto": ("milano", 3), "to-lingotto": ("torino", 2), "bo-navile": ("bologna", 2)}
HOST = "shops.example"
SERVICE = "bot-gateway"
TIMEOUT_S = 1.5
DEADLINE_S = 3.0
# The sheet's mean is 90 ms, the site file's longest job 450 ms.
WORK_S = 0.19
# srv_grey, how slow: x = 7.5 in the site file, 8 at most.
SLOWDOWN = 7.5
# answer_lost, how reset: x = 0.05 of what half of the workers ran, for 4 s.
LOST_EVERY = 20
TROUBLES = 6
TROUBLE_S = 4.0
PAUSE_S = 4.0
# The sheet has 29.5 a second in three zones.
PINGS_PER_S = 8.0
# REFUSED: such an answer promises that the request has not run and never will.
PROMISES = (408, 421, 429, 503)

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "webhook-ack",
            "Host": HOST,
            "Prefix": "/hooks/",
            "Kind": "non_idempotent",
            "TimeoutMs": int(TIMEOUT_S * 1000),
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


@dataclass
class Loss:
    """Loses the answer of every twentieth run while the trouble lasts."""

    active: bool = False
    runs: int = 0

    def __call__(self, run: Run) -> bool:
        if not self.active:
            return False
        self.runs += 1
        return self.runs % LOST_EVERY == 0


@dataclass
class Ping:
    """One webhook ping of a build server, and its attempts: request ids and answers."""

    name: str
    attempts: list[tuple[str, Answer]] = field(default_factory=list)


async def send(deployment: Deployment, ping: Ping, front: str) -> None:
    """Send a ping as the pages say that clients do: again after a promise, within the deadline."""
    end = time.monotonic() + DEADLINE_S
    for _ in range(2):
        left_s = end - time.monotonic()
        request_id = new_id()
        headers = {
            "Host": HOST,
            "Pomelobarrow-Request-Id": request_id,
            "Pomelobarrow-Request-Deadline": str(int(left_s * 1000)),
        }
        deployment.record.note(f"client sends {ping.name} as {request_id} to {front}")
        answer = await call(front, "POST", "/hooks/1", headers, ping.name.encode(), left_s)
        ping.attempts.append((request_id, answer))
        deployment.record.note(f"client gets {describe(answer)} to {request_id} ({ping.name})")
        wait_s = float(answer.headers.get("retry-after", "0"))
        if answer.status not in PROMISES or wait_s > (end - time.monotonic()) / 3:
            return
        await asyncio.sleep(wait_s)


async def main() -> int:
    """Play the case and return the exit code."""
    record = Record(HERE / "record.txt")
    deployment = Deployment(ZONES, record)
    try:
        workers = [
            await deployment.add_worker(f"i-{zone}", SERVICE, zone, work_s=WORK_S) for zone in ZONES
        ]
        deployment.store.put("op/config", CONFIG, "version 7")
        await deployment.start()
        await asyncio.sleep(2.0)
        pings = await play(deployment, workers[0])
    except (OSError, TimeoutError) as error:
        record.note(f"the case could not run: {error!r}")
        return 2
    finally:
        await deployment.stop()
    return judge(deployment, pings)


async def play(deployment: Deployment, worker: Worker) -> list[Ping]:
    """Send pings all the while; make one of the three workers slow and lossy now and then."""
    worker.loses = loss = Loss()
    fronts = [machine.front for machine in deployment.machines if machine.zone == worker.zone]
    pings: list[Ping] = []
    tasks = []
    started = time.monotonic()
    period_s = TROUBLE_S + PAUSE_S
    while (passed_s := time.monotonic() - started) < TROUBLES * period_s:
        is_on = HAS_TROUBLE and passed_s % period_s < TROUBLE_S
        if is_on != loss.active:
            deployment.record.note(f"trouble at worker {worker.id} {'begins' if is_on else 'ends'}")
        loss.active, worker.slowdown = is_on, SLOWDOWN if is_on else 1.0
        ping = Ping(f"ping-{len(pings)}")
        pings.append(ping)
        tasks.append(asyncio.create_task(send(deployment, ping, fronts[len(pings) % len(fronts)])))
        await asyncio.sleep(1.0 / PINGS_PER_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(2.0)
    return pings


def judge(deployment: Deployment, pings: list[Ping]) -> int:
    """Check REFUSED: no request that ran was answered with a promise that it didn't."""
    runs = {run.request_id: run for worker in deployment.workers.values() for run in worker.runs}
    note = deployment.record.note
    broken = doubled = 0
    for ping in pings:
        for request_id, answer in ping.attempts:
            if answer.status in PROMISES and request_id in runs:
                broken += 1
                note(
                    f"REFUSED broken: {request_id} got {describe(answer)}, but worker "
                    f"{runs[request_id].worker} had run it ({runs[request_id].ended})"
                )
        ran = [request_id for request_id, _ in ping.attempts if request_id in runs]
        if len(ran) > 1:
            doubled += 1
            note(f"{ping.name} has run {len(ran)} times: {', '.join(ran)}")
    statuses = [answer.status for ping in pings for _, answer in ping.attempts]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    lost = sum(run.ended == "done, answer lost" for run in runs.values())
    note(f"{len(pings)} pings, statuses of attempts {counts}, {lost} answers lost")
    note(f"REFUSED broken {broken} times, {doubled} pings run twice")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(run_case(main))
