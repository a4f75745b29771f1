"""Point 7: a backend server that is leaving gets no new work after a few seconds."""

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

LEAVER = "drafting-milan-1"
CALLERS_PER_VM = 2
LONG_TOKENS = 800
USUAL_RUNS = 50
# So many requests after the last one that the leaver got show that no more are on the way.
QUIET_REQUESTS = 400


async def leave_by_list(fleet: Fleet) -> None:
    """Let the platform list the server as leaving; it takes what still comes."""
    value = fleet.server_value(LEAVER, "leaving")
    await fleet.publish("vms", {f"vms/{LEAVER}": value})


async def leave_by_late_list(fleet: Fleet) -> None:
    """Let the platform's list be slow, and out of the reach of the server's own region."""
    await fleet.fault("platform/milan", "cut")
    await fleet.platform_mode("slow", delay_s=1.0)
    await leave_by_list(fleet)


async def leave_by_report(fleet: Fleet) -> None:
    """Let the server say that it leaves, in a lagging report, and refuse new work."""
    await _set_mode(fleet, leaving=True)


async def leave_with_platform_down(fleet: Fleet) -> None:
    """Let only the server itself say it."""
    await fleet.platform_mode("down")
    await _set_mode(fleet, leaving=True)


async def leave_by_refusing(fleet: Fleet) -> None:
    """Let the server do no more than refuse."""
    await _set_mode(fleet, refuse=True)


async def _set_mode(fleet: Fleet, **mode: bool) -> None:
    await fleet.post(f"{HOST}:{fleet.servers[LEAVER].port}", "/admin/mode", mode)


WAYS: dict[str, Callable[[Fleet], Awaitable[None]]] = {
    "listed": leave_by_list,
    "listed late": leave_by_late_list,
    "reported": leave_by_report,
    "reported, platform down": leave_with_platform_down,
    "refusing": leave_by_refusing,
}


@frozen
class Attempt:
    """Hold when one attempt on the leaver ended."""

    ended_unix_s: float
    state: str


def attempts_on_leaver(fleet: Fleet) -> list[Attempt]:
    """Return the attempts that the daemons logged."""
    lines = [line for vm in fleet.entries for line in fleet.processes.log(vm).splitlines()]
    found = [json.loads(line) for line in lines if LEAVER in line and "attempt failed" in line]
    return [Attempt(unix_s(each["timestamp"]), each["state"]) for each in found]


def unix_s(logged: str) -> float:
    """Return a log line's time as Unix seconds."""
    return datetime.fromisoformat(logged).timestamp()


class Load:
    """Hold callers that keep all entry VMs busy."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.replies: list[Reply] = []
        self.is_going = True

    async def keep_sending(self, vm: str) -> None:
        """Send short notes one after the other, at home in the leaver's region."""
        while self.is_going:
            body = chat_body("draft-large", 4)
            address = self.fleet.direct(vm)
            self.replies.append(await chat(self.fleet, address, "paying-milan", "draft", body))


async def start_long_streams(fleet: Fleet) -> dict[str, asyncio.Task[Reply]]:
    """Start streams, by marker, until the leaver runs one of them."""
    tasks: dict[str, asyncio.Task[Reply]] = {}

    async def is_held() -> bool:
        for vm in fleet.in_region("milan"):
            body = chat_body("draft-large", LONG_TOKENS)
            sending = chat(fleet, fleet.direct(vm), "paying-milan", "draft", body)
            tasks[body["metadata"]["marker"]] = asyncio.create_task(sending)
        return bool(await running_on_leaver(fleet) & tasks.keys())

    await wait_until(is_held)
    return tasks


async def is_in_use(fleet: Fleet) -> bool:
    """Tell whether the leaver gets its share of the work."""
    runs = [run for run in await fleet.runs() if run["server"] == LEAVER]
    return len(runs) >= USUAL_RUNS


async def running_on_leaver(fleet: Fleet) -> set[str]:
    """Return the markers of the requests that run on the leaver."""
    return {
        run["marker"]
        for run in await fleet.runs()
        if run["server"] == LEAVER and run["state"] == "running"
    }


@pytest.mark.proof
@pytest.mark.parametrize("way", WAYS)
async def test_a_leaving_server_soon_gets_no_new_work(
    rondinella: Fleet, way: str, figure: Figure
) -> None:
    # All entry VMs keep sending drafts to a region of two servers and one of them leaves: by the
    # list that lags, by its own report that lags, or only by refusing. A daemon that goes on with
    # what it knew sends work to a server about to be gone; one that drops the server at once must
    # still let the streams that run there end.
    fleet = rondinella
    load = Load(fleet)
    tasks = [
        asyncio.create_task(load.keep_sending(vm))
        for vm in fleet.entries
        for _ in range(CALLERS_PER_VM)
    ]
    await wait_until(lambda: is_in_use(fleet))
    long_streams = await start_long_streams(fleet)
    held = await running_on_leaver(fleet) & long_streams.keys()
    left_unix_s = time.time()
    await WAYS[way](fleet)
    await wait_until_quiet(fleet, load)
    load.is_going = False
    await asyncio.gather(*tasks)
    finished = await asyncio.gather(*long_streams.values())
    runs = await fleet.runs()
    started = [run["started_unix_s"] for run in runs if run["server"] == LEAVER]
    offered = [each for each in attempts_on_leaver(fleet) if each.state == "refused_unrun"]
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
    """Return once many requests in a row went elsewhere."""
    seen, counted = -1, 0

    async def is_quiet() -> bool:
        nonlocal seen, counted
        runs = [run for run in await fleet.runs() if run["server"] == LEAVER]
        attempts = len(runs) + len(attempts_on_leaver(fleet))
        if attempts != seen:
            seen, counted = attempts, len(load.replies)
        return len(load.replies) >= counted + QUIET_REQUESTS

    await wait_until(is_quiet, 60.0)
