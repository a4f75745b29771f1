"""Prove that guarantees hold under two simultaneous faults."""

import time

import pytest
from callers import Reply, chat, chat_body, request_ids
from held_streams import HeldStreams, wait_for_exit
from proof_report import Figure

from harness.fleet import Fleet

STREAMS = 6


def report(figure: Figure, replies: list[Reply], runs: list[str]) -> None:
    """Record the outcomes of the requests as figures."""
    figure("requests", len(replies))
    figure("answered whole", sum(each.is_answered for each in replies))
    figure("told: may have run", sum(each.run == "unknown" for each in replies))
    figure("told: not run", sum(each.run == "no" for each in replies))
    figure("cut without a word", sum(each.is_incomplete for each in replies))
    figure(
        "told not run but run", sum(each.run == "no" and each.marker in runs for each in replies)
    )


@pytest.mark.proof
async def test_a_frozen_peer_and_a_killed_engine(vasktoru: Fleet, figure: Figure) -> None:
    # Reviews with home region Warsaw are streamed through Tallinn. One of Warsaw's entry VMs is
    # frozen and one of its two engines is killed at the same time; later the VM resumes. Reviews
    # may be late, but each must end complete or with an error event, none that ran may be reported
    # as "not run", and later requests must be answered.
    fleet, account = vasktoru, "paying-warsaw"
    streams = HeldStreams(fleet)
    for _ in range(STREAMS):
        for vm in fleet.in_region("tallinn"):
            streams.start(vm, account, "contract-review", "contract-reader")
    await streams.wait_until_started()
    started_s = time.monotonic()
    fleet.freeze("warsaw-1")
    fleet.processes.kill("contracts-warsaw-1")
    replies = await streams.replies()
    figure("seconds until all had ended", time.monotonic() - started_s)
    fleet.thaw("warsaw-1")
    fleet.start_server("contracts-warsaw-1")
    later = HeldStreams(fleet)
    for vm in fleet.entries:
        later.start(vm, account, "contract-review", "contract-reader")
    afterwards = await later.replies()
    runs = [run["marker"] for run in await fleet.runs()]
    report(figure, replies, runs)
    figure("afterwards answered whole", sum(each.is_answered for each in afterwards))
    assert not [each for each in replies if each.is_incomplete]
    assert not [each for each in replies if each.run == "no" and each.marker in runs]
    assert all(each.is_answered for each in afterwards)


@pytest.mark.proof
async def test_silent_connections_during_a_rolling_stop(rondinella: Fleet, figure: Figure) -> None:
    # While the entry VMs are replaced in turn, all open connections to peers and engines stop
    # delivering. The stop must neither cut off drafts in progress nor wait for those connections.
    fleet, replies, stops_s = rondinella, [], []
    for vm, plan in fleet.entries.items():
        streams = HeldStreams(fleet)
        other = next(each for each in fleet.deployment.regions if each != plan.region)
        for region in (plan.region, other) * 2:
            streams.start(vm, f"paying-{region}", "draft", "draft-large")
        for entry in fleet.in_region(other):
            streams.start(entry, f"paying-{plan.region}", "draft", "draft-large")
        await streams.wait_until_started()
        started_s = time.monotonic()
        fleet.terminate(vm)
        await fleet.fault("peer/*", "silent")
        await fleet.fault("server/*", "silent")
        replies += await streams.replies()
        assert await wait_for_exit(fleet, vm) == 0
        stops_s.append(time.monotonic() - started_s)
        fleet.start_entry(vm)
        await fleet.wait_ready(vm)
    figure("daemons replaced", len(stops_s))
    figure("most seconds of a stop", max(stops_s))
    report(figure, replies, [run["marker"] for run in await fleet.runs()])
    assert not [each for each in replies if each.is_incomplete]


@pytest.mark.proof
async def test_a_frozen_successor_during_a_planned_stop(vasktoru: Fleet, figure: Figure) -> None:
    # The only VM that can take over the stopping VM's request ids is frozen. Repeats of a query
    # that ran must get "unknown" or the first outcome, never "not run", and must run nothing. An
    # unused id must run at most once, also after the frozen VM resumes.
    fleet, account = vasktoru, "paying-tallinn"
    used, unused, *_ = await request_ids(fleet, fleet.direct("tallinn-1"), account, "quick-query")
    bodies = {key: chat_body("contract-reader") for key in (used, unused)}

    async def send(vm: str, key: str) -> Reply:
        headers = {"Idempotency_Key": key}
        address = fleet.direct(vm)
        return await chat(fleet, address, account, "quick-query", bodies[key], **headers)

    assert (await send("tallinn-1", used)).is_answered
    fleet.freeze("tallinn-2")
    fleet.terminate("tallinn-1")
    assert await wait_for_exit(fleet, "tallinn-1") == 0
    during = [await send(vm, key) for vm in ("rotterdam-1", "warsaw-1") for key in bodies]
    fleet.thaw("tallinn-2")
    afterwards = [await send(vm, key) for vm in ("tallinn-2", "warsaw-2") for key in bodies]
    replies = during + afterwards
    markers = [run["marker"] for run in await fleet.runs()]
    counts = [markers.count(body["metadata"]["marker"]) for body in bodies.values()]
    figure("repeats", len(replies))
    figure("told: may have run", sum(each.run == "unknown" for each in replies))
    figure("runs of the used id", counts[0])
    figure("runs of the unused id", counts[1])
    assert counts[0] == 1
    assert counts[1] <= 1
    assert not [each for each in replies if each.run == "no" and each.marker in markers]
    assert not [each for each in replies if each.is_incomplete]
