"""Prove guarantee 6: a request that may not be repeated runs at most once."""

import asyncio
import os
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from random import Random, SystemRandom
from typing import Any

import aiohttp
import pytest
import pytest_asyncio
from attrs import define, field
from callers import Reply
from proof_report import Figure
from run_checks import (
    DESK_CALL,
    QUERY,
    WHOLE_QUERY,
    RequestSpec,
    RunLog,
    contradicted_replies,
    reported_outcome,
    settle,
)

from harness.deployments import VASKTORU
from harness.fleet import Fleet

pytestmark = [pytest.mark.proof, pytest.mark.asyncio(loop_scope="module")]

SEED_VARIABLE = "POMELOBARROW_PROOF_SEED"
REQUESTS = 540
CALLERS = 30
FAULTS_AT_ONCE = 3
MAX_REPEATS = 3
ISSUE_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
CALLER_TIMEOUT = aiohttp.ClientTimeout(total=3.0)
POLL_S = 0.01
ASKS = (QUERY, WHOLE_QUERY, DESK_CALL)
LINK_FAULTS: tuple[dict[str, Any], ...] = (
    {"mode": "refuse"},
    {"mode": "cut"},
    {"mode": "cut_to_target"},
    {"mode": "cut_to_client"},
    {"mode": "silent", "after_bytes_to_target": 700},
    {"mode": "refuse", "after_bytes_to_target": 2_000},
    {"mode": "silent", "after_bytes_to_client": 1},
    {"mode": "close", "after_bytes_to_client": 900},
)
Heal = Callable[[], Awaitable[None]]


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet() -> AsyncIterator[Fleet]:
    async with Fleet(VASKTORU) as running:
        yield running


@pytest_asyncio.fixture(loop_scope="module")
async def session(fleet: Fleet) -> AsyncIterator[aiohttp.ClientSession]:
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    async with aiohttp.ClientSession(connector=connector, timeout=CALLER_TIMEOUT) as opened:
        yield opened
    await fleet.fault("*", "pass")


@define(kw_only=True)
class Schedule:
    """Random schedule of requests and faults, drawn from a seed."""

    fleet: Fleet
    session: aiohttp.ClientSession
    rng: Random
    log: RunLog
    faults: Counter[str] = field(factory=Counter)
    finals: list[Reply] = field(factory=list)
    replies: list[Reply] = field(factory=list)
    repeats: int = 0
    _started: int = 0
    _busy: set[str] = field(factory=set)

    async def run(self) -> None:
        """Send all requests while faults are injected and healed."""
        async with asyncio.TaskGroup() as tasks:
            for _ in range(FAULTS_AT_ONCE):
                tasks.create_task(self._inject_faults())
            for _ in range(CALLERS):
                tasks.create_task(self._send_requests())

    async def _send_requests(self) -> None:
        while self._started < REQUESTS:
            self._started += 1
            await self._send_until_settled(f"once-{self._started}")

    async def _send_until_settled(self, marker: str) -> None:
        """Send a request and repeat it under the same id while its outcome is unknown."""
        ask, account = self.rng.choice(ASKS), f"paying-{self.rng.choice(VASKTORU.regions)}"
        key = "" if self.rng.random() < 0.2 else await self._issued_id(account, ask)
        vm = self._entry_for(account)
        if key and self.rng.random() < 0.15:
            others = [self._send(ask, each, account, key, marker) for each in (vm, vm)]
            others.append(self._send(ask, self._any_entry(), account, key, marker))
            both = await asyncio.gather(*others)
            reply = next((each for each in both if each.is_answered), both[0])
        else:
            reply = await self._send(ask, vm, account, key, marker)
        for _ in range(MAX_REPEATS if key else 0):
            if reply.is_answered or reply.run == "no":
                break
            self.repeats += 1
            vm = vm if self.rng.random() < 0.4 else self._any_entry()
            reply = await self._send(ask, vm, account, key, marker)
        self.finals.append(reply)

    async def _send(
        self, ask: RequestSpec, vm: str, account: str, key: str, marker: str = ""
    ) -> Reply:
        reply = await ask.send(self.fleet, self.session, vm, account, key, marker)
        self.replies.append(reply)
        return reply

    async def _issued_id(self, account: str, ask: RequestSpec) -> str:
        vm = self._entry_for(account)
        try:
            async with self.session.get(
                f"http://{self.fleet.entries[vm].advertised_caller}/v1/entries",
                params={"class": ask.class_name},
                headers=self.fleet.headers(account, ask.class_name),
                timeout=ISSUE_TIMEOUT,
            ) as response:
                return str((await response.json(content_type=None))["request_ids"][0])
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, LookupError):
            return ""

    def _entry_for(self, account: str) -> str:
        region = account.removeprefix("paying-")
        local_vms = self.fleet.in_region(region)
        return self.rng.choice(local_vms) if self.rng.random() < 0.6 else self._any_entry()

    def _any_entry(self) -> str:
        return self.rng.choice(list(self.fleet.entries))

    async def _inject_faults(self) -> None:
        while len(self.finals) < REQUESTS:
            target = self.rng.choice([*self.fleet.entries, *self.fleet.servers])
            if target in self._busy:
                continue
            self._busy.add(target)
            heal = await self._fault(target)
            await self._wait_for_finals(self.rng.randint(4, 20))
            await heal()
            self._busy.discard(target)

    async def _wait_for_finals(self, more: int) -> None:
        due = min(len(self.finals) + more, REQUESTS)
        while len(self.finals) < due:
            await asyncio.sleep(POLL_S)

    async def _fault(self, target: str) -> Heal:
        is_entry = target in self.fleet.entries
        kinds = (self._freeze, self._restart, self._link, self._link)
        kind = self.rng.choice(kinds)
        self.faults[f"{'entry' if is_entry else 'server'} {kind.__name__.strip('_')}"] += 1
        return await kind(target)

    async def _freeze(self, target: str) -> Heal:
        self.fleet.freeze(target)

        async def thaw() -> None:
            self.fleet.thaw(target)

        return thaw

    async def _restart(self, target: str) -> Heal:
        if target in self.fleet.servers:
            await self.log.kill(target)
            return lambda: self.log.restart(target)
        self.fleet.processes.kill(target)

        async def start() -> None:
            self.fleet.start_entry(target)
            await self.fleet.wait_ready(target)

        return start

    async def _link(self, target: str) -> Heal:
        routes = f"server/*/{target}"
        if target in self.fleet.entries:
            routes = self.rng.choice([f"caller/{target}", f"peer/*/{target}"])
        await self.fleet.fault(routes, **self.rng.choice(LINK_FAULTS))
        return lambda: self.fleet.fault(routes, "pass")


async def test_nothing_runs_twice_under_random_faults(
    fleet: Fleet, session: aiohttp.ClientSession, figure: Figure
) -> None:
    """Callers send queries and desk calls while three faults at a time are injected.

    Entry VMs, engines and services are frozen, resumed, killed and restarted, and links fail at
    every step. Callers with an unknown outcome repeat the request under the same issued id, at
    the same entry VM or another; some send it three times at once. Each order must run at most
    once, because a second run would place it twice.
    """
    seed = int(os.environ.get(SEED_VARIABLE) or SystemRandom().randrange(2**32))
    print(f"{SEED_VARIABLE}={seed}")
    log = RunLog(fleet)
    schedule = Schedule(fleet=fleet, session=session, rng=Random(seed), log=log)
    await schedule.run()
    await settle(fleet, log)
    starts = await log.starts()
    figure("seed", seed)
    figure("requests", len(schedule.finals))
    figure("most runs of one", max(starts[each.marker] for each in schedule.replies))
    for name, count in sorted(Counter(map(reported_outcome, schedule.finals)).items()):
        figure(name, f"{count / len(schedule.finals):.0%}")
    figure("repeats", schedule.repeats)
    figure("faults", sum(schedule.faults.values()))
    runs_by_marker = {each.marker: starts[each.marker] for each in schedule.replies}
    assert {marker: count for marker, count in runs_by_marker.items() if count > 1} == {}
    assert contradicted_replies(schedule.replies, starts) == []
    assert len(schedule.finals) == REQUESTS
