"""Show each class of work, a configuration change and a planned stop."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import define

from demo.calls import Caller, Reply, chat, entries, new_marker
from demo.plans import ChatPlan, Plan, ServicePlan, account_of, send, send_marked
from demo.table import Table
from harness.fleet import Fleet

POLL_S = 0.05
CONFIGURATION_LIMIT_S = 5.0
LEAVING_LIMIT_S = 5.0
STOP_LIMIT_S = 15.0
STOPPED_STREAM_TOKENS = 600
Condition = Callable[[], Awaitable[bool]]


@define(kw_only=True)
class Demo:
    """State shared by the demo's steps."""

    fleet: Fleet
    plan: Plan
    table: Table

    def caller(self, region: str, number: int = 0, account: str = "") -> Caller:
        """Return a caller that uses an entry VM of a region."""
        vm = self.fleet.in_region(region)[number]
        return Caller(fleet=self.fleet, vm=vm, account=account or account_of(region))

    @property
    def home(self) -> str:
        """Return the region of the demo's main account."""
        return self.plan.home_region

    @property
    def other_regions(self) -> list[str]:
        """Return all regions but the home region."""
        return [each for each in self.fleet.deployment.regions if each != self.home]

    def target_s(self, class_name: str) -> float:
        """Return a class's published target for its first token."""
        return float(self.fleet.deployment.classes[class_name]["first_token_target_s"])


async def seconds_until(condition: Condition, limit_s: float) -> float | None:
    """Return the seconds until a condition holds, or None if the limit passes first."""
    started_s = time.monotonic()
    while time.monotonic() - started_s < limit_s:
        if await condition():
            return time.monotonic() - started_s
        await asyncio.sleep(POLL_S)
    return None


async def runs_of(fleet: Fleet, marker: str) -> list[dict[str, Any]]:
    """Return the runs of one request on all backend servers."""
    return [run for run in await fleet.runs() if run["marker"] == marker]


async def show_entries(demo: Demo) -> None:
    """Show that an entry VM lists all entry VMs and issues request ids."""
    fleet, class_name = demo.fleet, demo.plan.home_bound.class_name
    listed = {each["name"] for each in (await fleet.get(fleet.platform, "/v1/directory"))["vms"]}
    caller = demo.caller(demo.other_regions[0], account=demo.plan.account)
    answer: dict[str, Any] = {}

    async def names_all() -> bool:
        answer.update(await entries(caller, class_name))
        return {each["vm"] for each in answer["entries"]} == listed

    await seconds_until(names_all, LEAVING_LIMIT_S)
    first = answer["entries"][0]
    good_for_s = answer["good_until_unix_s"] - time.time()
    demo.table.add(
        "entries",
        f"all {len(listed)} entry VMs, one of {demo.home} first, issued ids",
        f"{len(answer['entries'])} VMs, {first['vm']} first, {len(answer['request_ids'])} ids,"
        f" good for {good_for_s:.0f} s",
        await names_all() and first["region"] == demo.home and bool(answer["request_ids"]),
    )


async def show_classes(demo: Demo) -> None:
    """Send each class's requests, streamed and non-streamed."""
    for plan in demo.plan.chats:
        for is_streamed in (True, False):
            await _show_chat(demo, plan, is_streamed)
    for plan in demo.plan.services:
        await _show_service(demo, plan)


async def _show_chat(demo: Demo, plan: ChatPlan, is_streamed: bool) -> None:
    caller = demo.caller(demo.home)
    headers = await _issued_id(caller, plan)
    body = plan.body(is_streamed)
    reply = await chat(caller, plan.class_name, body, **headers)
    runs = await runs_of(demo.fleet, body["metadata"]["marker"])
    form = "streamed" if is_streamed else "in one piece"
    timing = f", first token after {reply.first_token_s:.3f} s" if is_streamed else ""
    kilobytes = len(plan.text.encode()) / 1000
    demo.table.add(
        plan.class_name,
        f"{form}, {plan.tokens} tokens whole, first one within {demo.target_s(plan.class_name)} s",
        f"{kilobytes:.1f} kB asked; {reply.describe()}{timing}",
        reply.is_whole and _meets_target(demo, plan, reply, is_streamed) and len(runs) == 1,
    )


def _meets_target(demo: Demo, plan: ChatPlan, reply: Reply, is_streamed: bool) -> bool:
    return not is_streamed or reply.first_token_s <= demo.target_s(plan.class_name)


async def _show_service(demo: Demo, plan: ServicePlan) -> None:
    caller = demo.caller(demo.home)
    reply = await send(caller, plan, **await _issued_id(caller, plan))
    target_s = demo.target_s(plan.class_name)
    demo.table.add(
        plan.class_name,
        f"{plan.method} answered within {target_s} s",
        reply.describe(),
        reply.is_whole and reply.took_s <= target_s,
    )


async def _issued_id(caller: Caller, plan: ChatPlan | ServicePlan) -> dict[str, str]:
    if not plan.takes_issued_id:
        return {}
    answer = await entries(caller, plan.class_name)
    return {"Idempotency_Key": answer["request_ids"][0]}


async def show_home_bound(demo: Demo) -> None:
    """Send home-bound work to an entry VM of another region, which forwards it to the home."""
    plan = demo.plan.home_bound
    caller = demo.caller(demo.other_regions[0], account=demo.plan.account)
    body = plan.body(is_streamed=True)
    reply = await chat(caller, plan.class_name, body)
    runs = await runs_of(demo.fleet, body["metadata"]["marker"])
    demo.table.add(
        "home-bound",
        f"a {plan.class_name} that enters at {caller.vm} runs in {demo.home} alone",
        f"{reply.describe()}; ran in {[run['region'] for run in runs]}",
        reply.is_whole and [run["region"] for run in runs] == [demo.home],
    )


async def show_at_most_once(demo: Demo) -> None:
    """Repeat a non-repeatable request through an entry VM of another region."""
    for plan in demo.plan.at_most_once:
        first, second = demo.caller(demo.home), demo.caller(demo.other_regions[0])
        second = Caller(fleet=demo.fleet, vm=second.vm, account=first.account)
        headers, marker = await _issued_id(first, plan), new_marker()
        replies = [await send_marked(caller, plan, marker, **headers) for caller in (first, second)]
        runs = await runs_of(demo.fleet, marker)
        demo.table.add(
            f"{plan.class_name} repeat",
            f"a repeat at {second.vm} gets the first answer; one run",
            f"{replies[1].describe()}; runs: {len(runs)}",
            all(reply.is_whole for reply in replies) and len(runs) == 1,
        )


async def show_publishing(demo: Demo) -> None:
    """Publish a new class and use it at every entry VM."""
    fleet, plan = demo.fleet, demo.plan.home_bound
    value = {**fleet.deployment.classes[plan.class_name], "home_bound": False}
    revision = await fleet.publish("config", {f"classes/{demo.plan.extra_class}": value})

    async def is_in_force() -> bool:
        statuses = await asyncio.gather(*(fleet.status(vm) for vm in fleet.entries))
        return all(each["keyspaces"]["config"]["revision"] >= revision for each in statuses)

    took_s = await seconds_until(is_in_force, CONFIGURATION_LIMIT_S)
    demo.table.add(
        "configuration",
        f"a change is in force on {len(fleet.entries)} daemons within {CONFIGURATION_LIMIT_S} s",
        "not in force everywhere" if took_s is None else f"revision {revision} in {took_s:.2f} s",
        took_s is not None,
    )
    replies = [await _use_extra_class(demo, vm) for vm in fleet.entries]
    answered = sum(reply.is_whole for reply in replies)
    demo.table.add(
        "configuration",
        "the class published just now is served at each entry VM",
        f"{answered} of {len(replies)} whole",
        answered == len(replies),
    )


async def _use_extra_class(demo: Demo, vm: str) -> Reply:
    account = account_of(demo.fleet.entries[vm].region)
    caller = Caller(fleet=demo.fleet, vm=vm, account=account)
    body = demo.plan.home_bound.body(is_streamed=False, tokens=8)
    return await chat(caller, demo.plan.extra_class, body)


async def show_planned_stop(demo: Demo) -> None:
    """Stop a daemon while it relays a stream."""
    fleet, plan = demo.fleet, demo.plan.home_bound
    leaving = demo.caller(demo.other_regions[-1], number=1)
    once = demo.plan.at_most_once[-1]
    headers, marker = await _issued_id(leaving, once), new_marker()
    await send_marked(leaving, once, marker, **headers)
    stopped_s: list[float] = []

    def stop() -> None:
        stopped_s.append(time.monotonic())
        fleet.terminate(leaving.vm)

    body = plan.body(is_streamed=True, tokens=STOPPED_STREAM_TOKENS)
    stream = asyncio.create_task(chat(leaving, plan.class_name, body, stop))
    await _show_unlisted(demo, leaving, stopped_s)
    reply = await stream
    exit_code = await asyncio.to_thread(fleet.processes.wait, leaving.vm, STOP_LIMIT_S)
    demo.table.add(
        "planned stop",
        f"the stream that {leaving.vm} relays ends whole; it exits with 0",
        f"{reply.describe()}, {STOPPED_STREAM_TOKENS} tokens; exit code {exit_code}",
        reply.is_whole and exit_code == 0,
    )
    await _show_handed_over(demo, leaving, once, marker, headers)


async def _show_unlisted(demo: Demo, leaving: Caller, stopped_s: list[float]) -> None:
    """Show that the other entry VMs stop listing the leaving VM."""
    watcher, class_name = demo.caller(demo.home), demo.plan.home_bound.class_name

    async def is_unlisted() -> bool:
        if not stopped_s:
            return False
        answer = await entries(watcher, class_name)
        return leaving.vm not in {each["vm"] for each in answer["entries"]}

    was_unlisted = await seconds_until(is_unlisted, STOP_LIMIT_S) is not None
    took_s = time.monotonic() - stopped_s[0] if stopped_s else STOP_LIMIT_S
    demo.table.add(
        "planned stop",
        f"callers are told of {leaving.vm} no more within {LEAVING_LIMIT_S} s",
        (
            f"gone from the entries after {took_s:.2f} s"
            if was_unlisted
            else "still among the entries"
        ),
        was_unlisted and took_s <= LEAVING_LIMIT_S,
    )


async def _show_handed_over(
    demo: Demo,
    leaving: Caller,
    plan: ChatPlan | ServicePlan,
    marker: str,
    headers: dict[str, str],
) -> None:
    """Repeat a call whose issuer has stopped; its successor has the outcome."""
    other = Caller(fleet=demo.fleet, vm=demo.caller(demo.home).vm, account=leaving.account)
    reply = await send_marked(other, plan, marker, **headers)
    runs = await runs_of(demo.fleet, marker)
    is_consistent = reply.is_whole or reply.problem.get("run") == "unknown"
    demo.table.add(
        "planned stop",
        f"a repeat of a {plan.class_name} of {leaving.vm}'s gets its outcome or 'unknown', no run",
        f"{reply.describe()}; runs: {len(runs)}",
        is_consistent and len(runs) == 1,
    )
