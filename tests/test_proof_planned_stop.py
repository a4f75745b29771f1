"""Prove guarantee 8: a planned stop cuts off no request in progress."""

import asyncio
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import pytest
from callers import Reply, call_service, chat, chat_body, entries, request_ids, wait_until
from held_streams import STREAM_TOKENS, HeldStreams, wait_for_exit
from proof_report import Figure
from slow_reader import request_largest_buffered_answer

from harness.fleet import Fleet


class Callers:
    """Callers that keep sending requests to the entry VMs that the system lists."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.replies: list[Reply] = []
        self.refusal_count = 0
        self._is_running = True

    async def keep_sending(self, region: str) -> None:
        """Send short requests one after the other, each until it is answered."""
        account = f"paying-{region}"
        async with aiohttp.ClientSession() as session:
            while self._is_running:
                self.replies.append(await self._until_answered(session, account))

    def stop(self) -> None:
        """Let each caller finish its last request."""
        self._is_running = False

    async def _until_answered(self, session: aiohttp.ClientSession, account: str) -> Reply:
        body = chat_body("note-small", 8)
        for address in await self._addresses(account):
            reply = await chat(
                self.fleet, address, account, "changelog-note", body, session=session
            )
            if reply.run != "no" and "ClientConnectorError" not in reply.error:
                return reply
            self.refusal_count += 1
        return reply

    async def _addresses(self, account: str) -> list[str]:
        for plan in self.fleet.entries.values():
            try:
                answer = await entries(
                    self.fleet, plan.advertised_caller, account, "changelog-note"
                )
            except (aiohttp.ClientError, OSError, ValueError):
                continue
            if "entries" in answer:
                return [each["address"] for each in answer["entries"]]
        raise AssertionError("no entry VM answered")


@asynccontextmanager
async def steady_callers(fleet: Fleet) -> AsyncIterator[Callers]:
    """Keep two callers of each region busy."""
    callers = Callers(fleet)
    regions = fleet.deployment.regions * 2
    tasks = [asyncio.create_task(callers.keep_sending(region)) for region in regions]
    try:
        yield callers
    finally:
        callers.stop()
        await asyncio.gather(*tasks)


async def seconds_until_unlisted(fleet: Fleet, vm: str, neighbour: str) -> float:
    """Return the seconds until another VM of the region no longer lists this one."""
    started_s = time.monotonic()
    plan = fleet.entries[vm]

    async def is_unlisted() -> bool:
        answer = await entries(
            fleet, fleet.direct(neighbour), f"paying-{plan.region}", "changelog-note"
        )
        return vm not in [each["vm"] for each in answer["entries"]]

    await wait_until(is_unlisted)
    return time.monotonic() - started_s


async def is_stopping(fleet: Fleet, vm: str) -> bool:
    """Return whether a VM has begun its planned stop."""
    return '"draining"' in fleet.processes.log(vm)


async def is_closing_or_gone(fleet: Fleet, vm: str) -> bool:
    """Return whether a stopping VM has no more work in progress."""
    has_ended = fleet.processes.running[vm].poll() is not None
    return has_ended or '"closing"' in fleet.processes.log(vm)


async def wait_until_forwarding(fleet: Fleet) -> None:
    """Wait until every entry VM would send each region's drafts to that region.

    A VM that has just started refuses them as "not run" until it receives updates from the region.
    """

    async def is_forwarding() -> bool:
        for vm in fleet.entries:
            for region in fleet.deployment.regions:
                path = f"/v1/explain?class=draft&account=paying-{region}"
                if (await fleet.get(fleet.direct(vm), path)).get("region") != region:
                    return False
        return True

    await wait_until(is_forwarding)


async def hold_streams(fleet: Fleet, vm: str) -> HeldStreams:
    """Start streams that a VM serves, that it forwards, and that are forwarded to its region."""
    await wait_until_forwarding(fleet)
    regions = fleet.deployment.regions
    region = fleet.entries[vm].region
    other = regions[(regions.index(region) + 1) % len(regions)]
    held = HeldStreams(fleet)
    for _ in range(2):
        held.start(vm, f"paying-{region}", "draft", "draft-large")
        held.start(vm, f"paying-{other}", "draft", "draft-large")
        for entry in fleet.in_region(other):
            held.start(entry, f"paying-{region}", "draft", "draft-large")
    return held


@pytest.mark.proof
async def test_rolling_replacement_cuts_nothing_off(rondinella: Fleet, figure: Figure) -> None:
    # Callers read long drafts while every entry VM is stopped and restarted in turn. The stopping
    # VM serves some of the streams, forwards some, and receives some from peers; other callers keep
    # looking up entry VMs. A VM that closes too early causes incomplete streams, refusals with an
    # unknown outcome, or reset connections.
    fleet, replies, unlisted_s, stop_s = rondinella, [], [], []
    async with steady_callers(fleet) as callers:
        for vm, plan in fleet.entries.items():
            held = await hold_streams(fleet, vm)
            await held.wait_until_started()
            neighbour = next(each for each in fleet.in_region(plan.region) if each != vm)
            started_s = time.monotonic()
            fleet.terminate(vm)
            unlisted_s.append(await seconds_until_unlisted(fleet, vm, neighbour))
            body = chat_body("note-small")
            refused = await chat(
                fleet, plan.advertised_caller, f"paying-{plan.region}", "changelog-note", body
            )
            assert (refused.status, refused.problem["kind"], refused.run) == (503, "draining", "no")
            replies += await held.replies()
            assert await wait_for_exit(fleet, vm) == 0
            stop_s.append(time.monotonic() - started_s)
            fleet.start_entry(vm)
            await fleet.wait_ready(vm)
    cut = [each for each in (*replies, *callers.replies) if not each.is_answered]
    figure("daemons replaced", len(fleet.entries))
    figure("long streams", len(replies))
    figure("short requests", len(callers.replies))
    figure("sent on to the next entry", callers.refusal_count)
    figure("not answered whole", len(cut))
    figure("most seconds until unlisted", max(unlisted_s))
    figure("most seconds of a stop", max(stop_s))
    assert [(each.status, each.problem, each.error) for each in cut] == []


@pytest.mark.proof
async def test_ids_of_a_stopped_vm_are_answered_by_its_successor(
    vasktoru: Fleet, figure: Figure
) -> None:
    # A caller sends a quick query under an issued id, and the issuer is stopped while the query
    # runs. The answer must still be complete. After the stop, repeats at other VMs must get the
    # same answer and run nothing, and an unused id must run once.
    fleet, account = vasktoru, "paying-tallinn"
    first_id, second_id, *_ = await request_ids(
        fleet, fleet.direct("tallinn-1"), account, "quick-query"
    )
    begun = asyncio.Event()
    body = chat_body("contract-reader", STREAM_TOKENS)

    async def send(vm: str, key: str, body: dict[str, object]) -> Reply:
        return await chat(
            fleet,
            fleet.direct(vm),
            account,
            "quick-query",
            body,
            begun.set,
            Idempotency_Key=key,
        )

    running = asyncio.create_task(send("tallinn-1", first_id, body))
    await begun.wait()
    fleet.terminate("tallinn-1")
    await wait_until(lambda: is_stopping(fleet, "tallinn-1"))
    unused = chat_body("contract-reader")
    for vm in ("tallinn-1", "tallinn-2"):
        refused = await send(vm, second_id, unused)
        assert (refused.status, refused.problem["kind"], refused.run) == (503, "draining", "no")
    first = await running
    assert first.is_answered
    assert await wait_for_exit(fleet, "tallinn-1") == 0
    for vm in ("tallinn-2", "rotterdam-1", "warsaw-2"):
        repeat = await send(vm, first_id, body)
        assert (repeat.text, repeat.is_whole) == (first.text, True)
        fresh = await send(vm, second_id, unused)
        assert fresh.is_answered
    counts = [run["marker"] for run in await fleet.runs()]
    figure("runs of the first id", counts.count(first.marker))
    figure("runs of the unused id", counts.count(unused["metadata"]["marker"]))
    assert counts.count(first.marker) == 1
    assert counts.count(unused["metadata"]["marker"]) == 1


@pytest.mark.proof
async def test_requests_that_meet_the_stop_run_only_if_answered(
    rondinella: Fleet, figure: Figure
) -> None:
    # Callers keep sending non-repeatable pings on open connections until the stopping VM exits. A
    # reset connection leaves the outcome open for the caller, so it must affect only pings that
    # have not run; a refusal must say that the ping has not run.
    fleet, vm, replies = rondinella, "milan-1", list[Reply]()
    address, path = fleet.direct(vm), "/services/webhooks/ping"

    async def hammer() -> None:
        while True:
            reply = await call_service(fleet, address, "paying-milan", "webhook-ping", path)
            if "ClientConnectorError" in reply.error:
                return
            replies.append(reply)

    async def has_answered() -> bool:
        return len(replies) > 100

    held = await hold_streams(fleet, vm)
    hammers = [asyncio.create_task(hammer()) for _ in range(8)]
    await held.wait_until_started()
    await wait_until(has_answered)
    fleet.terminate(vm)
    await asyncio.gather(*hammers)
    assert await wait_for_exit(fleet, vm) == 0
    ran = {run["marker"] for run in await fleet.runs()}
    refused = [each for each in replies if each.problem]
    reset = [each for each in replies if each.error]
    figure("pings", len(replies))
    figure("refused", len(refused))
    figure("reset", len(reset))
    figure("refused or reset but run", sum(each.marker in ran for each in (*refused, *reset)))
    broken = [each for each in await held.replies() if not each.is_answered]
    assert [(each.status, each.problem, each.error) for each in broken] == []
    assert {each.run for each in refused} == {"no"}
    assert not [each for each in (*refused, *reset) if each.marker in ran]


@pytest.mark.proof
async def test_a_slow_reader_gets_its_whole_answer(rondinella: Fleet, figure: Figure) -> None:
    # A caller reads a large answer slowly. Part of it is still buffered in the gateway's process
    # when the stop begins; an exit at that time would truncate the answer.
    fleet, vm = rondinella, "milan-1"
    slow = await request_largest_buffered_answer(fleet, vm)
    fleet.terminate(vm)
    await wait_until(lambda: is_closing_or_gone(fleet, vm))
    read = await slow.read_answer()
    figure("answer bytes", slow.answer_bytes)
    figure("bytes missing", slow.answer_bytes - len(read))
    assert len(read) == slow.answer_bytes
    assert await wait_for_exit(fleet, vm) == 0


@pytest.mark.proof
async def test_a_request_still_being_sent_is_refused_not_cut(
    rondinella: Fleet, figure: Figure
) -> None:
    # The stop begins while a caller is still sending a request. The request has not run, and the
    # caller must get a refusal that says so instead of a reset connection.
    fleet, vm = rondinella, "milan-1"
    reader, writer = await asyncio.open_connection(*fleet.direct(vm).split(":"))
    body = json.dumps(chat_body("note-small")).encode()
    headers = fleet.headers("paying-milan", "changelog-note", Content_Length=str(len(body)))
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    writer.write(f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{lines}\r\n".encode())
    writer.write(body[:-1])
    await writer.drain()

    fleet.terminate(vm)
    await wait_until(lambda: is_stopping(fleet, vm))
    writer.write(body[-1:])
    answer = await reader.read()
    assert answer.startswith(b"HTTP/1.1 503")
    assert b'"run":"no"' in answer
    assert await wait_for_exit(fleet, vm) == 0
    figure("requests refused while being sent", 1)
