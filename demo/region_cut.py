"""Partition one region off; show what is still served and how the rest is refused."""

import asyncio
import time

from demo.calls import Reply, chat
from demo.plans import ChatPlan, account_of, send
from demo.steps import Demo, runs_of, seconds_until
from harness.fleet import Fleet

# Covers the time after which silent entry VMs make their region count as lost.
REFUSAL_LIMIT_S = 22.0
CONVERGED_LIMIT_S = 15.0
DEADLINE_AHEAD_S = 2.0
PROBE_PAUSE_S = 0.5


async def cut_off(fleet: Fleet, region: str) -> None:
    """Partition a region off from the other regions and the platform."""
    for other in fleet.deployment.regions:
        if other != region:
            await fleet.fault(f"peer/{other}/{region}-*", "cut")
            await fleet.fault(f"peer/{region}/{other}-*", "cut")
    await fleet.fault(f"platform/{region}", "cut")


async def show_region_cut(demo: Demo) -> None:
    """Partition the home region off, check both sides, and end the partition."""
    fleet = demo.fleet
    await cut_off(fleet, demo.home)
    try:
        for region in (demo.home, demo.other_regions[0]):
            await _show_own_callers(demo, region)
        await _show_refused(demo)
    finally:
        await fleet.fault("*", "pass")
    await _show_healed(demo)


async def _show_own_callers(demo: Demo, region: str) -> None:
    caller, started_s = demo.caller(region), time.monotonic()
    replies: dict[str, Reply] = {}
    for plan in (*demo.plan.chats, *demo.plan.services):
        replies[plan.class_name] = await send(caller, plan)
    took_s = time.monotonic() - started_s
    served = sum(reply.is_whole for reply in replies.values())
    failed = [f"{name}: {each.describe()}" for name, each in replies.items() if not each.is_whole]
    side = "cut off" if region == demo.home else "the other side"
    demo.table.add(
        "region cut",
        f"{region} ({side}) serves its own callers, every class",
        "; ".join(failed) or f"{served} of {len(replies)} whole in {took_s:.2f} s",
        not failed,
    )


async def _show_refused(demo: Demo) -> None:
    """Send home-bound work from outside until it is refused because the region is lost."""
    plan = demo.plan.home_bound
    probes: list[tuple[str, Reply]] = []

    async def is_refused() -> bool:
        probes.append(await _probe(demo, plan))
        reply = probes[-1][1]
        return reply.problem.get("run") == "no" and bool(reply.retry_after)

    took_s = await seconds_until(is_refused, REFUSAL_LIMIT_S)
    last = probes[-1][1]
    demo.table.add(
        "region cut",
        f"a {plan.class_name} of {demo.home}'s from outside: refused, not run, with Retry-After",
        f"{last.describe()}" + (f"; so after {took_s:.1f} s of the cut" if took_s else ""),
        took_s is not None,
    )
    await _show_refused_never_ran(demo, probes)


async def _probe(demo: Demo, plan: ChatPlan) -> tuple[str, Reply]:
    caller = demo.caller(demo.other_regions[0], account=account_of(demo.home))
    body = plan.body(is_streamed=False, tokens=8)
    deadline = f"{time.time() + DEADLINE_AHEAD_S:.3f}"
    reply = await chat(caller, plan.class_name, body, Pomelobarrow_Deadline=deadline)
    await asyncio.sleep(PROBE_PAUSE_S)
    return body["metadata"]["marker"], reply


async def _show_refused_never_ran(demo: Demo, probes: list[tuple[str, Reply]]) -> None:
    """Let delayed bytes arrive and check that no request reported as not run has run."""
    await demo.fleet.fault("*", "pass")
    await asyncio.sleep(1.0)
    no_run = [marker for marker, reply in probes if reply.problem.get("run") == "no"]
    ran = [marker for marker in no_run if await runs_of(demo.fleet, marker)]
    refused = sum(bool(reply.problem) for _, reply in probes)
    demo.table.add(
        "region cut",
        "what was said not to have run never ran, once healed either",
        f"{refused} refusals of {len(probes)}, {len(no_run)} say 'not run', {len(ran)} of those ran"
        + "".join(f"; {each.describe()}" for _, each in probes if not each.problem),
        refused == len(probes) and not ran,
    )


async def _show_healed(demo: Demo) -> None:
    """Wait until a home-bound request from outside is answered again."""

    async def is_answered() -> bool:
        return (await _probe(demo, demo.plan.home_bound))[1].is_whole

    took_s = await seconds_until(is_answered, CONVERGED_LIMIT_S)
    demo.table.add(
        "region cut",
        f"healed: outside callers reach {demo.home} again within {CONVERGED_LIMIT_S:.0f} s",
        "not reached" if took_s is None else f"answered after {took_s:.1f} s",
        took_s is not None,
    )
