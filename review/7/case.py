"""A worker leaves the list while two machines are dark; the third sends to it for too long."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common2"))

import stage as st  # noqa: E402

ZONES = {"tln-hall-d": "tallinn", "rtm-hall-b": "rotterdam", "waw-hall-c": "warsaw"}
MACHINES = ("tln-hall-d", "tln-hall-d", "tln-hall-d", "rtm-hall-b", "rtm-hall-b", "waw-hall-c")
SERVICE, ROUTE, DEADLINE_MS, WORK_S = "desk-app", "/lots/", 2000, 0.2
# Two of six machines, as herd_kill (power): share 0.55, for 2 s.
DARK = ("front-tln-hall-d-1", "front-tln-hall-d-2")
DARK_S = 2.0
CALM_S, REMOVED_AFTER_S, AFTERWARDS_S, ROUNDS = 10.0, 0.1, 7.0, 3
# The worker that leaves serves for DrainMs and a little longer.
SERVES_S = 3.3
REQUESTS_PER_S = 15.0
DRAIN_S = st.BOUNDS["DrainMs"] / 1000


def build(folder):
    stage = st.Stage(folder, ZONES)
    for zone in MACHINES:
        stage.machine(zone)
    stage.service(SERVICE)
    stage.worker(SERVICE, "rtm-hall-b", st.answer_after(WORK_S))
    stage.worker(SERVICE, "tln-hall-d", st.answer_after(WORK_S))
    # With these one of four workers is taken away at a time.
    for zone in ("rtm-hall-b", "waw-hall-c"):
        stage.worker(SERVICE, zone, st.answer_after(WORK_S))
    stage.route(
        "lot-order",
        ROUTE,
        "non_idempotent",
        SERVICE,
        timeout_ms=1500,
        goal_ms=300,
        Priority=2,
        Attempts=2,
    )
    return stage


async def ask(stage, machine, sent):
    """Send one request and note when it was sent."""
    id_ = st.new_id()
    sent[id_] = [time.monotonic(), "no answer"]
    try:
        reader, writer = await asyncio.open_connection(machine.ip, st.FRONT)
        writer.write(st.request_head("POST", ROUTE + "1", id_, DEADLINE_MS, 0))
        status, _, _ = await asyncio.wait_for(st.read_answer(reader), DEADLINE_MS / 1000)
        sent[id_][1] = str(status)
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        sent[id_][1] = repr(error)
    stage.record(f"client {id_}: {sent[id_][1]}")


async def load(stage, machine, sent):
    """Send requests at a steady rate until cancelled."""
    tasks = set()
    while True:
        task = asyncio.create_task(ask(stage, machine, sent))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def replace(stage, worker):
    """Start the next worker of the zone at another address."""
    following = stage.worker(SERVICE, worker.zone, st.answer_after(WORK_S))
    await following.start()
    stage.store.put(f"servers/{following.id}", following.entry())
    stage.record(f"the store lists {following.id}")
    return following


async def run(stage):
    by_name = {machine.name: machine for machine in stage.machines}
    worker, sent, broken, lost = stage.workers[1], {}, 0, 0
    clients = asyncio.create_task(load(stage, by_name["front-tln-hall-d-3"], sent))
    for _ in range(ROUNDS):
        await asyncio.sleep(CALM_S)
        troubles = []
        if st.DISRUPTED:
            troubles = [asyncio.create_task(by_name[name].lose_power(DARK_S)) for name in DARK]
        await asyncio.sleep(REMOVED_AFTER_S)
        removed = time.monotonic()
        stage.store.delete(f"servers/{worker.id}")
        stage.record(f"the store acknowledges that {worker.id} is gone")
        await asyncio.sleep(SERVES_S)
        worker.stop()
        ended = time.monotonic()
        stage.record(f"{worker.id} exits")
        await asyncio.sleep(AFTERWARDS_S - SERVES_S)
        await asyncio.gather(*troubles)
        late = [run_ for run_ in worker.runs if run_["from"] > removed + DRAIN_S]
        for run_ in late:
            result = sent[run_["id"]][1]
            lost += result != "200"
            stage.record(
                f"DRAIN: {run_['id']} reached {worker.id}"
                f" {run_['from'] - removed:.2f} s after it was gone; client: {result}"
            )
        broken += len(late)
        at_work = sum(run_["until"] is None or run_["until"] >= ended for run_ in late)
        stage.record(f"it was at work on {at_work} of these when it exited")
        worker = await replace(stage, worker)
    clients.cancel()
    stage.record(f"DRAIN broken {broken} times; {lost} of these requests lost")
    return st.BROKEN if broken else st.HELD


if __name__ == "__main__":
    st.play(Path(__file__).parent, sys.modules[__name__])
