"""Prove that home-bound work is never processed outside its home region."""

import asyncio
import time
from typing import Any

import pytest
from callers import Reply, chat, chat_body, request_ids, wait_until
from peer_calls import forward, forward_message
from proof_report import Figure
from regions import cut_region, heal, restart, wait_converged, wait_in_force

from harness.fleet import Fleet

pytestmark = pytest.mark.proof

HOME = "tallinn"
ACCOUNT = f"paying-{HOME}"
REVIEW, MODEL = "contract-review", "contract-reader"
LONG_S = 30.0


async def review(fleet: Fleet, vm: str, deadline_s: float = LONG_S, **headers: str) -> Reply:
    """Request a review with home region Tallinn at an entry VM."""
    headers |= {"Pomelobarrow-Deadline": str(time.time() + deadline_s)}
    address = fleet.direct(vm)
    return await chat(fleet, address, ACCOUNT, REVIEW, chat_body(MODEL), **headers)


async def review_everywhere(fleet: Fleet, **more: Any) -> list[Reply]:
    return await asyncio.gather(*(review(fleet, vm, **more) for vm in fleet.entries))


def unanswered(replies: list[Reply]) -> list[Reply]:
    """Return the replies that are not complete, correct answers."""
    return [reply for reply in replies if not reply.is_answered]


def outside(fleet: Fleet) -> list[str]:
    return [vm for vm, plan in fleet.entries.items() if plan.region != HOME]


async def regions_run(fleet: Fleet) -> set[str]:
    return {run["region"] for run in await fleet.runs() if run["marker"]}


def is_complete_refusal(reply: Reply) -> bool:
    """Return whether a refusal says that nothing ran, when to retry and what to do."""
    return reply.run == "no" and "Retry-After" in reply.headers and bool(reply.problem["remedy"])


async def _suspects_home(fleet: Fleet, vm: str) -> bool:
    peers = (await fleet.status(vm))["peers"]
    return all(peers[each]["suspect"] for each in fleet.in_region(HOME))


async def test_wrong_entry_passes_it_home_or_refuses(vasktoru: Fleet, figure: Figure) -> None:
    # Callers send home-bound work to entry VMs of every region, and it runs in its home region.
    # When the home region is cut off, the others must refuse the work despite idle engines, with a
    # time to retry, while the home region serves its own callers. After healing, all of it runs
    # again.
    #
    # A VM is ready for its platform one network delay before other regions receive that update.
    # Until then, they see both VMs of the home region as starting and rightly refuse, so the test
    # waits until all views agree.
    await wait_converged(vasktoru)
    assert unanswered(await review_everywhere(vasktoru)) == []
    await cut_region(vasktoru, HOME)
    for vm in outside(vasktoru):
        await wait_until(lambda vm=vm: _suspects_home(vasktoru, vm))
    started_s = time.monotonic()
    refused = [await review(vasktoru, vm) for vm in outside(vasktoru)]
    figure("refusal took s", (time.monotonic() - started_s) / len(refused))
    assert [reply for reply in refused if not is_complete_refusal(reply)] == []
    assert {reply.problem["kind"] for reply in refused} == {"home_unreachable"}
    assert all([(await review(vasktoru, vm)).is_answered for vm in vasktoru.in_region(HOME)])
    await heal(vasktoru)
    await wait_converged(vasktoru)
    assert unanswered(await review_everywhere(vasktoru)) == []
    assert await regions_run(vasktoru) == {HOME}


async def test_work_sent_while_home_is_being_cut_runs_nowhere_else(
    vasktoru: Fleet, figure: Figure
) -> None:
    # The partition begins while requests are in transit and ends while callers still wait. Requests
    # may be answered late or refused, but no other region may run them.
    asking = [
        asyncio.create_task(review(vasktoru, vm, deadline_s=12.0))
        for vm in vasktoru.entries
        for _ in range(5)
    ]
    await cut_region(vasktoru, HOME)
    await wait_until(lambda: _suspects_home(vasktoru, outside(vasktoru)[0]))
    asking += [
        asyncio.create_task(review(vasktoru, vm, deadline_s=12.0)) for vm in vasktoru.entries
    ]
    await heal(vasktoru)
    replies = await asyncio.gather(*asking)
    figure("answered", sum(reply.is_answered for reply in replies))
    figure("refused or unknown", sum(bool(reply.problem) for reply in replies))
    assert [reply for reply in replies if reply.is_incomplete] == []
    assert await regions_run(vasktoru) == {HOME}


@pytest.mark.parametrize("loss", ["killed", "refusing"])
async def test_home_without_capacity_keeps_it(vasktoru: Fleet, figure: Figure, loss: str) -> None:
    # All engines of the home region have exited or refuse, while those of other regions are idle.
    # Callers must get a refusal by their deadline. It says that nothing ran, or that the outcome is
    # unknown if the connection broke after the request was sent. No other region may run the work.
    engines = [
        server for name, server in vasktoru.servers.items() if name.startswith(f"contracts-{HOME}")
    ]
    for server in engines:
        if loss == "killed":
            vasktoru.processes.kill(server.name)
        else:
            await vasktoru.post(f"127.0.0.1:{server.port}", "/admin/mode", {"refuse": True})
    started_s = time.monotonic()
    replies = await review_everywhere(vasktoru, deadline_s=4.0)
    figure("longest until refused s", time.monotonic() - started_s)
    allowed_runs = {"killed": {"no", "unknown"}, "refusing": {"no"}}
    assert {reply.run for reply in replies} <= allowed_runs[loss]
    for server in engines:
        if loss == "killed":
            vasktoru.start_server(server.name)
        else:
            await vasktoru.post(f"127.0.0.1:{server.port}", "/admin/mode", {"refuse": False})
    assert unanswered(await review_everywhere(vasktoru)) == []
    assert await regions_run(vasktoru) == {HOME}


async def test_class_bound_while_a_region_is_cut_off(vasktoru: Fleet, figure: Figure) -> None:
    # Quick queries become home-bound while Warsaw can reach neither the platform nor its peers.
    # Once the change is in force on a VM, it neither forwards such work to other regions nor
    # accepts it from them. Warsaw receives the change after healing, and its replaced VM before it
    # serves.
    bound = {**vasktoru.deployment.classes["quick-query"], "home_bound": True}
    del bound["max_share_outside_home"]
    await cut_region(vasktoru, "warsaw")
    await vasktoru.fault("platform/warsaw", "cut")
    revision = await vasktoru.publish("config", {"classes/quick-query": bound})
    reached = [vm for vm, plan in vasktoru.entries.items() if plan.region != "warsaw"]
    await wait_in_force(vasktoru, revision, reached)
    await restart(vasktoru, "warsaw-1")
    await heal(vasktoru)
    figure("in force after healing s", await wait_in_force(vasktoru, revision))
    await wait_converged(vasktoru)
    await _refuse_engines(vasktoru, HOME)
    replies = [
        await chat(
            vasktoru,
            vasktoru.direct(vm),
            ACCOUNT,
            "quick-query",
            chat_body(MODEL),
            Pomelobarrow_Deadline=str(time.time() + 2.0),
        )
        for vm in vasktoru.entries
    ]
    assert {reply.run for reply in replies} == {"no"}
    assert await regions_run(vasktoru) == set()


async def _refuse_engines(fleet: Fleet, region: str) -> None:
    for name, server in fleet.servers.items():
        if name.startswith(f"contracts-{region}"):
            await fleet.post(f"127.0.0.1:{server.port}", "/admin/mode", {"refuse": True})


async def test_peer_with_another_view_is_refused(vasktoru: Fleet) -> None:
    # A peer with an outdated configuration or wrong view forwards work with home region Tallinn to
    # Warsaw: as not home-bound, as home-bound although Warsaw's configuration says otherwise, and
    # with a home region that isn't the account's. Each must be refused and reach no engine.
    chat_fields = {
        "account": ACCOUNT,
        "method": "POST",
        "path": "/v1/chat/completions",
        "is_chat": True,
        "model": MODEL,
        "body": b'{"model": "contract-reader", "messages": [{"role": "user", "content": "x"}]}',
    }
    views = (
        {"class_name": REVIEW, "home_region": HOME, "home_bound": False},
        {"class_name": "quick-query", "home_region": HOME, "home_bound": True},
        {"class_name": REVIEW, "home_region": "warsaw", "home_bound": True},
    )
    for number, view in enumerate(views):
        message = forward_message(vasktoru, f"rotterdam-1-{number}", **chat_fields, **view)
        answer = await forward(vasktoru, "warsaw-1", message, by="rotterdam-1")
        assert answer.refusal is not None
        assert answer.refusal.run == "no"
    assert await regions_run(vasktoru) == set()


async def test_issued_id_of_another_region_stays_out(vasktoru: Fleet) -> None:
    # A caller gets a request id in Warsaw and sends a review with it to Tallinn. Only the issuer
    # knows whether the id was used, but it may not run the work. The caller must get a refusal that
    # says that nothing ran.
    request_id, *_ = await request_ids(vasktoru, vasktoru.direct("warsaw-1"), ACCOUNT, REVIEW)
    reply = await review(vasktoru, "tallinn-1", Idempotency_Key=request_id)
    assert reply.run == "no"
    assert await regions_run(vasktoru) == set()
