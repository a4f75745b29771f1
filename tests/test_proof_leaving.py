"""Prove guarantee 7: a backend server that is leaving gets no new work after a few seconds."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from datetime import datetime

import pytest
from attrs import frozen
from callers import Reply, chat, chat_body, wait_until
from proof_report import Figure

from harness.fleet import HOST, Fleet

LEAVING_SERVER = "drafting-milan-1"
CALLERS_PER_VM = 2
LONG_TOKENS = 800
USUAL_RUNS = 50
# No attempt on the leaving server during this many requests shows that none will follow.
QUIET_REQUESTS = 400


async def leave_by_list(fleet: Fleet) -> None:
    """List the server as leaving at the platform; it still accepts requests."""
    value = fleet.server_value(LEAVING_SERVER, "leaving")
    await fleet.publish("vms", {f"vms/{LEAVING_SERVER}": value})


async def leave_by_late_list(fleet: Fleet) -> None:
    """List the server as leaving at a slow platform that its own region can't reach."""
    await fleet.fault("platform/milan", "cut")
    await fleet.platform_mode("slow", delay_s=1.0)
    await leave_by_list(fleet)


async def leave_by_report(fleet: Fleet) -> None:
    """Let the server report, with a delay, that it is leaving, and refuse new work."""
    await _set_mode(fleet, leaving=True)


async def leave_with_platform_down(fleet: Fleet) -> None:
    """Let the server report that it is leaving while the platform is down."""
    await fleet.platform_mode("down")
    await _set_mode(fleet, leaving=True)


async def leave_by_refusing(fleet: Fleet) -> None:
    """Let the server refuse new work without a report or list entry."""
    await _set_mode(fleet, refuse=True)


async def _set_mode(fleet: Fleet, **mode: bool) -> None:
    await fleet.post(f"{HOST}:{fleet.servers[LEAVING_SERVER].port}", "/admin/mode", mode)


WAYS: dict[str, Callable[[Fleet], Awaitable[None]]] = {
    "listed": leave_by_list,
    "listed late": leave_by_late_list,
    "reported": leave_by_report,
    "reported, platform down": leave_with_platform_down,
    "refusing": leave_by_refusing,
}


@frozen
class Attempt:
    """End of one attempt on the leaving server."""

    ended_unix_s: float
    state: str


def attempts_on_leaving_server(fleet: Fleet) -> list[Attempt]:
    """Return the failed attempts that the daemons logged."""
    lines = [line for vm in fleet.entries for line in fleet.processes.log(vm).splitlines()]
    found = [
        json.loads(line) for line in lines if LEAVING_SERVER in line and "attempt failed" in line
    ]
    return [Attempt(unix_s(each["timestamp"]), each["state"]) for each in found]


def unix_s(logged: str) -> float:
    """Return a log line's time as Unix seconds."""
    return datetime.fromisoformat(logged).timestamp()


class Load:
    """Callers that keep sending requests to entry VMs."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.replies: list[Reply] = []
        self.is_running = True

    async def keep_sending(self, vm: str) -> None:
        """Send short drafts one after the other, with the leaving server's region as home."""
        while self.is_running:
            body = chat_body("draft-large", 4)
            address = self.fleet.direct(vm)
            self.replies.append(await chat(self.fleet, address, "paying-milan", "draft", body))


async def start_long_streams(fleet: Fleet) -> dict[str, asyncio.Task[Reply]]:
    """Start streams until the leaving server runs one of them; return them by marker."""
    tasks: dict[str, asyncio.Task[Reply]] = {}

    async def is_held() -> bool:
        for vm in fleet.in_region("milan"):
            body = chat_body("draft-large", LONG_TOKENS)
            sending = chat(fleet, fleet.direct(vm), "paying-milan", "draft", body)
            tasks[body["metadata"]["marker"]] = asyncio.create_task(sending)
        return bool(await running_on_leaving_server(fleet) & tasks.keys())

    await wait_until(is_held)
    return tasks


async def is_in_use(fleet: Fleet) -> bool:
    """Return whether the leaving server has run its share of the work."""
    runs = [run for run in await fleet.runs() if run["server"] == LEAVING_SERVER]
    return len(runs) >= USUAL_RUNS


async def running_on_leaving_server(fleet: Fleet) -> set[str]:
    """Return the markers of the requests that are running on the leaving server."""
    return {
        run["marker"]
        for run in await fleet.runs()
        if run["server"] == LEAVING_SERVER and run["state"] == "running"
    }


@pytest.mark.proof
@pytest.mark.parametrize("way", WAYS)
async def test_a_leaving_server_soon_gets_no_new_work(
    rondinella: Fleet, way: str, figure: Figure
) -> None:
    # All entry VMs keep sending drafts to a region of two servers, one of which leaves: by the list
    # or by its own report, which both lag, or only by refusing. A daemon that relies on its old
    # view sends work to a server about to exit. A daemon that drops the server at once must still
    # let streams that run there finish.
    fleet = rondinella
    load = Load(fleet)
    tasks = [
        asyncio.create_task(load.keep_sending(vm))
        for vm in fleet.entries
        for _ in range(CALLERS_PER_VM)
    ]
    await wait_until(lambda: is_in_use(fleet))
    long_streams = await start_long_streams(fleet)
    held = await running_on_leaving_server(fleet) & long_streams.keys()
    left_unix_s = time.time()
    await WAYS[way](fleet)
    await wait_until_quiet(fleet, load)
    load.is_running = False
    await asyncio.gather(*tasks)
    finished = await asyncio.gather(*long_streams.values())
    runs = await fleet.runs()
    started = [run["started_unix_s"] for run in runs if run["server"] == LEAVING_SERVER]
    offered = [each for each in attempts_on_leaving_server(fleet) if each.state == "refused_unrun"]
    last_start_s = max(each - left_unix_s for each in started)
    figure("seconds from leaving to the last new run", max(0.0, last_start_s))
    figure("refused attempts", len(offered))
    last_offer_s = max((each.ended_unix_s - left_unix_s for each in offered), default=0.0)
    figure("seconds to the last refused attempt", last_offer_s)
    figure("streams in progress there", len(held))
    replies = [*load.replies, *finished]
    figure("requests", len(replies))
    figure("not answered", sum(not each.is_answered for each in replies))
    assert [
        (each.status, each.problem, each.error) for each in replies if not each.is_answered
    ] == []


async def wait_until_quiet(fleet: Fleet, load: Load) -> None:
    """Wait until QUIET_REQUESTS in a row were answered without an attempt on the leaving server."""
    seen, counted = -1, 0

    async def is_quiet() -> bool:
        nonlocal seen, counted
        runs = [run for run in await fleet.runs() if run["server"] == LEAVING_SERVER]
        attempts = len(runs) + len(attempts_on_leaving_server(fleet))
        if attempts != seen:
            seen, counted = attempts, len(load.replies)
        return len(load.replies) >= counted + QUIET_REQUESTS

    await wait_until(is_quiet, 60.0)
